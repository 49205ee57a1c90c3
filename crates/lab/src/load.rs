//! The load: the time, partner and class of each message, drawn before the run. It is an open load: slow answers do not
//! delay later messages.

use martenlatch_clock::Millis;
use rand::RngExt;
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64Mcg;

use crate::experiment::{Experiment, Load};
use crate::model::fault_schedule::FaultSchedule;
use crate::model::site::Site;
use crate::sampling::{Stream, bernoulli, rng_for, uniform};

/// Maximum time until the arrival rate is evaluated again, so that a long gap drawn before a burst does not skip the
/// burst.
const MAX_GAP: Millis = 1_000.0;
/// Maximum spacing of the messages of a clump, which is several messages for one partner that arrive almost at once.
const MAX_CLUMP_SPACING: Millis = 2.0;

/// A message that a client is going to submit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedMessage {
    /// When it is first submitted, in milliseconds from the start of the run.
    pub at: Millis,
    /// The number of its partner.
    pub partner: u32,
    /// The number of its class.
    pub class: u32,
}

/// Draws all messages of a run, in the order of time.
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
        let unit_gap: f64 = Exp1.sample(&mut rng);
        let gap = unit_gap / arrivals.rate_at(at);
        at += gap.min(MAX_GAP);
        if at >= experiment.length {
            break;
        }
        if gap <= MAX_GAP {
            arrivals.draw_arrival(at, &mut rng, &mut messages);
        }
    }
    messages.retain(|message| message.at < experiment.length);
    messages.sort_by(|left, right| left.at.total_cmp(&right.at));
    messages
}

/// The distribution of arrivals. An arrival is one message or a clump.
struct Arrivals<'a> {
    experiment: &'a Experiment,
    site: &'a Site,
    faults: &'a FaultSchedule,
    /// Sum of the classes' shares.
    class_shares: f64,
    /// Share of arrivals that are clumps.
    clump_share: f64,
    /// Mean number of messages per arrival.
    messages_per_arrival: f64,
}

impl<'a> Arrivals<'a> {
    fn new(experiment: &'a Experiment, site: &'a Site, faults: &'a FaultSchedule) -> Arrivals<'a> {
        let load = &experiment.load;
        let per_clump = mean_messages_per_clump(site, load);
        // `load.clump_share` is a share of messages. A clump brings several messages at once, so that fewer arrivals
        // make up the same load.
        let clumps_per_message = load.clump_share / per_clump;
        let clump_share =
            clumps_per_message / (clumps_per_message + (1.0 - load.clump_share)).max(1e-9);
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

    /// Arrivals per millisecond at an instant.
    fn rate_at(&self, at: Millis) -> f64 {
        let load = &self.experiment.load;
        let usual_rate = self.experiment.world.full_rate * load.level / 1e3;
        let swing = 1.0 + load.swing * (at / load.swing_period * std::f64::consts::TAU).sin();
        (usual_rate * swing * self.faults.load_factor(at) / self.messages_per_arrival).max(1e-9)
    }

    /// Draws the messages of an arrival at `at`.
    fn draw_arrival(&self, at: Millis, rng: &mut Pcg64Mcg, messages: &mut Vec<PlannedMessage>) {
        let partners = self.site.partners.iter();
        let shares = partners.map(|partner| partner.traffic_share);
        let partner = index_of_share(shares, rng.random::<f64>());
        for index in 0..self.draw_message_count(partner, rng) {
            let classes = self.experiment.world.classes.iter();
            let shares = classes.map(|class| class.share / self.class_shares);
            let class = index_of_share(shares, rng.random::<f64>());
            messages.push(PlannedMessage {
                at: at + index as f64 * MAX_CLUMP_SPACING * rng.random::<f64>(),
                partner: partner as u32,
                class: class as u32,
            });
        }
    }

    /// Draws the number of messages of an arrival for a partner.
    fn draw_message_count(&self, partner: usize, rng: &mut Pcg64Mcg) -> usize {
        if !bernoulli(rng, self.clump_share) {
            return 1;
        }
        let seconds = uniform(rng, self.experiment.load.clump_seconds);
        let messages = self.site.partners[partner].full_rate * seconds;
        messages.round().max(1.0) as usize
    }
}

/// Mean number of messages per clump over all partners.
fn mean_messages_per_clump(site: &Site, load: &Load) -> f64 {
    let mean_seconds = (load.clump_seconds.least + load.clump_seconds.most) / 2.0;
    site.partners
        .iter()
        .map(|partner| partner.traffic_share * (partner.full_rate * mean_seconds).max(1.0))
        .sum()
}

/// The index of the share into which a point between zero and one falls. Returns the last index if the point lies past
/// all shares due to rounding.
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
