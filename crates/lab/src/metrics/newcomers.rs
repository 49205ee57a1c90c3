//! The first calls of senders that join a running group: rejected calls, and calls during a Retry-After that the other
//! senders knew.

use std::collections::{HashMap, HashSet};

use martenlatch_clock::Millis;

use super::figures::Figures;

/// The period after a sender joins in which its calls count as its first calls, in milliseconds.
const FIRST_CALLS_PERIOD: Millis = 10_000.0;
/// A Retry-After reaches its sender within this time, in milliseconds.
const MAX_TRAVEL_TIME: Millis = 100.0;

/// A sender that joined.
struct Newcomer {
    joined_at: Millis,
    /// The end of the longest Retry-After of each partner that another sender knew when this one joined.
    known_retry_after: HashMap<u32, Millis>,
}

/// A partner and a sender that calls it.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Route {
    pub partner: u32,
    pub sender: u32,
}

/// A Retry-After that a partner sent to a sender.
#[derive(Clone, Copy, Default)]
struct RetryAfter {
    until: Millis,
    sent_at: Millis,
}

/// Counts the calls of newcomers.
#[derive(Default)]
pub(super) struct Newcomers {
    /// The longest Retry-After of each partner for each sender that is still running.
    retry_after: HashMap<Route, RetryAfter>,
    /// The senders that joined.
    newcomers: HashMap<u32, Newcomer>,
    /// Calls in flight that newcomers started within `FIRST_CALLS_PERIOD`.
    first_calls: HashSet<u64>,
    /// The routes of calls in flight.
    routes: HashMap<u64, Route>,
}

impl Newcomers {
    /// A sender joins: records which Retry-After the other senders know by then.
    pub fn joined(&mut self, sender: u32, at: Millis) {
        let mut known_retry_after = HashMap::<u32, Millis>::new();
        for (route, retry_after) in &self.retry_after {
            // A Retry-After that is still on its way to its sender is not known yet.
            if retry_after.sent_at + MAX_TRAVEL_TIME < at {
                let longest = known_retry_after.entry(route.partner).or_default();
                *longest = longest.max(retry_after.until);
            }
        }
        let newcomer = Newcomer {
            joined_at: at,
            known_retry_after,
        };
        self.newcomers.insert(sender, newcomer);
    }

    /// A sender's process has ended, and with it its knowledge of every Retry-After.
    pub fn sender_ended(&mut self, sender: u32) {
        self.retry_after.retain(|route, _| route.sender != sender);
    }

    /// A call starts.
    pub fn call_started(&mut self, call: u64, route: Route, at: Millis, figures: &mut Figures) {
        self.routes.insert(call, route);
        let Some(newcomer) = self.newcomers.get(&route.sender) else {
            return;
        };
        let known_until = newcomer.known_retry_after.get(&route.partner);
        if known_until.is_some_and(|until| at < *until) {
            figures.calls_into_retry_after += 1;
        }
        if at < newcomer.joined_at + FIRST_CALLS_PERIOD {
            figures.newcomer_calls += 1;
            self.first_calls.insert(call);
        }
    }

    /// A partner rejected a call, possibly with a Retry-After.
    pub fn rejected(
        &mut self,
        call: u64,
        retry_after: Option<Millis>,
        at: Millis,
        figures: &mut Figures,
    ) {
        let is_first_call = self.first_calls.contains(&call);
        let Some(route) = self.routes.get(&call).copied() else {
            return;
        };
        figures.newcomer_rejections += u64::from(is_first_call);
        let until = at + retry_after.unwrap_or(0.0);
        let known = self.retry_after.entry(route).or_default();
        if until > known.until {
            *known = RetryAfter { until, sent_at: at };
        }
    }

    /// A call has ended.
    pub fn call_ended(&mut self, call: u64) {
        self.first_calls.remove(&call);
        self.routes.remove(&call);
    }
}
