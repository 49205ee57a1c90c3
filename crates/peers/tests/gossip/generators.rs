//! Digests for the tests, and generators of them for property tests.

use martenlatch_peers::latency_sketch::LatencySketch;
use martenlatch_peers::partner_knowledge::{Digest, ReportedOutage};
use martenlatch_policy::interface::EndpointId;
use proptest::prelude::*;

/// A digest of a healthy partner.
pub fn digest(destination: u64) -> Digest {
    Digest {
        successes: 20.0,
        latency: LatencySketch::from_latencies([300.0; 20]),
        ..Digest::new(destination)
    }
}

/// Numbers for an endpoint list that has every destination.
pub fn listed(_: u64, _: Option<&str>) -> Option<Option<EndpointId>> {
    Some(None)
}

/// A digest that was received.
#[derive(Clone, Debug)]
pub struct Received {
    pub reporter: String,
    pub digest: Digest,
    pub at: f64,
}

fn any_outage() -> impl Strategy<Value = Option<ReportedOutage>> {
    prop_oneof![
        Just(None),
        Just(Some(ReportedOutage::Unresponsive)),
        Just(Some(ReportedOutage::Rejecting)),
        (0u32..20).prop_map(|s| Some(ReportedOutage::Recovering {
            since: s as f32 * 500.0
        })),
    ]
}

/// Any received digest, of few reporters and destinations, so that they meet.
pub fn any_received() -> impl Strategy<Value = Received> {
    let reporter = (0u8..4).prop_map(|t| format!("t{t}"));
    let latencies = prop::collection::vec(1.0f64..60_000.0, 0..6);
    (
        reporter,
        0u64..3,
        0u32..6,
        0u32..4,
        any_outage(),
        latencies,
        prop::option::of(1u32..4),
        0u32..8,
    )
        .prop_map(
            |(reporter, destination, age, wait, outage, latencies, limit, at)| {
                let digest = Digest {
                    age: age as f32 * 1_000.0,
                    retry_after: wait as f32 * 700.0,
                    rate_limit: limit.map(|l| l as f32),
                    latency: LatencySketch::from_latencies(latencies),
                    outage,
                    ..digest(destination)
                };
                Received {
                    reporter,
                    digest,
                    at: 10_000.0 + f64::from(at) * 1_000.0,
                }
            },
        )
}
