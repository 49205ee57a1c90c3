//! Guards against a partner that misbehaves within the protocol and takes deliveries away from the other partners. The
//! same messages run with and without its failures, over paired seeds of simulated time. The largest partner, with about
//! a quarter of the traffic, is the one that misbehaves.

use std::collections::HashMap;

use martenlatch_lab::event_log::{EventKind, LoggedEvent};
use martenlatch_lab::experiment::Experiment;
use martenlatch_lab::model::partner::Reply;
use martenlatch_lab::model::site::Site;
use martenlatch_lab::sim;
use rstest::rstest;

const SEEDS: u64 = 8;

/// Figures of all partners but the largest, as shares of their messages: messages served, messages served after the
/// latency objective of 3,000 ms, rejected calls, and calls.
#[derive(Clone, Copy, Debug, Default)]
struct OtherPartners {
    served: f64,
    late: f64,
    rejected: f64,
    calls: f64,
}

/// Runs the failures with a seed, checks that every rule is kept, and returns the figures of the other partners.
fn measure_other_partners(failures: &str, seed: u64) -> OtherPartners {
    let text = format!("length_s: 60 load {{ level: 0.7 }} {failures}");
    let experiment = Experiment::read("t", "t", &text).unwrap_or_else(|e| panic!("{e}"));
    let traffic_shares: Vec<f64> = Site::new(&experiment.world, seed)
        .partners
        .iter()
        .map(|partner| partner.traffic_share)
        .collect();
    let misbehaving = (0..traffic_shares.len())
        .max_by(|a, b| traffic_shares[*a].total_cmp(&traffic_shares[*b]))
        .unwrap() as u32;
    // Time from the first submission to the first success, by the client's message.
    let mut latencies: HashMap<u64, Option<f64>> = HashMap::new();
    let (mut origins, mut calls, mut sum) =
        (HashMap::new(), HashMap::new(), OtherPartners::default());
    let sink = |event: &LoggedEvent| match event.kind {
        EventKind::Submitted {
            origin,
            id,
            partner,
            first: at,
            ..
        } if partner != misbehaving => {
            origins.insert(id, (origin, at));
            latencies.entry(origin).or_insert(None);
        }
        EventKind::CallStarted {
            call, id, partner, ..
        } if partner != misbehaving => {
            calls.insert(call, id);
            sum.calls += 1.0;
        }
        EventKind::CallAnswered { call, reply } => match (calls.get(&call), reply) {
            (Some(id), Reply::Served) => {
                let (origin, at) = origins[id];
                latencies
                    .get_mut(&origin)
                    .unwrap()
                    .get_or_insert(event.at - at);
            }
            (Some(_), Reply::Rejected(_)) => sum.rejected += 1.0,
            _ => {}
        },
        _ => {}
    };
    let run = sim::run(
        &experiment,
        &experiment.variants[0],
        seed,
        Some(Box::new(sink)),
    )
    .unwrap();
    assert!(
        run.verdict.clean(),
        "seed {seed}: {:?}",
        run.verdict.breaches
    );
    let messages = latencies.len() as f64;
    let served: Vec<f64> = latencies.into_values().flatten().collect();
    let late = served.iter().filter(|latency| **latency > 3_000.0).count() as f64;
    OtherPartners {
        served: served.len() as f64 / messages,
        late: late / messages,
        rejected: sum.rejected / messages,
        calls: sum.calls / messages,
    }
}

#[rstest]
#[case::heavy_tail_resets_and_malformed_answers(
    "failure { what: HEAVY_TAIL length_s: 60 size: 20 part: 0.5 partner: 0 }
     failure { what: RESET_AFTER length_s: 60 part: 0.2 partner: 0 }
     failure { what: SPOILT length_s: 60 part: 0.2 partner: 0 }",
    0.03
)]
#[case::rejects_nearly_all_calls(
    "failure { what: TIGHT length_s: 60 size: 0.05 partner: 0 }",
    0.03
)]
#[case::rejects_every_call("failure { what: REFUSE length_s: 60 partner: 0 }", 0.03)]
#[case::answers_no_call("failure { what: HANG length_s: 60 partner: 0 }", 0.03)]
#[case::pauses_every_two_seconds(
    "failure { what: PAUSES length_s: 60 size: 900 every_s: 2 partner: 0 }",
    0.03
)]
fn a_misbehaving_partner_costs_the_others_few_messages(
    #[case] failures: &str,
    #[case] max_lost: f64,
) {
    let mut sums = [OtherPartners::default(); 2];
    let mut lost_shares = Vec::new();
    for seed in 1..=SEEDS {
        let pair = [
            measure_other_partners("", seed),
            measure_other_partners(failures, seed),
        ];
        lost_shares.push(pair[0].served - pair[1].served);
        for (sum, figures) in sums.iter_mut().zip(pair) {
            sum.served += figures.served / SEEDS as f64;
            sum.late += figures.late / SEEDS as f64;
            sum.rejected += figures.rejected / SEEDS as f64;
            sum.calls += figures.calls / SEEDS as f64;
        }
    }
    let mean = lost_shares.iter().sum::<f64>() / SEEDS as f64;
    let variance = lost_shares
        .iter()
        .map(|lost| (lost - mean).powi(2))
        .sum::<f64>()
        / (SEEDS - 1) as f64;
    println!(
        "without {:.4?}\nwith    {:.4?}\nlost {mean:.4} ± {:.4}",
        sums[0],
        sums[1],
        (variance / SEEDS as f64).sqrt()
    );
    assert!(
        mean <= max_lost,
        "the others lost {mean:.4} of their messages"
    );
}
