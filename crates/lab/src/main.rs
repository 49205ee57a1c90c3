//! probe
use martenlatch_lab::{experiment::Experiment, sim};
fn main() {
    for f in std::env::args().skip(1) {
        let x = Experiment::open(std::path::Path::new(&f)).unwrap();
        for v in &x.variants {
            for seed in 1..=2u64 {
                let t = std::time::Instant::now();
                let p = sim::play(&x, v, seed, None).unwrap();
                let g = &p.figures;
                println!(
                    "{} {} seed {} msgs {} del {} share {:.3} worst {:.3} score {:.3} p50 {:.0} p99 {:.0} calls {:.2} ref {:.3} conn {:.3} waste {:.3} def {} und {} away {} held {} breaches {:?} took {:.2}s",
                    x.name,
                    v.name,
                    seed,
                    g.messages,
                    g.delivered,
                    g.share,
                    g.worst_window,
                    g.score,
                    g.p50,
                    g.p99,
                    g.calls,
                    g.refusals,
                    g.connections,
                    g.wasted,
                    g.deferred,
                    g.undeliverable,
                    g.turned_away,
                    g.held_most,
                    p.verdict.counts,
                    t.elapsed().as_secs_f64()
                );
                for b in p.verdict.breaches.iter().take(3) {
                    println!("   {b}");
                }
            }
        }
    }
}
