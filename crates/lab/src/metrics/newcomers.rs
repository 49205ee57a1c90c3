//! How senders that join a running group behave at first: calls that are rejected, and calls into a Retry-After that the
//! others knew of.

use std::collections::{HashMap, HashSet};

use martenlatch_clock::Millis;

use super::figures::Figures;

/// What counts as a newcomer's first time.
const FIRST_SECONDS: Millis = 10_000.0;
/// A Retry-After has come to its sender after so long.
const TRAVEL: Millis = 100.0;

/// A sender that joined.
struct Newcomer {
    since: Millis,
    /// Until when each partner had told another sender to wait.
    known_waits: HashMap<u32, Millis>,
}

/// A partner and a sender that calls it.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Route {
    pub partner: u32,
    pub sender: u32,
}

/// A Retry-After.
#[derive(Clone, Copy, Default)]
struct Wait {
    until: Millis,
    told: Millis,
}

/// Counts what newcomers do.
#[derive(Default)]
pub(super) struct Newcomers {
    /// The longest Retry-After in force of each partner for each sender that still runs.
    waits: HashMap<Route, Wait>,
    newcomers: HashMap<u32, Newcomer>,
    /// Calls of newcomers within their first time.
    first_calls: HashSet<u64>,
    /// The routes of calls in flight.
    routes: HashMap<u64, Route>,
}

impl Newcomers {
    /// A sender joins: notes what the others know by then.
    pub fn joined(&mut self, sender: u32, at: Millis) {
        let mut known_waits = HashMap::<u32, Millis>::new();
        for (route, wait) in &self.waits {
            // One that is on its way to its sender is not known yet.
            if wait.told + TRAVEL < at {
                let longest = known_waits.entry(route.partner).or_default();
                *longest = longest.max(wait.until);
            }
        }
        let newcomer = Newcomer {
            since: at,
            known_waits,
        };
        self.newcomers.insert(sender, newcomer);
    }

    /// A sender's process has ended, and with it what it knew.
    pub fn sender_ended(&mut self, sender: u32) {
        self.waits.retain(|route, _| route.sender != sender);
    }

    /// A call begins.
    pub fn call_begins(&mut self, call: u64, route: Route, at: Millis, figures: &mut Figures) {
        self.routes.insert(call, route);
        let Some(newcomer) = self.newcomers.get(&route.sender) else {
            return;
        };
        let known_wait = newcomer.known_waits.get(&route.partner);
        if known_wait.is_some_and(|until| at < *until) {
            figures.into_waits += 1;
        }
        if at < newcomer.since + FIRST_SECONDS {
            figures.newcomer_calls += 1;
            self.first_calls.insert(call);
        }
    }

    /// A call was rejected, perhaps with a Retry-After.
    pub fn rejected(
        &mut self,
        call: u64,
        retry_after: Option<Millis>,
        at: Millis,
        figures: &mut Figures,
    ) {
        let first = self.first_calls.contains(&call);
        let Some(route) = self.routes.get(&call).copied() else {
            return;
        };
        figures.newcomer_refused += u64::from(first);
        let until = at + retry_after.unwrap_or(0.0);
        let known = self.waits.entry(route).or_default();
        if until > known.until {
            *known = Wait { until, told: at };
        }
    }

    /// A call is over.
    pub fn call_over(&mut self, call: u64) {
        self.first_calls.remove(&call);
        self.routes.remove(&call);
    }
}
