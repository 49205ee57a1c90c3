//! The exchange of knowledge with the decision module: its own observations become digests for peers, and what peers
//! observed becomes gossip for it.

use martenlatch_clock::{Millis, nanos};
use martenlatch_peers::partner_knowledge::{Digest, RouteKey};
use martenlatch_peers::wire::MAX_DIGESTS_PER_PAGE;
use martenlatch_policy::Policy;
use martenlatch_policy::interface::{
    DestinationId, EndpointEntry, EndpointId, EndpointState, Event, KindId,
};

use super::PeerService;

/// Gives an endpoint the name that the endpoint list gives it, if it is listed.
pub type EndpointNames<'a> = &'a dyn Fn(EndpointId) -> Option<String>;

/// Where the decision module's list of observations was left, to continue from there.
pub(super) type ObservationCursor = (DestinationId, Option<EndpointId>);

/// The decision module's own observations.
#[derive(Clone, Copy)]
pub(super) struct OwnObservations<'a> {
    pub(super) policy: &'a Policy,
    pub(super) endpoint_names: EndpointNames<'a>,
}

/// Some of the digests, and where to continue.
pub(super) struct DigestPage {
    pub(super) digests: Vec<Digest>,
    /// None if there are no more.
    pub(super) next: Option<ObservationCursor>,
}

impl OwnObservations<'_> {
    /// The digests after a cursor, or from the first one, as many as one page holds.
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
    /// What peers know of endpoints that were just listed, as events for the decision module. Each piece of knowledge is
    /// passed on once.
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
            .filter_map(|route| self.gossip_on(route, endpoint_names, now))
            .collect()
    }

    fn route(&self, entry: &EndpointEntry) -> Route {
        let per_endpoint = self.is_per_endpoint(entry.kind);
        Route {
            destination: entry.destination,
            endpoint: per_endpoint.then_some(entry.endpoint),
        }
    }

    fn is_per_endpoint(&self, kind: KindId) -> bool {
        self.per_endpoint.get(kind.0).copied().unwrap_or(false)
    }

    fn gossip_on(
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
