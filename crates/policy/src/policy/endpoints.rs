//! Endpoints of the endpoint list, gossip about their routes, and own observations of the routes.

use super::*;

/// Factor by which an approximate weight may be higher than the true rate limit.
const APPROXIMATE_WEIGHT_ERROR: f64 = 1.5;

/// State of an endpoint.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct Endpoint {
    pub(super) destination: DestinationId,
    pub(super) zone: ZoneId,
    pub(super) kind: KindId,
    /// State in the endpoint list. An endpoint that is not in the list is [`EndpointState::Removed`].
    pub(super) state: EndpointState,
    /// The route that the endpoint belongs to.
    pub(super) route: RouteKey,
    /// Moving average of the latencies of successful calls.
    pub(super) smoothed_latency: SmoothedLatency,
    pub(super) consecutive_failures: u32,
    /// Number of attempts in flight.
    pub(super) in_flight: usize,
    pub(super) connection: ConnectionUse,
}

impl Policy {
    /// Applies an entry of the endpoint list. An entry with an unknown destination kind, or with the id of an
    /// endpoint of another destination, is ignored.
    pub(super) fn update_endpoint(&mut self, entry: &EndpointEntry) {
        let Some(kind) = self.settings.kinds.get(entry.kind.0) else {
            return;
        };
        let &EndpointEntry {
            endpoint: id,
            destination,
            zone,
            kind: kind_id,
            ..
        } = entry;
        let known = self.endpoints.get(&id);
        if known.is_some_and(|known| known.destination != destination) {
            return;
        }
        let route_key = RouteKey {
            destination,
            endpoint: kind.per_endpoint.then_some(id),
        };
        if !self.endpoints.contains_key(&id) {
            self.endpoints_of.entry(destination).or_default().push(id);
        }
        let serves_route = |endpoint: &Endpoint| {
            endpoint.route == route_key && endpoint.state == EndpointState::Active
        };
        let mut destination_endpoints = self.endpoints_of[&destination]
            .iter()
            .filter_map(|id| self.endpoints.get(id));
        let route_was_unserved = !destination_endpoints.any(serves_route);
        let new_endpoint = Endpoint {
            destination,
            zone,
            kind: kind_id,
            route: route_key,
            ..Endpoint::default()
        };
        let endpoint = self.endpoints.entry(id).or_insert(new_endpoint);
        // An endpoint that is active again after draining was restarted and is cold. Its route is cold as
        // well if it has no other active endpoint.
        let was_restarted =
            endpoint.state == EndpointState::Draining && entry.state == EndpointState::Active;
        endpoint.state = entry.state;
        let route = self.routes.entry(route_key).or_default();
        let rate_limit = self
            .settings
            .weight_meaning
            .rate_limit(entry.weight, APPROXIMATE_WEIGHT_ERROR);
        route.rate_limit = rate_limit.filter(|limit| *limit > 0.0).or(route.rate_limit);
        if was_restarted && route_was_unserved {
            route.recovering_since = Some(self.now);
        }
    }

    /// Deletes the state of removed endpoints that have no attempt in flight. Endpoints are replaced all day,
    /// so that the state would otherwise grow without limit.
    pub(super) fn remove_departed_endpoints(&mut self) {
        let has_departed = |endpoint: &Endpoint| {
            endpoint.state == EndpointState::Removed && endpoint.in_flight == 0
        };
        if self.endpoints.values().any(has_departed) {
            self.endpoints.retain(|_, endpoint| !has_departed(endpoint));
            let kept = &self.endpoints;
            self.endpoints_of
                .values_mut()
                .for_each(|ids| ids.retain(|id| kept.contains_key(id)));
            self.routes
                .retain(|key, _| key.endpoint.is_none_or(|id| kept.contains_key(&id)));
        }
    }

    /// The routes on which nothing may be sent for now, each as a destination or one of its endpoints, and
    /// until when.
    pub fn retry_after_deadlines(
        &self,
    ) -> impl Iterator<Item = (DestinationId, Option<EndpointId>, Nanos)> {
        let waiting = |(_, route): &(_, &RouteState)| route.retry_after_until > self.now;
        let waiting_routes = self.routes.iter().filter(waiting);
        waiting_routes.map(|(key, route)| (key.destination, key.endpoint, route.retry_after_until))
    }

    /// Sends nothing on the route of an endpoint for a time.
    pub(super) fn keep_retry_after(&mut self, endpoint: EndpointId, retry_after: Nanos) {
        let Some(endpoint) = self.endpoints.get(&endpoint) else {
            return;
        };
        if let Some(route) = self.routes.get_mut(&endpoint.route) {
            route.retry_after_until = route.retry_after_until.max(self.now + retry_after);
        }
    }

    /// Applies what other senders observed of a route. Its Retry-After applies at once; the rest is used only
    /// if this sender has neither called the route nor received gossip with latencies of it.
    pub(super) fn apply_gossip(&mut self, gossip: &GossipedState) {
        let route_key = RouteKey {
            destination: gossip.destination,
            endpoint: gossip.endpoint,
        };
        let mut endpoints = self
            .endpoints_of
            .get(&gossip.destination)
            .into_iter()
            .flatten()
            .copied();
        let Some(endpoint) = endpoints.find(|id| self.endpoints[id].route == route_key) else {
            return;
        };
        let route = self
            .routes
            .get_mut(&route_key)
            .expect("each listed endpoint has a route");
        let retry_after = gossip.remaining_retry_after;
        route.retry_after_until = route
            .retry_after_until
            .max(self.now.saturating_add(retry_after));
        if route.last_sent_at.is_some() || route.latencies.has_priors() {
            return;
        }
        route
            .pacing_interval
            .raise_to(gossip.pacing_interval.min(MAX_PACING_INTERVAL));
        route.rate_limit = route
            .rate_limit
            .or(gossip.rate_limit.filter(|limit| *limit > 0.0));
        for latency in gossip.latencies.iter().take(LatencyWindow::CAPACITY / 2) {
            route.latencies.record(*latency);
            self.pooled_latencies.record(*latency);
        }
        route.latencies.mark_as_priors();
        match gossip.outage {
            Some(Outage::Unresponsive) => route.outcome_history.assume_failures(BREAKER_FAILURES),
            Some(Outage::Rejecting) => {
                route.consecutive_rejections = if retry_after > 0 { 1 } else { BREAKER_FAILURES };
                route.recovering_since = Some(self.now.max(route.retry_after_until));
            }
            Some(Outage::Recovering { elapsed }) => {
                route.recovering_since = Some(self.now.saturating_sub(elapsed))
            }
            None => {}
        }
        // This sender backs off, probes and recovers like the senders that observed the outage.
        if let Some(Outage::Unresponsive | Outage::Rejecting) = gossip.outage {
            self.record_fault(endpoint, SUSPICION_THRESHOLD);
        }
    }

    /// Whether an endpoint is avoided now: its route is down, rejects all calls, or is in backoff.
    pub fn is_avoided(&self, endpoint: EndpointId) -> bool {
        let route = self
            .endpoints
            .get(&endpoint)
            .and_then(|endpoint| self.routes.get(&endpoint.route));
        route.is_some_and(|route| route.is_half_open() || route.backoff_until > self.now)
    }

    /// Returns one page of this sender's own observations, as of the latest turn, in the order of the routes.
    /// The page covers up to `max_routes` routes, starting with the first one that follows `after`. If more
    /// routes follow, the second value is the `after` of the next page.
    ///
    /// Gossip is left out, except for the Retry-After of a route that this sender has called as well.
    pub fn observations(
        &self,
        now: Nanos,
        after: Option<(DestinationId, Option<EndpointId>)>,
        max_routes: usize,
    ) -> (
        Vec<Observation>,
        Option<(DestinationId, Option<EndpointId>)>,
    ) {
        let observe = |key, route: &RouteState| route.observe(key, now, &self.settings);
        let (observations, next_after) =
            read_page(&self.routes, after.map(RouteKey::from), max_routes, observe);
        (observations, next_after.map(RouteKey::into))
    }
}
