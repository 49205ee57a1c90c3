//! What a sender has itself seen of its partners, read out for others. It decides nothing, and must never
//! change what the decisions rest on.

use super::*;
use std::ops::Bound::{Excluded, Unbounded};

impl Route {
    fn outage(&self, now: Nanos, set: &Settings) -> Option<Outage> {
        let back = self.returning.map(|since| now.saturating_sub(since));
        let rests = self.doubt >= DOUBT && self.rest_until > 0;
        if self.down() || (rests && self.refused_run == 0) {
            return Some(Outage::Unresponsive);
        }
        // A wait of an outage still runs, or everything is turned away.
        if rests || self.returning.is_some_and(|since| since > now) || self.refused_run >= SHUT_RUN {
            return Some(Outage::Rejecting);
        }
        back.filter(|since| *since < set.recovery.duration).map(|since| Outage::Recovering { since })
    }
}

impl Policy {
    /// Whether an endpoint gets nothing now by choice: its route is down, refuses all, or is rested from.
    pub fn is_avoided(&self, endpoint: EndpointId) -> bool {
        let route = self.endpoints.get(&endpoint).and_then(|e| self.routes.get(&e.route));
        route.is_some_and(|r| r.on_trial() || r.rest_until > self.now)
    }

    /// What this sender has itself seen of up to `most` routes after `after`, in the order of their names, as
    /// it stands after the latest turn; and the route to go on from, where there are more. Hearsay is not
    /// among it, except for a wait at a route that was called here too.
    pub fn observations(
        &self, now: Nanos, after: Option<(DestinationId, Option<EndpointId>)>, most: usize,
    ) -> (Vec<Observation>, Option<(DestinationId, Option<EndpointId>)>) {
        let from = after.map_or(Unbounded, Excluded);
        let mut routes = self.routes.range((from, Unbounded));
        let (mut observations, mut last) = (Vec::new(), None);
        // As many are looked at as are told at most, so that a page costs the same however few were called.
        for (key, route) in routes.by_ref().take(most) {
            last = Some(*key);
            let Some(sent) = route.last_send else { continue };
            let outage = route.outage(now, &self.set);
            let (served, refused) = route.calls.at(now);
            let mut latencies: Vec<Nanos> = route.latencies.own().collect();
            latencies.sort_unstable();
            observations.push(Observation {
                destination: key.0,
                endpoint: key.1,
                age: now.saturating_sub(sent),
                wait: route.wait_until.saturating_sub(now),
                gap: route.gap,
                limit: route.limit.filter(|_| outage.is_none()),
                served,
                refused,
                latencies,
                outage,
            });
        }
        (observations, last.filter(|_| routes.next().is_some()))
    }
}
