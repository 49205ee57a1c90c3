//! Owns what others have told of partners: the merging of it, its ageing, and the weight that it has for a newcomer.
//! Merging is commutative, associative and idempotent. It must never pass hearsay on, hold more partners than its
//! bound, or let what was learned before an outage raise a pace after it.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use martenlatch_clock::{Millis, millis, nanos};
use martenlatch_policy::interface::{
    DestinationId, EndpointId, GossipedState, Observation, Outage,
};
use serde::{Deserialize, Serialize};

use crate::latency_sketch::LatencySketch;
use crate::membership::NAME;

/// Longest name of an endpoint, in bytes.
pub const ENDPOINT: usize = 128;
/// How many tellers count for one partner: the latest.
const TELLERS: usize = 2;
/// Calls that hearsay stands for at most: the newcomer's own outweigh it after as many.
const STANDS_FOR: f64 = 12.0;
/// Calls from which a teller's latencies count wholly.
const ENOUGH: f64 = 20.0;
/// Longest pacing gap that is believed.
const GAP: Millis = 1_000.0;

/// What a piece of knowledge is about: a destination, or one endpoint of it where these are apart.
pub type Subject = (u64, Option<String>);

/// How an outage is told; times are spans before the telling.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum ReportedOutage {
    /// It does not answer.
    Unresponsive,
    /// It turns everything away.
    Rejecting,
    /// It answers again since so long.
    Recovering { since: f32 },
}

/// What one sender itself has seen of a partner. Times are spans in milliseconds: clocks may differ.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The destination's number on the platform's list.
    pub destination: u64,
    /// The endpoint's name there, where endpoints are apart.
    pub endpoint: Option<String>,
    /// Since the latest call that all this rests on.
    pub age: f32,
    /// How long nothing may be sent there yet.
    pub wait: f32,
    /// The pacing gap.
    pub gap: f32,
    /// Calls a second that it takes from all, where that is known.
    pub limit: Option<f32>,
    /// Served and refused calls, each halving with age.
    pub served: f32,
    /// See `served`.
    pub refused: f32,
    /// Latencies of served calls.
    pub latency: LatencySketch,
    /// What was seen amiss.
    pub outage: Option<ReportedOutage>,
}

impl Digest {
    /// Of a destination of which nothing was seen.
    pub fn new(destination: u64) -> Digest {
        Digest {
            destination,
            endpoint: None,
            age: 0.0,
            wait: 0.0,
            gap: 0.0,
            limit: None,
            served: 0.0,
            refused: 0.0,
            latency: LatencySketch::default(),
            outage: None,
        }
    }

    /// What the decision module says that it has seen, under the name that the list gives an endpoint.
    pub fn of(sight: &Observation, name: Option<String>) -> Digest {
        let span = |nanos| millis(nanos) as f32;
        Digest {
            destination: sight.destination.0,
            endpoint: name,
            age: span(sight.age),
            wait: span(sight.wait),
            gap: span(sight.gap),
            limit: sight.limit.map(|l| l as f32),
            served: sight.served as f32,
            refused: sight.refused as f32,
            latency: LatencySketch::of(sight.latencies.iter().map(|l| millis(*l))),
            outage: sight.outage.map(|outage| match outage {
                Outage::Unresponsive => ReportedOutage::Unresponsive,
                Outage::Rejecting => ReportedOutage::Rejecting,
                Outage::Recovering { since } => ReportedOutage::Recovering { since: span(since) },
            }),
        }
    }

    /// Whether every figure is one: spans and counts finite and not negative, a limit above zero, names not too long.
    pub fn sound(&self) -> bool {
        let span = |s: f32| s.is_finite() && s >= 0.0;
        let since = match self.outage {
            Some(ReportedOutage::Recovering { since }) => since,
            _ => 0.0,
        };
        [
            self.age,
            self.wait,
            self.gap,
            self.served,
            self.refused,
            since,
        ]
        .into_iter()
        .all(span)
            && self.limit.is_none_or(|l| l.is_finite() && l > 0.0)
            && self
                .endpoint
                .as_ref()
                .is_none_or(|e| !e.is_empty() && e.len() <= ENDPOINT)
            && self.latency.sound()
    }
}

/// What is believed at most, and for how long.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// In which what is known of a pace loses half of its weight. An outage is believed in for as long.
    pub half_life: Millis,
    /// Longest wait that is believed.
    pub wait: Millis,
    /// Least and most latency that is believed.
    pub latency: (Millis, Millis),
    /// Most partners (or endpoints) that are kept.
    pub most: usize,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            half_life: 20_000.0,
            wait: 120_000.0,
            latency: (20.0, 30_000.0),
            most: 16_384,
        }
    }
}

/// One teller's part. The later one of a teller stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct View {
    teller: String,
    seen: Millis,
    gap: f32,
    limit: Option<f32>,
    served: f32,
    refused: f32,
    latency: LatencySketch,
}

impl View {
    /// Of two views of one teller the greater is the later; a total order, so that merging in any order agrees.
    fn order(&self, other: &View) -> std::cmp::Ordering {
        let key = |v: &View| {
            [
                v.seen,
                v.gap.into(),
                v.limit.map_or(-1.0, f64::from),
                v.served.into(),
                v.refused.into(),
            ]
        };
        let (a, b) = (key(self), key(other));
        let first = a
            .iter()
            .zip(&b)
            .map(|(x, y)| x.total_cmp(y))
            .find(|o| o.is_ne());
        first
            .unwrap_or_else(|| self.latency.cmp(&other.latency))
            .then_with(|| self.teller.cmp(&other.teller))
    }
}

/// All that is heard of one subject. Instants are the hearer's.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Heard {
    wait_until: Millis,
    /// When it was last seen down, shut, and when it was last seen to come back.
    down: Option<Millis>,
    shut: Option<Millis>,
    back: Option<Millis>,
    views: Vec<View>,
}

fn later(a: Option<Millis>, b: Option<Millis>) -> Option<Millis> {
    [a, b].into_iter().flatten().reduce(f64::max)
}

impl Heard {
    fn merge(&mut self, other: &Heard) {
        self.wait_until = self.wait_until.max(other.wait_until);
        (self.down, self.shut) = (later(self.down, other.down), later(self.shut, other.shut));
        self.back = later(self.back, other.back);
        for view in &other.views {
            match self.views.iter_mut().find(|v| v.teller == view.teller) {
                Some(own) if own.order(view).is_lt() => *own = view.clone(),
                Some(_) => {}
                None => self.views.push(view.clone()),
            }
        }
        self.views.sort_by(|a, b| b.order(a));
        self.views.truncate(TELLERS);
    }

    /// The latest instant that this rests on; what is older gives way in a full store.
    fn latest(&self) -> Millis {
        let seen = self.views.iter().map(|v| v.seen).reduce(f64::max);
        later(later(self.down, self.shut), later(self.back, seen))
            .unwrap_or(0.0)
            .max(self.wait_until)
    }
}

/// What is known by hearsay.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PartnerKnowledge {
    of: BTreeMap<Subject, Heard>,
}

impl PartnerKnowledge {
    /// How many partners (or endpoints) something is known of.
    pub fn len(&self) -> usize {
        self.of.len()
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.of.is_empty()
    }

    /// Takes what a teller has told of itself, as heard now. False if it is not sound, or there is no room.
    pub fn hear(&mut self, teller: &str, digest: &Digest, now: Millis, bounds: &Bounds) -> bool {
        if !digest.sound() || teller.is_empty() || teller.len() > NAME {
            return false;
        }
        let subject = (digest.destination, digest.endpoint.clone());
        if self.of.len() >= bounds.most && !self.of.contains_key(&subject) {
            return false;
        }
        let seen = now - f64::from(digest.age);
        let mut heard = Heard {
            wait_until: now + f64::from(digest.wait).min(bounds.wait),
            ..Heard::default()
        };
        match digest.outage {
            Some(ReportedOutage::Unresponsive) => heard.down = Some(seen),
            Some(ReportedOutage::Rejecting) => heard.shut = Some(seen),
            Some(ReportedOutage::Recovering { since }) => heard.back = Some(now - f64::from(since)),
            None => {}
        }
        heard.views.push(View {
            teller: teller.into(),
            seen,
            gap: digest.gap,
            limit: digest.limit,
            served: digest.served,
            refused: digest.refused,
            latency: digest.latency.clone(),
        });
        self.of.entry(subject).or_default().merge(&heard);
        true
    }

    /// Takes all that another store knows. Past `most` the oldest give way, whichever store they came from.
    pub fn merge(&mut self, other: &PartnerKnowledge, most: usize) {
        for (subject, heard) in &other.of {
            match self.of.entry(subject.clone()) {
                Entry::Occupied(mut own) => own.get_mut().merge(heard),
                Entry::Vacant(fresh) => drop(fresh.insert(heard.clone())),
            }
        }
        if self.of.len() > most {
            let mut ages: Vec<(Millis, Subject)> = self
                .of
                .iter()
                .map(|(s, h)| (h.latest(), s.clone()))
                .collect();
            ages.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
            ages.drain(..most);
            ages.into_iter()
                .for_each(|(_, subject)| drop(self.of.remove(&subject)));
        }
    }

    /// Drops waits: after a restart one that was told to an earlier life binds nobody.
    pub fn forget_waits(&mut self) {
        self.of.values_mut().for_each(|h| h.wait_until = 0.0);
    }

    /// What the decision module is told of one subject, weighed by its age; `endpoint` is its number on the list. Told
    /// once: what is known of it is forgotten.
    pub fn take_told(
        &mut self,
        subject: &Subject,
        endpoint: Option<EndpointId>,
        now: Millis,
        bounds: &Bounds,
    ) -> Option<GossipedState> {
        weigh(subject.0, endpoint, &self.of.remove(subject)?, now, bounds)
    }

    /// What the decision module is told, each piece weighed by its age. `number` gives an endpoint its number on the
    /// list, or nothing where it is not listed.
    pub fn told(
        &self,
        now: Millis,
        bounds: &Bounds,
        mut number: impl FnMut(u64, Option<&str>) -> Option<Option<EndpointId>>,
    ) -> Vec<GossipedState> {
        let listed = self
            .of
            .iter()
            .filter_map(|(s, h)| Some((s.0, number(s.0, s.1.as_deref())?, h)));
        listed
            .filter_map(|(destination, endpoint, heard)| {
                weigh(destination, endpoint, heard, now, bounds)
            })
            .collect()
    }
}

fn weigh(
    destination: u64,
    endpoint: Option<EndpointId>,
    heard: &Heard,
    now: Millis,
    bounds: &Bounds,
) -> Option<GossipedState> {
    let weight = |at: Millis| 0.5f64.powf((now - at).max(0.0) / bounds.half_life);
    let wait = (heard.wait_until - now).max(0.0);
    let served = heard
        .views
        .iter()
        .filter(|v| v.latency.count() > 0)
        .map(|v| v.seen)
        .reduce(f64::max);
    let out = later(heard.down, heard.shut);
    // One that was seen out, and to serve later, is back since it was seen out at the earliest.
    let outage = match out {
        Some(at) if served.is_none_or(|s| s <= at) && heard.back.is_none_or(|b| b <= at) => {
            // Long ago it may have come back since, unseen: no more is known than by a cold start.
            let fresh = weight(at) >= 0.5 || wait > 0.0;
            fresh.then_some(if heard.down == Some(at) {
                Outage::Unresponsive
            } else {
                Outage::Rejecting
            })
        }
        _ => later(out, heard.back).map(|at| Outage::Recovering {
            since: nanos((now - at).max(0.0)),
        }),
    };
    let outage_at = later(out, heard.back);
    let (mut gap, mut limit, mut latency, mut calls) =
        (0.0f64, None::<f64>, LatencySketch::default(), 0.0f64);
    for view in &heard.views {
        let age = weight(view.seen);
        gap = gap.max(f64::from(view.gap).min(GAP) * age);
        // Of several the least is safe; one from before an outage would raise the pace after it.
        let before = outage_at.is_some_and(|at| view.seen <= at);
        if let Some(told) = view.limit.filter(|_| age >= 0.5 && !before) {
            limit = Some(limit.map_or(f64::from(told), |l| l.min(told.into())));
        }
        calls += age * (f64::from(view.latency.count()) / ENOUGH).min(1.0);
        latency.add(&view.latency);
    }
    let many = (STANDS_FOR * calls.min(1.0)).round() as usize;
    let (least, most) = bounds.latency;
    let latencies: Vec<u64> = latency
        .stand_for(many)
        .into_iter()
        .map(|l| nanos(l.clamp(least, most)))
        .collect();
    let gap = if gap < 1.0 { 0 } else { nanos(gap) };
    let told = GossipedState {
        destination: DestinationId(destination),
        endpoint,
        wait: nanos(wait),
        gap,
        limit,
        latencies,
        outage,
    };
    let nothing =
        told.wait == 0 && told.gap == 0 && told.limit.is_none() && told.latencies.is_empty();
    (!nothing || told.outage.is_some()).then_some(told)
}
