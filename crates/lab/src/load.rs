//! Owns the load: when each message comes and for whom, drawn before the run, so that no slow answer can thin it
//! out. It must never wait for an answer.

use martenlatch_clock::Millis;
use rand::RngExt;
use rand_distr::{Distribution, Exp1};

use crate::draw::{Stream, draw, happens, within};
use crate::experiment::Experiment;
use crate::model::site::Site;
use crate::model::weather::Forecast;

/// A message as a client means to hand it in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Intended {
    /// When, counted from the start of the run.
    pub at: Millis,
    /// Its partner.
    pub partner: u32,
    /// Its class.
    pub class: u32,
}

fn place(shares: impl Iterator<Item = f64>, mut at: f64) -> usize {
    let mut last = 0;
    for (i, share) in shares.enumerate() {
        last = i;
        if at < share {
            return i;
        }
        at -= share;
    }
    last
}

/// Draws all messages of a run, in the order in which they come.
pub fn plan(experiment: &Experiment, site: &Site, forecast: &Forecast, seed: u64) -> Vec<Intended> {
    let (world, load) = (&experiment.world, &experiment.load);
    let mut rng = draw(seed, Stream::Load, 0, 0);
    let classes: f64 = world.classes.iter().map(|c| c.share).sum();
    let (mut at, mut all) = (0.0, Vec::new());
    // Clumps bring several messages at once, so that fewer arrivals make the same load.
    let clump = |partner: usize| {
        let long = (load.clump.0 + load.clump.1) / 2.0;
        (site.partners[partner].full * long).max(1.0)
    };
    let parts = || site.partners.iter().map(|p| p.part);
    let per_clump: f64 = (0..site.partners.len())
        .map(|i| site.partners[i].part * clump(i))
        .sum();
    let clumpy =
        load.clumps / per_clump / (load.clumps / per_clump + (1.0 - load.clumps)).max(1e-9);
    let per_arrival = clumpy * per_clump + (1.0 - clumpy);
    let usual = world.full_rate * load.level / 1e3;
    loop {
        let swing = 1.0 + load.swing * (at / load.swing_period * std::f64::consts::TAU).sin();
        let rate = (usual * swing * forecast.load(at) / per_arrival).max(1e-9);
        let gap: f64 = Exp1.sample(&mut rng);
        // A burst must not be slept through by a long gap drawn before it.
        at += (gap / rate).min(1_000.0);
        if at >= experiment.length {
            break;
        }
        if gap / rate > 1_000.0 {
            continue;
        }
        let partner = place(parts(), rng.random::<f64>());
        let count = if happens(&mut rng, clumpy) {
            (site.partners[partner].full * within(&mut rng, load.clump))
                .round()
                .max(1.0) as usize
        } else {
            1
        };
        for i in 0..count {
            let class = place(
                world.classes.iter().map(|c| c.share / classes),
                rng.random::<f64>(),
            );
            let at = at + i as f64 * 2.0 * rng.random::<f64>();
            all.push(Intended {
                at,
                partner: partner as u32,
                class: class as u32,
            });
        }
    }
    all.retain(|m| m.at < experiment.length);
    all.sort_by(|a, b| a.at.total_cmp(&b.at));
    all
}
