//! The load: when each message comes and for whom, drawn before the run. It is an open load, so a slow answer does
//! not thin it out.

use martenlatch_clock::Millis;
use rand::RngExt;
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64Mcg;

use crate::experiment::{Experiment, Load};
use crate::model::fault_schedule::FaultSchedule;
use crate::model::site::Site;
use crate::sampling::{Stream, bernoulli, rng_for, uniform};

/// The rate is looked at again after so many milliseconds at the latest, so that a long gap drawn before a burst does
/// not skip it.
const LONGEST_GAP: Millis = 1_000.0;
/// The messages of a clump come up to so many milliseconds apart.
const CLUMP_SPACING: Millis = 2.0;

/// A message as a client means to submit it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedMessage {
    /// When, in milliseconds from the start of the run.
    pub at: Millis,
    /// Its partner.
    pub partner: u32,
    /// Its class.
    pub class: u32,
}

/// Draws all messages of a run, in the order in which they come.
pub fn plan(
    experiment: &Experiment,
    site: &Site,
    faults: &FaultSchedule,
    seed: u64,
) -> Vec<PlannedMessage> {
    let arrivals = Arrivals::new(experiment, site, faults);
    let mut rng = rng_for(seed, Stream::Load, 0, 0);
    let mut messages = Vec::new();
    let mut at = 0.0;
    loop {
        let gap: f64 = Exp1.sample(&mut rng);
        let gap = gap / arrivals.rate_at(at);
        at += gap.min(LONGEST_GAP);
        if at >= experiment.length {
            break;
        }
        if gap <= LONGEST_GAP {
            arrivals.draw_at(at, &mut rng, &mut messages);
        }
    }
    messages.retain(|message| message.at < experiment.length);
    messages.sort_by(|left, right| left.at.total_cmp(&right.at));
    messages
}

/// The distribution of arrivals, each of which is one message or a clump of several.
struct Arrivals<'a> {
    experiment: &'a Experiment,
    site: &'a Site,
    faults: &'a FaultSchedule,
    /// Sum of the classes' shares.
    class_shares: f64,
    /// Share of the arrivals that are clumps.
    clump_share: f64,
    /// Mean number of messages of an arrival.
    messages_per_arrival: f64,
}

impl<'a> Arrivals<'a> {
    fn new(experiment: &'a Experiment, site: &'a Site, faults: &'a FaultSchedule) -> Arrivals<'a> {
        let load = &experiment.load;
        let per_clump = messages_per_clump(site, load);
        // Clumps bring several messages at once, so that fewer arrivals make the same load.
        let clumps = load.clump_share / per_clump;
        let clump_share = clumps / (clumps + (1.0 - load.clump_share)).max(1e-9);
        let classes = &experiment.world.classes;
        Arrivals {
            experiment,
            site,
            faults,
            class_shares: classes.iter().map(|class| class.share).sum(),
            clump_share,
            messages_per_arrival: clump_share * per_clump + (1.0 - clump_share),
        }
    }

    /// Arrivals a millisecond at an instant.
    fn rate_at(&self, at: Millis) -> f64 {
        let load = &self.experiment.load;
        let usual = self.experiment.world.full_rate * load.level / 1e3;
        let swing = 1.0 + load.swing * (at / load.swing_period * std::f64::consts::TAU).sin();
        (usual * swing * self.faults.load_factor(at) / self.messages_per_arrival).max(1e-9)
    }

    /// Draws the messages of an arrival.
    fn draw_at(&self, at: Millis, rng: &mut Pcg64Mcg, messages: &mut Vec<PlannedMessage>) {
        let partners = self.site.partners.iter();
        let shares = partners.map(|partner| partner.traffic_share);
        let partner = index_of_share(shares, rng.random::<f64>());
        for number in 0..self.draw_size(partner, rng) {
            let classes = self.experiment.world.classes.iter();
            let shares = classes.map(|class| class.share / self.class_shares);
            let class = index_of_share(shares, rng.random::<f64>());
            messages.push(PlannedMessage {
                at: at + number as f64 * CLUMP_SPACING * rng.random::<f64>(),
                partner: partner as u32,
                class: class as u32,
            });
        }
    }

    /// Draws how many messages an arrival for a partner has.
    fn draw_size(&self, partner: usize, rng: &mut Pcg64Mcg) -> usize {
        if !bernoulli(rng, self.clump_share) {
            return 1;
        }
        let seconds = uniform(rng, self.experiment.load.clump_seconds);
        let messages = self.site.partners[partner].full_rate * seconds;
        messages.round().max(1.0) as usize
    }
}

/// Mean number of messages of a clump, over all partners.
fn messages_per_clump(site: &Site, load: &Load) -> f64 {
    let mean_seconds = (load.clump_seconds.least + load.clump_seconds.most) / 2.0;
    site.partners
        .iter()
        .map(|partner| partner.traffic_share * (partner.full_rate * mean_seconds).max(1.0))
        .sum()
}

/// The place of the share in which a point between zero and one falls; the last where rounding leaves it past them
/// all.
fn index_of_share(shares: impl Iterator<Item = f64>, mut point: f64) -> usize {
    let mut last = 0;
    for (index, share) in shares.enumerate() {
        last = index;
        if point < share {
            return index;
        }
        point -= share;
    }
    last
}
