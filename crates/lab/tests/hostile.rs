//! What one partner that misbehaves within the protocol costs the others: the same messages with and without it, over
//! paired seeds of simulated time. The largest partner, a quarter of the traffic or so, is the one.

use std::collections::HashMap;

use martenlatch_lab::event_log::{EventKind, LoggedEvent};
use martenlatch_lab::experiment::Experiment;
use martenlatch_lab::model::partner::Reply;
use martenlatch_lab::model::site::Site;
use martenlatch_lab::sim;
use rstest::rstest;

const SEEDS: u64 = 8;

/// Of all partners but the largest, in parts of their messages: served, served late, refused calls, calls.
#[derive(Clone, Copy, Debug, Default)]
struct Others {
    served: f64,
    late: f64,
    refused: f64,
    calls: f64,
}

fn others(failures: &str, seed: u64) -> Others {
    let text = format!("length_s: 60 load {{ level: 0.7 }} {failures}");
    let x = Experiment::read("t", "t", &text).unwrap_or_else(|e| panic!("{e}"));
    let parts: Vec<f64> = Site::new(&x.world, seed)
        .partners
        .iter()
        .map(|p| p.traffic_share)
        .collect();
    let hostile = (0..parts.len())
        .max_by(|a, b| parts[*a].total_cmp(&parts[*b]))
        .unwrap() as u32;
    let mut first: HashMap<u64, Option<f64>> = HashMap::new();
    let (mut origins, mut calls, mut sum) = (HashMap::new(), HashMap::new(), Others::default());
    let sink = |fact: &LoggedEvent| match fact.kind {
        EventKind::Submitted {
            origin,
            id,
            partner,
            first: at,
            ..
        } if partner != hostile => {
            origins.insert(id, (origin, at));
            first.entry(origin).or_insert(None);
        }
        EventKind::CallStarted {
            call, id, partner, ..
        } if partner != hostile => {
            calls.insert(call, id);
            sum.calls += 1.0;
        }
        EventKind::CallAnswered { call, reply } => match (calls.get(&call), reply) {
            (Some(id), Reply::Served) => {
                let (origin, at) = origins[id];
                first.get_mut(&origin).unwrap().get_or_insert(fact.at - at);
            }
            (Some(_), Reply::Refused(_)) => sum.refused += 1.0,
            _ => {}
        },
        _ => {}
    };
    let played = sim::play(&x, &x.variants[0], seed, Some(Box::new(sink))).unwrap();
    assert!(
        played.verdict.clean(),
        "seed {seed}: {:?}",
        played.verdict.breaches
    );
    let all = first.len() as f64;
    let took: Vec<f64> = first.into_values().flatten().collect();
    let late = took.iter().filter(|t| **t > 3_000.0).count() as f64;
    Others {
        served: took.len() as f64 / all,
        late: late / all,
        refused: sum.refused / all,
        calls: sum.calls / all,
    }
}

#[rstest]
#[case::answers_by_turns_fast_slow_and_not_at_all(
    "failure { what: HEAVY_TAIL length_s: 60 size: 20 part: 0.5 partner: 0 }
     failure { what: RESET_AFTER length_s: 60 part: 0.2 partner: 0 }
     failure { what: SPOILT length_s: 60 part: 0.2 partner: 0 }",
    0.03
)]
#[case::refuses_nearly_all("failure { what: TIGHT length_s: 60 size: 0.05 partner: 0 }", 0.03)]
#[case::shut_all_day("failure { what: REFUSE length_s: 60 partner: 0 }", 0.03)]
#[case::answers_nothing_all_day("failure { what: HANG length_s: 60 partner: 0 }", 0.03)]
#[case::stands_still_by_turns(
    "failure { what: PAUSES length_s: 60 size: 900 every_s: 2 partner: 0 }",
    0.03
)]
fn one_partner_that_misbehaves_costs_the_others_little(#[case] failures: &str, #[case] most: f64) {
    let mut sums = [Others::default(); 2];
    let mut lost = Vec::new();
    for seed in 1..=SEEDS {
        let pair = [others("", seed), others(failures, seed)];
        lost.push(pair[0].served - pair[1].served);
        for (sum, o) in sums.iter_mut().zip(pair) {
            sum.served += o.served / SEEDS as f64;
            sum.late += o.late / SEEDS as f64;
            sum.refused += o.refused / SEEDS as f64;
            sum.calls += o.calls / SEEDS as f64;
        }
    }
    let mean = lost.iter().sum::<f64>() / SEEDS as f64;
    let square = lost.iter().map(|l| (l - mean).powi(2)).sum::<f64>() / (SEEDS - 1) as f64;
    println!(
        "without {:.4?}\nwith    {:.4?}\nlost {mean:.4} ± {:.4}",
        sums[0],
        sums[1],
        (square / SEEDS as f64).sqrt()
    );
    assert!(mean <= most, "the others lost {mean:.4} of their messages");
}
