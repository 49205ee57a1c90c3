//! Gossip about partners: a starting sender merges the digests of its peers, weights them by their age, and derives
//! priors for the decision module from them. Merging is commutative, associative and idempotent. A sender's digests
//! contain only its own observations, so gossip is never forwarded.

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

/// Identifies a route in the same way for all senders: a destination, or one of its endpoints if limits apply to each
/// endpoint separately.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RouteKey {
    /// The destination's number on the platform's endpoint list.
    pub destination: u64,
    /// The endpoint's name on that list.
    pub endpoint: Option<String>,
}

/// Bounds on what is accepted from gossip. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// The time in which an observation loses half of its weight. An observed outage is assumed to continue for this
    /// time.
    pub half_life: Millis,
    /// Maximum Retry-After; a longer one is shortened to it.
    pub max_retry_after: Millis,
    /// Minimum latency; a lower one is raised to it.
    pub min_latency: Millis,
    /// Maximum latency; a higher one is reduced to it.
    pub max_latency: Millis,
    /// Maximum number of routes.
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

/// The store of evidence about partners that was received by gossip.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PartnerKnowledge {
    by_route: BTreeMap<RouteKey, Evidence>,
}

impl PartnerKnowledge {
    /// The number of routes with evidence.
    pub fn len(&self) -> usize {
        self.by_route.len()
    }

    /// Whether there is no evidence.
    pub fn is_empty(&self) -> bool {
        self.by_route.is_empty()
    }

    /// Adds a digest that was received from `reporter` at `now`. Returns false, and adds nothing, if the digest or the
    /// reporter's name is invalid, or if there is no room for another route.
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

    /// Merges the evidence of another store. If the result has more than `max_routes` routes, the oldest ones are
    /// dropped, whichever store they came from.
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
            .map(|(route, evidence)| (evidence.latest_instant(), route.clone()))
            .collect();
        by_age.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        for (_, route) in by_age.drain(max_routes..) {
            self.by_route.remove(&route);
        }
    }

    /// Drops every Retry-After, because one that an earlier process received does not bind this process.
    pub fn clear_retry_after(&mut self) {
        for evidence in self.by_route.values_mut() {
            evidence.not_before = 0.0;
        }
    }

    /// Removes the evidence about one route from the store, weights it by its age, and derives a prior for the decision
    /// module from it. `endpoint` is the number of the route's endpoint on the endpoint list. Returns `None` if there
    /// is no evidence, or if it is too old.
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

    /// Derives priors for the decision module from the evidence about all routes, weighted by its age.
    /// `endpoint_number` maps a destination and an endpoint's name to the endpoint's number on the endpoint list, or to
    /// `None` if the route is not listed.
    pub fn priors(
        &self,
        now: Millis,
        bounds: &Bounds,
        mut endpoint_number: impl FnMut(u64, Option<&str>) -> Option<Option<EndpointId>>,
    ) -> Vec<GossipedState> {
        let mut priors = Vec::new();
        for (route, evidence) in &self.by_route {
            let destination = route.destination;
            let Some(endpoint) = endpoint_number(destination, route.endpoint.as_deref()) else {
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
