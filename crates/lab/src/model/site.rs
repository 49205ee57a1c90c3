//! Owns the drawing of a site: its partners, how much of the traffic each gets, what each can take, and what senders
//! are told of that. It must never change once it is drawn.

use rand::RngExt;

use crate::draw::{Stream, draw, within};
use crate::experiment::{Kind, Limit, World};

/// A partner as drawn.
#[derive(Clone, Debug)]
pub struct Drawn {
    /// Place among the world's kinds.
    pub kind: usize,
    /// Part of the traffic.
    pub part: f64,
    /// Calls a second at full load.
    pub full: f64,
    /// Calls a second that it takes at most; none: only its capacity limits it.
    pub limit: Option<f64>,
    /// Service times are so many times the class's.
    pub speed: f64,
    /// Endpoints that it starts with.
    pub endpoints: u32,
    /// Calls that one endpoint runs at a time.
    pub cores: u32,
    /// Calls that may queue at an endpoint.
    pub queue: u32,
    /// The rough figure for its rate that the list gives.
    pub hint: f64,
}

impl Drawn {
    /// Calls a second that it can do when it is warm, given the mean work of a call in milliseconds.
    pub fn capacity(&self, work: f64) -> f64 {
        let served = f64::from(self.cores * self.endpoints) * 1e3 / (work * self.speed);
        self.limit.map_or(served, |l| l.min(served))
    }
}

/// The partners of a world, drawn.
#[derive(Clone, Debug)]
pub struct Site {
    /// Every partner, by its number.
    pub partners: Vec<Drawn>,
    /// Mean work of a message, in milliseconds.
    pub work: f64,
}

impl Site {
    /// Draws the site that a seed gives.
    pub fn new(world: &World, seed: u64) -> Site {
        let work = {
            let all: f64 = world.classes.iter().map(|c| c.share).sum();
            let mean = |c: &crate::experiment::Class| c.share / all * (c.work.0 + c.work.1) / 2.0;
            world.classes.iter().map(mean).sum::<f64>()
        };
        let shares: f64 = world.kinds.iter().map(|k| k.share).sum();
        // Kinds in proportion, dealt out so that every seed has the same number of each.
        let mut kinds: Vec<usize> = Vec::new();
        let mut owed = 0.0;
        for (i, kind) in world.kinds.iter().enumerate() {
            owed += kind.share / shares * f64::from(world.partners);
            while (kinds.len() as f64) + 0.5 <= owed {
                kinds.push(i);
            }
        }
        kinds.resize(world.partners as usize, world.kinds.len() - 1);
        let mut parts: Vec<f64> = Vec::new();
        let mut order: Vec<(usize, f64)> = kinds
            .iter()
            .enumerate()
            .map(|(at, kind)| {
                (
                    at,
                    draw(seed, Stream::World, 1, at as u64).random::<f64>()
                        - 0.3 * world.kinds[*kind].lean,
                )
            })
            .collect();
        order.sort_by(|a, b| a.1.total_cmp(&b.1).then(a.0.cmp(&b.0)));
        let ranks: Vec<usize> = {
            let mut ranks = vec![0; kinds.len()];
            order
                .iter()
                .enumerate()
                .for_each(|(rank, (at, _))| ranks[*at] = rank);
            ranks
        };
        for rank in &ranks {
            parts.push(1.0 / ((rank + 1) as f64).powf(world.zipf));
        }
        let all: f64 = parts.iter().sum();
        let partner = |at: usize| {
            let kind: &Kind = &world.kinds[kinds[at]];
            let mut rng = draw(seed, Stream::World, 2, at as u64);
            let part = parts[at] / all;
            let full = part * world.full_rate;
            let (headroom, least) = (
                within(&mut rng, kind.headroom),
                within(&mut rng, kind.least_rate),
            );
            let limit = (headroom * full).max(least);
            let speed = within(&mut rng, kind.speed);
            // Busier partners have more endpoints: the upper half by rank gets those over the mean.
            let more =
                2.0 * (world.endpoints - 1.0) * (1.0 - ranks[at] as f64 / parts.len() as f64);
            let endpoints = (1.0 + more + rng.random::<f64>() - 0.5)
                .round()
                .clamp(1.0, 4.0) as u32;
            let spare = 1.2 + 0.3 * rng.random::<f64>();
            let busy = limit * work * speed / 1e3 * spare;
            let cores = (busy / f64::from(endpoints)).ceil().max(1.0) as u32;
            let queue = (within(&mut rng, kind.queue) * f64::from(cores)).round() as u32;
            let rough = 2f64.powf(1.17 * (rng.random::<f64>() - 0.5));
            let told = (kind.limit != Limit::None).then_some(limit);
            let mut drawn = Drawn {
                kind: kinds[at],
                part,
                full,
                limit: told,
                speed,
                endpoints,
                cores,
                queue,
                hint: 0.0,
            };
            drawn.hint = drawn.capacity(work) * rough;
            drawn
        };
        Site {
            partners: (0..kinds.len()).map(partner).collect(),
            work,
        }
    }

    /// The partners' numbers, the one with the most traffic first.
    pub fn by_traffic(&self) -> Vec<usize> {
        let mut ranked: Vec<usize> = (0..self.partners.len()).collect();
        ranked.sort_by(|a, b| {
            self.partners[*b]
                .part
                .total_cmp(&self.partners[*a].part)
                .then(a.cmp(b))
        });
        ranked
    }
}
