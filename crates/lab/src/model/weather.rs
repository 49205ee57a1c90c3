//! Owns what goes wrong when: an experiment's failures, combined for one partner at one instant. It must never keep
//! a state: the same instant always has the same weather.

use martenlatch_clock::Millis;

use crate::experiment::{Experiment, Failure, What};
use crate::model::site::Site;

/// What holds for a partner at an instant.
#[derive(Clone, Debug, PartialEq)]
pub struct Weather {
    /// Takes calls and answers none.
    pub hung: bool,
    /// Turns everything away, until then.
    pub shut: Option<Millis>,
    /// Cannot be reached, and says nothing.
    pub cut: bool,
    /// Stands still until then.
    pub still: Option<Millis>,
    /// Calls take so many times as long.
    pub slow: f64,
    /// A part of the calls takes so many times as long.
    pub tail: (f64, f64),
    /// The limits are so many times what they were.
    pub limit: f64,
    /// Part of the calls that are reset before, and after their last byte.
    pub reset: (f64, f64),
    /// Part of the answers that are spoilt.
    pub spoilt: f64,
    /// Connections that have idled for so long are gone.
    pub closes: Millis,
}

/// All failures of an experiment, each with the partners that it is for.
#[derive(Clone, Debug)]
pub struct Forecast {
    failures: Vec<(Failure, Vec<bool>)>,
}

impl Forecast {
    /// Finds out which partners each failure is for.
    pub fn new(experiment: &Experiment, site: &Site) -> Forecast {
        let ranked = site.by_traffic();
        let of = |f: &Failure| {
            let mut hit = vec![f.partners.is_empty() && f.traffic.is_none(); site.partners.len()];
            f.partners
                .iter()
                .for_each(|rank| hit[ranked[*rank as usize]] = true);
            if let Some(traffic) = f.traffic {
                let mut sum = 0.0;
                for (place, at) in ranked.iter().enumerate() {
                    sum += site.partners[*at].part;
                    if place > 0 && sum > traffic {
                        break;
                    }
                    hit[*at] = true;
                }
            }
            hit
        };
        Forecast {
            failures: experiment
                .failures
                .iter()
                .map(|f| (f.clone(), of(f)))
                .collect(),
        }
    }

    fn active(&self, now: Millis) -> impl Iterator<Item = &(Failure, Vec<bool>)> {
        self.failures
            .iter()
            .filter(move |(f, _)| now >= f.start && now < f.end)
    }

    /// The weather of a partner at an instant.
    pub fn at(&self, partner: usize, now: Millis) -> Weather {
        let mut w = Weather {
            hung: false,
            shut: None,
            cut: false,
            still: None,
            slow: 1.0,
            tail: (0.0, 1.0),
            limit: 1.0,
            reset: (0.0, 0.0),
            spoilt: 0.0,
            closes: f64::INFINITY,
        };
        for (f, _) in self.active(now).filter(|(_, hit)| hit[partner]) {
            match f.what {
                What::Hang => w.hung = true,
                What::Refuse => w.shut = Some(w.shut.unwrap_or(0.0).max(f.end)),
                What::Cut => w.cut = true,
                What::Pauses => {
                    let since = (now - f.start) % f.every;
                    if since < f.size {
                        w.still = Some(w.still.unwrap_or(0.0).max(now - since + f.size));
                    }
                }
                What::Slow => w.slow *= f.size,
                What::HeavyTail => w.tail = (f.part, f.size),
                What::Tight => w.limit *= f.size,
                What::ResetBefore => w.reset.0 = 1.0 - (1.0 - w.reset.0) * (1.0 - f.part),
                What::ResetAfter => w.reset.1 = 1.0 - (1.0 - w.reset.1) * (1.0 - f.part),
                What::Spoilt => w.spoilt = 1.0 - (1.0 - w.spoilt) * (1.0 - f.part),
                What::SilentClose => w.closes = w.closes.min(f.size),
                _ => {}
            }
        }
        w
    }

    /// Whether a partner is out: nothing that goes there is served, and it comes back cold.
    pub fn out(&self, partner: usize, now: Millis) -> bool {
        let w = self.at(partner, now);
        w.hung || w.cut || w.shut.is_some()
    }

    /// How many times the usual load comes at an instant.
    pub fn load(&self, now: Millis) -> f64 {
        self.active(now)
            .filter(|(f, _)| f.what == What::Burst)
            .map(|(f, _)| f.size)
            .product()
    }

    /// How many times as late the list is; none while it says nothing, which is until the instant that is told.
    pub fn list(&self, now: Millis) -> Result<f64, Millis> {
        let down = self
            .active(now)
            .filter(|(f, _)| f.what == What::DiscoveryDown)
            .map(|(f, _)| f.end);
        match down.fold(None, |a: Option<f64>, b| Some(a.map_or(b, |a| a.max(b)))) {
            Some(end) => Err(end),
            None => Ok(self
                .active(now)
                .filter(|(f, _)| f.what == What::DiscoveryLate)
                .map(|(f, _)| f.size)
                .product()),
        }
    }

    /// Whether senders cannot record anything new.
    pub fn disk_full(&self, now: Millis) -> bool {
        self.active(now).any(|(f, _)| f.what == What::DiskFull)
    }

    /// The failures, with the partners that each is for.
    pub fn all(&self) -> impl Iterator<Item = (&Failure, &[bool])> {
        self.failures.iter().map(|(f, hit)| (f, hit.as_slice()))
    }
}
