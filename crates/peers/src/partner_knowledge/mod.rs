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
pub struct Subject {
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
    pub max_wait: Millis,
    /// Lowest latency that is believed.
    pub min_latency: Millis,
    /// Highest latency that is believed.
    pub max_latency: Millis,
    /// Most subjects that are kept.
    pub max_subjects: usize,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            half_life: 20_000.0,
            max_wait: 120_000.0,
            min_latency: 20.0,
            max_latency: 30_000.0,
            max_subjects: 16_384,
        }
    }
}

/// What is known of partners by gossip.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PartnerKnowledge {
    by_subject: BTreeMap<Subject, Evidence>,
}

impl PartnerKnowledge {
    /// The number of subjects that something is known of.
    pub fn len(&self) -> usize {
        self.by_subject.len()
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.by_subject.is_empty()
    }

    /// Takes a digest that `reporter` sent and that was received now. Returns false, and takes nothing, if the digest
    /// or the reporter's name is not valid, or if there is no room for another subject.
    pub fn hear(&mut self, reporter: &str, digest: &Digest, now: Millis, bounds: &Bounds) -> bool {
        if !digest.is_valid() || reporter.is_empty() || reporter.len() > MAX_NAME_BYTES {
            return false;
        }
        let subject = Subject {
            destination: digest.destination,
            endpoint: digest.endpoint.clone(),
        };
        let full = self.by_subject.len() >= bounds.max_subjects;
        if full && !self.by_subject.contains_key(&subject) {
            return false;
        }
        let evidence = Evidence::of(reporter, digest, now, bounds);
        self.by_subject.entry(subject).or_default().merge(&evidence);
        true
    }

    /// Merges all that another store knows. Past `max_subjects` the oldest subjects are dropped, whichever store they
    /// came from.
    pub fn merge(&mut self, other: &PartnerKnowledge, max_subjects: usize) {
        for (subject, evidence) in &other.by_subject {
            match self.by_subject.entry(subject.clone()) {
                Entry::Occupied(mut known) => known.get_mut().merge(evidence),
                Entry::Vacant(unknown) => {
                    unknown.insert(evidence.clone());
                }
            }
        }
        if self.by_subject.len() > max_subjects {
            self.drop_oldest(max_subjects);
        }
    }

    fn drop_oldest(&mut self, max_subjects: usize) {
        let mut by_age: Vec<(Millis, Subject)> = self
            .by_subject
            .iter()
            .map(|(subject, evidence)| (evidence.latest(), subject.clone()))
            .collect();
        by_age.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        for (_, subject) in by_age.drain(max_subjects..) {
            self.by_subject.remove(&subject);
        }
    }

    /// Drops all waits: after a restart a wait that an earlier process was told to keep does not bind this one.
    pub fn forget_waits(&mut self) {
        for evidence in self.by_subject.values_mut() {
            evidence.wait_until = 0.0;
        }
    }

    /// Takes what is known of one subject out of the store and weighs it into a prior for the decision module.
    /// `endpoint` is the number of the subject's endpoint on the endpoint list.
    pub fn take_prior(
        &mut self,
        subject: &Subject,
        endpoint: Option<EndpointId>,
        now: Millis,
        bounds: &Bounds,
    ) -> Option<GossipedState> {
        let evidence = self.by_subject.remove(subject)?;
        let weighing = Weighing {
            evidence: &evidence,
            now,
            bounds,
        };
        weighing.prior(subject.destination, endpoint)
    }

    /// Weighs all that is known into priors for the decision module. `number` maps a destination and the name of an
    /// endpoint to the endpoint's number on the endpoint list, or to `None` if the subject is not listed.
    pub fn told(
        &self,
        now: Millis,
        bounds: &Bounds,
        mut number: impl FnMut(u64, Option<&str>) -> Option<Option<EndpointId>>,
    ) -> Vec<GossipedState> {
        let mut priors = Vec::new();
        for (subject, evidence) in &self.by_subject {
            let destination = subject.destination;
            let Some(endpoint) = number(destination, subject.endpoint.as_deref()) else {
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
