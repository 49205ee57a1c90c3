//! The site that is drawn from a seed: its partners, their shares of the traffic, their capacities, and the weights
//! that the endpoint list advertises for them.

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::experiment::{Kind, RateLimitKind, World};
use crate::sampling::{Stream, rng_for, uniform};

/// How strongly a kind's `traffic_lean` moves its partners in the ranking by traffic.
const TRAFFIC_LEAN_WEIGHT: f64 = 0.3;
/// Maximum number of endpoints of a partner.
const MAX_ENDPOINTS: f64 = 4.0;
/// The cores of a partner can serve at least this many times its rate limit ...
const MIN_CORE_HEADROOM: f64 = 1.2;
/// ... and up to this much more.
const CORE_HEADROOM_RANGE: f64 = 0.3;
/// The advertised weight is off by a power of two whose exponent is uniform in a range of this width around zero.
const WEIGHT_ERROR_EXPONENT_RANGE: f64 = 1.17;

/// Indices that keep the draws for a site apart.
mod draw_index {
    pub const RANK: u64 = 1;
    pub const PARTNER: u64 = 2;
}

/// The drawn properties of a partner.
#[derive(Clone, Debug)]
pub struct PartnerProfile {
    /// Index of its kind among the world's kinds.
    pub kind_index: usize,
    /// Share of the traffic.
    pub traffic_share: f64,
    /// Calls per second at full load.
    pub full_rate: f64,
    /// Rate limit in calls per second. `None` if only its capacity limits the rate.
    pub rate_limit: Option<f64>,
    /// The factor on the service times of the classes.
    pub service_time_factor: f64,
    /// Number of endpoints at the start of the run.
    pub endpoint_count: u32,
    /// Calls that one endpoint runs at the same time.
    pub cores: u32,
    /// Maximum number of calls in the queue of one endpoint.
    pub queue_capacity: u32,
    /// The weight in the endpoint list: a rough figure for its capacity.
    pub advertised_weight: f64,
}

impl PartnerProfile {
    /// Calls per second that it can serve when it is warm, for a mean work of `mean_work` milliseconds per call.
    pub fn capacity(&self, mean_work: f64) -> f64 {
        let core_rate = f64::from(self.cores * self.endpoint_count) * 1e3
            / (mean_work * self.service_time_factor);
        self.rate_limit
            .map_or(core_rate, |limit| limit.min(core_rate))
    }
}

/// The drawn partners of a world.
#[derive(Clone, Debug)]
pub struct Site {
    /// All partners, indexed by their number.
    pub partners: Vec<PartnerProfile>,
    /// Mean work of a message in milliseconds.
    pub mean_work: f64,
}

impl Site {
    /// Draws the site for a seed.
    pub fn new(world: &World, seed: u64) -> Site {
        let draft = SiteDraft::new(world, seed);
        Site {
            partners: (0..draft.kinds.len())
                .map(|number| draft.draw_partner(number, seed))
                .collect(),
            mean_work: draft.mean_work,
        }
    }

    /// The partners' numbers in descending order of traffic.
    pub fn by_traffic(&self) -> Vec<usize> {
        let share = |number: usize| self.partners[number].traffic_share;
        let mut ranked: Vec<usize> = (0..self.partners.len()).collect();
        ranked.sort_by(|left, right| share(*right).total_cmp(&share(*left)).then(left.cmp(right)));
        ranked
    }
}

/// The properties of a site that are determined before its partners are drawn one by one.
struct SiteDraft<'a> {
    world: &'a World,
    /// Mean work of a message in milliseconds.
    mean_work: f64,
    /// The kind of each partner.
    kinds: Vec<usize>,
    /// The rank of each partner by traffic, from zero.
    ranks: Vec<usize>,
    /// The traffic of each partner, relative to `total_traffic`.
    traffic: Vec<f64>,
    total_traffic: f64,
}

impl<'a> SiteDraft<'a> {
    fn new(world: &'a World, seed: u64) -> SiteDraft<'a> {
        let kinds = assign_kinds(world);
        let ranks = rank_by_traffic(world, &kinds, seed);
        let traffic: Vec<f64> = ranks
            .iter()
            .map(|rank| 1.0 / ((rank + 1) as f64).powf(world.zipf_exponent))
            .collect();
        SiteDraft {
            world,
            mean_work: mean_work(world),
            kinds,
            ranks,
            total_traffic: traffic.iter().sum(),
            traffic,
        }
    }

    /// Draws a partner. The order of the draws determines the partner that a seed gives.
    fn draw_partner(&self, number: usize, seed: u64) -> PartnerProfile {
        let kind: &Kind = &self.world.kinds[self.kinds[number]];
        let mut rng = rng_for(seed, Stream::World, draw_index::PARTNER, number as u64);
        let traffic_share = self.traffic[number] / self.total_traffic;
        let full_rate = traffic_share * self.world.full_rate;
        let headroom = uniform(&mut rng, kind.headroom);
        let least_rate = uniform(&mut rng, kind.least_rate);
        let limit = (headroom * full_rate).max(least_rate);
        let service_time_factor = uniform(&mut rng, kind.service_time_factor);
        let endpoint_count = self.draw_endpoint_count(number, &mut rng);
        let core_headroom = MIN_CORE_HEADROOM + CORE_HEADROOM_RANGE * rng.random::<f64>();
        let all_cores = limit * self.mean_work * service_time_factor / 1e3 * core_headroom;
        let cores = (all_cores / f64::from(endpoint_count)).ceil().max(1.0) as u32;
        let queue_capacity =
            (uniform(&mut rng, kind.queue_per_core) * f64::from(cores)).round() as u32;
        let weight_error = 2f64.powf(WEIGHT_ERROR_EXPONENT_RANGE * (rng.random::<f64>() - 0.5));
        let mut profile = PartnerProfile {
            kind_index: self.kinds[number],
            traffic_share,
            full_rate,
            rate_limit: (kind.rate_limit != RateLimitKind::None).then_some(limit),
            service_time_factor,
            endpoint_count,
            cores,
            queue_capacity,
            advertised_weight: 0.0,
        };
        profile.advertised_weight = profile.capacity(self.mean_work) * weight_error;
        profile
    }

    /// Draws the number of endpoints of a partner. Busier partners have more: the upper half of the ranking by traffic
    /// gets more than the mean on average, the lower half fewer.
    fn draw_endpoint_count(&self, number: usize, rng: &mut Pcg64Mcg) -> u32 {
        let rank_position = 1.0 - self.ranks[number] as f64 / self.traffic.len() as f64;
        let additional = 2.0 * (self.world.mean_endpoints - 1.0) * rank_position;
        (1.0 + additional + rng.random::<f64>() - 0.5)
            .round()
            .clamp(1.0, MAX_ENDPOINTS) as u32
    }
}

/// The mean work of a message over all classes in milliseconds.
fn mean_work(world: &World) -> f64 {
    let share_sum: f64 = world.classes.iter().map(|class| class.share).sum();
    world
        .classes
        .iter()
        .map(|class| class.share / share_sum * (class.work.least + class.work.most) / 2.0)
        .sum()
}

/// Assigns a kind to each partner in proportion to the kinds' shares, so that every seed has the same number of
/// partners of each kind.
fn assign_kinds(world: &World) -> Vec<usize> {
    let share_sum: f64 = world.kinds.iter().map(|kind| kind.share).sum();
    let mut kinds: Vec<usize> = Vec::new();
    let mut target_count = 0.0;
    for (number, kind) in world.kinds.iter().enumerate() {
        target_count += kind.share / share_sum * f64::from(world.partners);
        while (kinds.len() as f64) + 0.5 <= target_count {
            kinds.push(number);
        }
    }
    kinds.resize(world.partners as usize, world.kinds.len() - 1);
    kinds
}

/// Draws the rank of each partner by traffic, from zero. A kind with a positive `traffic_lean` tends to higher traffic.
fn rank_by_traffic(world: &World, kinds: &[usize], seed: u64) -> Vec<usize> {
    let draw_sort_key = |number: usize| {
        let mut rng = rng_for(seed, Stream::World, draw_index::RANK, number as u64);
        rng.random::<f64>() - TRAFFIC_LEAN_WEIGHT * world.kinds[kinds[number]].traffic_lean
    };
    let sort_keys: Vec<f64> = (0..kinds.len()).map(draw_sort_key).collect();
    let mut order: Vec<usize> = (0..kinds.len()).collect();
    order.sort_by(|left, right| {
        sort_keys[*left]
            .total_cmp(&sort_keys[*right])
            .then(left.cmp(right))
    });
    let mut ranks = vec![0; kinds.len()];
    for (rank, number) in order.iter().enumerate() {
        ranks[*number] = rank;
    }
    ranks
}
