//! Digests for the tests, and generators of digests for the property tests.

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

/// Plays an endpoint list that contains every route, none of them with an endpoint number.
pub fn all_listed(_: u64, _: Option<&str>) -> Option<Option<EndpointId>> {
    Some(None)
}

/// A digest, with its reporter and the time at which it was received.
#[derive(Clone, Debug)]
pub struct Received {
    pub reporter: String,
    pub digest: Digest,
    pub received_at: f64,
}

fn any_outage() -> impl Strategy<Value = Option<ReportedOutage>> {
    prop_oneof![
        Just(None),
        Just(Some(ReportedOutage::Unresponsive)),
        Just(Some(ReportedOutage::Rejecting)),
        (0u32..20).prop_map(|half_seconds| Some(ReportedOutage::Recovering {
            elapsed: half_seconds as f32 * 500.0
        })),
    ]
}

/// Any received digest, from few reporters and on few destinations, so that digests on the same route are common.
pub fn any_received() -> impl Strategy<Value = Received> {
    let reporter = (0u8..4).prop_map(|number| format!("reporter-{number}"));
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
            |(
                reporter,
                destination,
                age,
                retry_after,
                outage,
                latencies,
                rate_limit,
                received_at,
            )| {
                let digest = Digest {
                    age: age as f32 * 1_000.0,
                    retry_after: retry_after as f32 * 700.0,
                    rate_limit: rate_limit.map(|limit| limit as f32),
                    latency: LatencySketch::from_latencies(latencies),
                    outage,
                    ..digest(destination)
                };
                Received {
                    reporter,
                    digest,
                    received_at: 10_000.0 + f64::from(received_at) * 1_000.0,
                }
            },
        )
}
