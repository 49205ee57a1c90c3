//! What a newcomer learns about partners by gossip: the digests of its peers, merged, aged, and weighed into a prior
//! for the decision module. Merging is commutative, associative and idempotent. A sender's digests hold its own
//! observations only, so gossip is never passed on.

mod digest;
mod evidence;
mod weighing;

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use martenlatch_clock::Millis;
use martenlatch_policy::interface::{EndpointId, GossipedState};
use serde::{Deserialize, Serialize};

use crate::membership::MAX_NAME_BYTES;
pub use digest::{Digest, MAX_ENDPOINT_BYTES, ReportedOutage};
use evidence::Evidence;
use weighing::Weighing;

/// What a piece of knowledge is about: a destination, or one of its endpoints if limits apply to each endpoint
/// separately.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RouteKey {
    /// The destination's number on the platform's endpoint list.
    pub destination: u64,
    /// The endpoint's name there.
    pub endpoint: Option<String>,
}

/// What is believed at most, and for how long. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// The time in which an observation loses half of its weight. An outage is believed for as long.
    pub half_life: Millis,
    /// Longest wait before the next call that is believed.
    pub max_retry_after: Millis,
    /// Lowest latency that is believed.
    pub min_latency: Millis,
    /// Highest latency that is believed.
    pub max_latency: Millis,
    /// Most routes that are kept.
    pub max_routes: usize,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            half_life: 20_000.0,
            max_retry_after: 120_000.0,
            min_latency: 20.0,
            max_latency: 30_000.0,
            max_routes: 16_384,
        }
    }
}

/// What is known of partners by gossip.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PartnerKnowledge {
    by_route: BTreeMap<RouteKey, Evidence>,
}

impl PartnerKnowledge {
    /// The number of routes that something is known of.
    pub fn len(&self) -> usize {
        self.by_route.len()
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.by_route.is_empty()
    }

    /// Takes a digest that `reporter` sent and that was received now. Returns false, and takes nothing, if the digest
    /// or the reporter's name is not valid, or if there is no room for another route.
    pub fn add_digest(
        &mut self,
        reporter: &str,
        digest: &Digest,
        now: Millis,
        bounds: &Bounds,
    ) -> bool {
        if !digest.is_valid() || reporter.is_empty() || reporter.len() > MAX_NAME_BYTES {
            return false;
        }
        let route = RouteKey {
            destination: digest.destination,
            endpoint: digest.endpoint.clone(),
        };
        let full = self.by_route.len() >= bounds.max_routes;
        if full && !self.by_route.contains_key(&route) {
            return false;
        }
        let evidence = Evidence::from_digest(reporter, digest, now, bounds);
        self.by_route.entry(route).or_default().merge(&evidence);
        true
    }

    /// Merges all that another store knows. Past `max_routes` the oldest routes are dropped, whichever store they
    /// came from.
    pub fn merge(&mut self, other: &PartnerKnowledge, max_routes: usize) {
        for (route, evidence) in &other.by_route {
            match self.by_route.entry(route.clone()) {
                Entry::Occupied(mut known) => known.get_mut().merge(evidence),
                Entry::Vacant(unknown) => {
                    unknown.insert(evidence.clone());
                }
            }
        }
        if self.by_route.len() > max_routes {
            self.drop_oldest(max_routes);
        }
    }

    fn drop_oldest(&mut self, max_routes: usize) {
        let mut by_age: Vec<(Millis, RouteKey)> = self
            .by_route
            .iter()
            .map(|(route, evidence)| (evidence.latest(), route.clone()))
            .collect();
        by_age.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        for (_, route) in by_age.drain(max_routes..) {
            self.by_route.remove(&route);
        }
    }

    /// Drops all waits: after a restart a wait that an earlier process was told to keep does not bind this one.
    pub fn clear_retry_after(&mut self) {
        for evidence in self.by_route.values_mut() {
            evidence.not_before = 0.0;
        }
    }

    /// Takes what is known of one route out of the store and weighs it into a prior for the decision module.
    /// `endpoint` is the number of the route's endpoint on the endpoint list.
    pub fn take_prior(
        &mut self,
        route: &RouteKey,
        endpoint: Option<EndpointId>,
        now: Millis,
        bounds: &Bounds,
    ) -> Option<GossipedState> {
        let evidence = self.by_route.remove(route)?;
        let weighing = Weighing {
            evidence: &evidence,
            now,
            bounds,
        };
        weighing.prior(route.destination, endpoint)
    }

    /// Weighs all that is known into priors for the decision module. `number` maps a destination and the name of an
    /// endpoint to the endpoint's number on the endpoint list, or to `None` if the route is not listed.
    pub fn priors(
        &self,
        now: Millis,
        bounds: &Bounds,
        mut number: impl FnMut(u64, Option<&str>) -> Option<Option<EndpointId>>,
    ) -> Vec<GossipedState> {
        let mut priors = Vec::new();
        for (route, evidence) in &self.by_route {
            let destination = route.destination;
            let Some(endpoint) = number(destination, route.endpoint.as_deref()) else {
                continue;
            };
            let weighing = Weighing {
                evidence,
                now,
                bounds,
            };
            priors.extend(weighing.prior(destination, endpoint));
        }
        priors
    }
}
