//! The site that a seed draws: its partners, how much of the traffic each gets, what each can take, and what the
//! endpoint list says of that.

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::experiment::{Kind, RateLimitKind, World};
use crate::sampling::{Stream, rng_for, uniform};

/// How strongly a kind's `lean` moves its partners in the ranking by traffic.
const LEAN_WEIGHT: f64 = 0.3;
/// A partner has at most so many endpoints.
const MOST_ENDPOINTS: f64 = 4.0;
/// A partner has cores for so many times its limit ...
const LEAST_SPARE: f64 = 1.2;
/// ... and for up to so much more.
const SPARE_RANGE: f64 = 0.3;
/// The advertised weight is off by a power of two whose exponent is uniform in a range of this width around zero.
const WEIGHT_ERROR_EXPONENT: f64 = 1.17;

/// First numbers of the draws for a site.
mod draw_index {
    pub const RANK: u64 = 1;
    pub const PARTNER: u64 = 2;
}

/// A partner as drawn.
#[derive(Clone, Debug)]
pub struct PartnerProfile {
    /// Place among the world's kinds.
    pub kind: usize,
    /// Share of the traffic.
    pub traffic_share: f64,
    /// Calls a second at full load.
    pub full_rate: f64,
    /// Calls a second that it takes at most; none: only its capacity limits it.
    pub rate_limit: Option<f64>,
    /// Service times are so many times the class's.
    pub service_time_factor: f64,
    /// Endpoints that it starts with.
    pub endpoints: u32,
    /// Calls that one endpoint runs at a time.
    pub cores: u32,
    /// Calls that may queue at an endpoint.
    pub queue_capacity: u32,
    /// The rough figure for its rate that the endpoint list gives.
    pub advertised_weight: f64,
}

impl PartnerProfile {
    /// Calls a second that it can do when it is warm, given the mean work of a call in milliseconds.
    pub fn capacity(&self, work: f64) -> f64 {
        let served =
            f64::from(self.cores * self.endpoints) * 1e3 / (work * self.service_time_factor);
        self.rate_limit.map_or(served, |limit| limit.min(served))
    }
}

/// The partners of a world, drawn.
#[derive(Clone, Debug)]
pub struct Site {
    /// Every partner, by its number.
    pub partners: Vec<PartnerProfile>,
    /// Mean work of a message, in milliseconds.
    pub work: f64,
}

impl Site {
    /// Draws the site that a seed gives.
    pub fn new(world: &World, seed: u64) -> Site {
        let draft = Draft::new(world, seed);
        Site {
            partners: (0..draft.kinds.len())
                .map(|number| draft.partner(number, seed))
                .collect(),
            work: draft.work,
        }
    }

    /// The partners' numbers, the one with the most traffic first.
    pub fn by_traffic(&self) -> Vec<usize> {
        let share = |number: usize| self.partners[number].traffic_share;
        let mut ranked: Vec<usize> = (0..self.partners.len()).collect();
        ranked.sort_by(|left, right| share(*right).total_cmp(&share(*left)).then(left.cmp(right)));
        ranked
    }
}

/// What is settled of a site before its partners are drawn one by one.
struct Draft<'a> {
    world: &'a World,
    /// Mean work of a message, in milliseconds.
    work: f64,
    /// The kind of each partner.
    kinds: Vec<usize>,
    /// The rank of each partner by traffic, from zero.
    ranks: Vec<usize>,
    /// The traffic of each partner, in parts of `all_parts`.
    parts: Vec<f64>,
    all_parts: f64,
}

impl<'a> Draft<'a> {
    fn new(world: &'a World, seed: u64) -> Draft<'a> {
        let kinds = deal_kinds(world);
        let ranks = rank_by_traffic(world, &kinds, seed);
        let parts: Vec<f64> = ranks
            .iter()
            .map(|rank| 1.0 / ((rank + 1) as f64).powf(world.zipf_exponent))
            .collect();
        Draft {
            world,
            work: mean_work(world),
            kinds,
            ranks,
            all_parts: parts.iter().sum(),
            parts,
        }
    }

    /// Draws a partner. The order of the draws is part of what a seed means.
    fn partner(&self, number: usize, seed: u64) -> PartnerProfile {
        let kind: &Kind = &self.world.kinds[self.kinds[number]];
        let mut rng = rng_for(seed, Stream::World, draw_index::PARTNER, number as u64);
        let traffic_share = self.parts[number] / self.all_parts;
        let full_rate = traffic_share * self.world.full_rate;
        let headroom = uniform(&mut rng, kind.headroom);
        let least_rate = uniform(&mut rng, kind.least_rate);
        let limit = (headroom * full_rate).max(least_rate);
        let service_time_factor = uniform(&mut rng, kind.service_time_factor);
        let endpoints = self.endpoints(number, &mut rng);
        let spare = LEAST_SPARE + SPARE_RANGE * rng.random::<f64>();
        let busy = limit * self.work * service_time_factor / 1e3 * spare;
        let cores = (busy / f64::from(endpoints)).ceil().max(1.0) as u32;
        let queue_capacity =
            (uniform(&mut rng, kind.queue_per_core) * f64::from(cores)).round() as u32;
        let weight_error = 2f64.powf(WEIGHT_ERROR_EXPONENT * (rng.random::<f64>() - 0.5));
        let mut profile = PartnerProfile {
            kind: self.kinds[number],
            traffic_share,
            full_rate,
            rate_limit: (kind.rate_limit != RateLimitKind::None).then_some(limit),
            service_time_factor,
            endpoints,
            cores,
            queue_capacity,
            advertised_weight: 0.0,
        };
        profile.advertised_weight = profile.capacity(self.work) * weight_error;
        profile
    }

    /// Draws how many endpoints a partner has. Busier partners have more: the upper half by rank gets those over the
    /// mean.
    fn endpoints(&self, number: usize, rng: &mut Pcg64Mcg) -> u32 {
        let place = 1.0 - self.ranks[number] as f64 / self.parts.len() as f64;
        let more = 2.0 * (self.world.mean_endpoints - 1.0) * place;
        (1.0 + more + rng.random::<f64>() - 0.5)
            .round()
            .clamp(1.0, MOST_ENDPOINTS) as u32
    }
}

/// The mean work of a message over all classes, in milliseconds.
fn mean_work(world: &World) -> f64 {
    let all: f64 = world.classes.iter().map(|class| class.share).sum();
    world
        .classes
        .iter()
        .map(|class| class.share / all * (class.work.least + class.work.most) / 2.0)
        .sum()
}

/// The kind of each partner: in proportion to the kinds' shares, so that every seed has the same number of each.
fn deal_kinds(world: &World) -> Vec<usize> {
    let shares: f64 = world.kinds.iter().map(|kind| kind.share).sum();
    let mut kinds: Vec<usize> = Vec::new();
    let mut owed = 0.0;
    for (number, kind) in world.kinds.iter().enumerate() {
        owed += kind.share / shares * f64::from(world.partners);
        while (kinds.len() as f64) + 0.5 <= owed {
            kinds.push(number);
        }
    }
    kinds.resize(world.partners as usize, world.kinds.len() - 1);
    kinds
}

/// Draws the rank of each partner by traffic, from zero. Kinds that lean to the top are more likely to be there.
fn rank_by_traffic(world: &World, kinds: &[usize], seed: u64) -> Vec<usize> {
    let place = |number: usize| {
        let mut rng = rng_for(seed, Stream::World, draw_index::RANK, number as u64);
        rng.random::<f64>() - LEAN_WEIGHT * world.kinds[kinds[number]].traffic_lean
    };
    let places: Vec<f64> = (0..kinds.len()).map(place).collect();
    let mut order: Vec<usize> = (0..kinds.len()).collect();
    order.sort_by(|left, right| {
        places[*left]
            .total_cmp(&places[*right])
            .then(left.cmp(right))
    });
    let mut ranks = vec![0; kinds.len()];
    for (rank, number) in order.iter().enumerate() {
        ranks[*number] = rank;
    }
    ranks
}
