//! The exchange of knowledge with the decision module: its own observations are converted to digests for peers, and the
//! observations of peers are passed to it as gossip.

use martenlatch_clock::{Millis, nanos};
use martenlatch_peers::partner_knowledge::{Digest, RouteKey};
use martenlatch_peers::wire::MAX_DIGESTS_PER_PAGE;
use martenlatch_policy::Policy;
use martenlatch_policy::interface::{
    DestinationId, EndpointEntry, EndpointId, EndpointState, Event, KindId,
};

use super::PeerService;

/// Maps an endpoint to its name on the endpoint list, or to `None` if it is not listed.
pub type EndpointNames<'a> = &'a dyn Fn(EndpointId) -> Option<String>;

/// The position in the decision module's list of observations from which to continue.
pub(super) type ObservationCursor = (DestinationId, Option<EndpointId>);

/// The decision module's own observations.
#[derive(Clone, Copy)]
pub(super) struct OwnObservations<'a> {
    pub(super) policy: &'a Policy,
    pub(super) endpoint_names: EndpointNames<'a>,
}

/// One page of digests, and the position from which to continue.
pub(super) struct DigestPage {
    pub(super) digests: Vec<Digest>,
    /// `None` if there are no more digests.
    pub(super) next: Option<ObservationCursor>,
}

impl OwnObservations<'_> {
    /// The digests of one page: those after a cursor, or the first ones without a cursor.
    pub(super) fn digests(&self, after: Option<ObservationCursor>, now: Millis) -> DigestPage {
        let (observations, next) =
            self.policy
                .observations(nanos(now), after, MAX_DIGESTS_PER_PAGE);
        let digests = observations.iter().map(|observation| {
            let endpoint = observation.endpoint.and_then(self.endpoint_names);
            Digest::from_observation(observation, endpoint)
        });
        DigestPage {
            digests: digests.collect(),
            next,
        }
    }
}

/// A destination, or one of its endpoints if limits apply to each endpoint separately.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Route {
    destination: DestinationId,
    endpoint: Option<EndpointId>,
}

impl PeerService {
    /// The knowledge of peers about endpoints that were just listed, as events for the decision module. The knowledge
    /// of each route is passed on only once.
    pub fn gossip_events(
        &mut self,
        listed: &[EndpointEntry],
        endpoint_names: EndpointNames,
        now: Millis,
    ) -> Vec<Event> {
        if self.knowledge.is_empty() {
            return Vec::new();
        }
        let active = listed
            .iter()
            .filter(|entry| entry.state == EndpointState::Active);
        let mut routes: Vec<Route> = active.map(|entry| self.route(entry)).collect();
        routes.sort_unstable();
        routes.dedup();
        routes
            .into_iter()
            .filter_map(|route| self.gossip_event(route, endpoint_names, now))
            .collect()
    }

    fn route(&self, entry: &EndpointEntry) -> Route {
        let per_endpoint = self.has_limits_per_endpoint(entry.kind);
        Route {
            destination: entry.destination,
            endpoint: per_endpoint.then_some(entry.endpoint),
        }
    }

    fn has_limits_per_endpoint(&self, kind: KindId) -> bool {
        self.limits_per_endpoint
            .get(kind.0)
            .copied()
            .unwrap_or(false)
    }

    fn gossip_event(
        &mut self,
        route: Route,
        endpoint_names: EndpointNames,
        now: Millis,
    ) -> Option<Event> {
        let endpoint = match route.endpoint {
            Some(endpoint) => Some(endpoint_names(endpoint)?),
            None => None,
        };
        let key = RouteKey {
            destination: route.destination.0,
            endpoint,
        };
        let prior = self
            .knowledge
            .take_prior(&key, route.endpoint, now, &self.bounds)?;
        Some(Event::Gossip(prior))
    }
}
