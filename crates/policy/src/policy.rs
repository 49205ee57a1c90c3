//! The decision state of one sender, the steps of a turn and the dispatch of events to their handlers.
//!
//! Each submodule covers one concern. The events, actions and settings are in [`crate::interface`].

use crate::collections::*;
use crate::interface::*;
use endpoints::Endpoint;
use messages::{Attempt, Message};
use route::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

mod admission;
mod dispatch;
mod endpoints;
mod faults;
mod messages;
mod outcomes;
mod repeats;
mod resumption;
mod route;

const MILLISECOND: Nanos = 1_000_000;
/// Longest time until a message that waits for capacity, its ordering key or a budget is checked again.
const RECHECK_INTERVAL: Nanos = 20 * MILLISECOND;
/// A turn that runs this long after its due time follows a stall of the process.
const STALL_THRESHOLD: Nanos = 100 * MILLISECOND;
/// Largest extension of the overload windows of a sender. The extension depends on the sender's seed, so that
/// the windows of different senders end at different times.
const MAX_WINDOW_STAGGER: Nanos = 100 * MILLISECOND;
/// Largest in-flight limit that counts as small: a hedge then needs only one free slot, and a hung call may
/// be cancelled even if it is the only one of its route.
const SMALL_IN_FLIGHT_LIMIT: usize = 3;
/// Assumed share of successes among the retries after a rejection, before any retry was observed.
const INITIAL_RETRY_SUCCESS: f64 = 0.5;

/// The decision module of one sender, with its state.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Policy {
    settings: Settings,
    /// Instant of the current turn.
    now: Nanos,
    /// Set at a graceful shutdown: no call may be in flight after this instant.
    shutdown_deadline: Option<Nanos>,
    random: Random,
    /// Extension of each overload window of this sender; see [`MAX_WINDOW_STAGGER`].
    window_stagger: Nanos,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    /// The endpoints of each destination.
    endpoints_of: BTreeMap<DestinationId, Vec<EndpointId>>,
    routes: BTreeMap<RouteKey, RouteState>,
    /// The messages that are not finished or have attempts in flight.
    messages: BTreeMap<MessageId, Message>,
    /// The messages of each ordering key, in the order of acceptance.
    ordering_queues: FifoQueues<KeyId, MessageId>,
    /// Number of attempts in flight, over all routes.
    in_flight: usize,
    wakeup: WakeupTimer,
    /// No hedge is sent before this instant, which is set after a stall.
    no_hedges_until: Nanos,
    /// Latencies of all routes together: the estimate for a route that this sender has hardly called.
    pooled_latencies: LatencyWindow,
    /// Whether the current turn follows a stall.
    stalled: bool,
    /// For each destination kind, the share of retries after a rejection that succeed.
    retry_success_rate: Vec<SuccessRate>,
}

impl Policy {
    /// Creates the state of a sender that starts without any observations. Senders with equal seeds and
    /// events take equal decisions.
    ///
    /// # Errors
    /// Returns an error if a setting is out of range.
    pub fn new(settings: Settings, seed: u64) -> Result<Policy, SettingsError> {
        settings.check()?;
        let random = Random::new(seed);
        let seed_hash_24_bits = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40;
        let window_stagger = (seed_hash_24_bits * MAX_WINDOW_STAGGER) >> 24;
        let retry_success_rate =
            vec![SuccessRate::new(INITIAL_RETRY_SUCCESS); settings.kinds.len()];
        Ok(Policy {
            settings,
            random,
            window_stagger,
            retry_success_rate,
            ..Policy::default()
        })
    }

    /// Continues with the state of an earlier process, under the settings of this process.
    ///
    /// # Errors
    /// Returns an error if a setting is out of range, the settings have a different number of destination
    /// kinds, or they lack a message class or destination kind that the state refers to.
    pub fn restore(mut self, settings: Settings) -> Result<Policy, SettingsError> {
        settings.check()?;
        let classes_exist = self
            .messages
            .values()
            .all(|message| message.class.0 < settings.classes.len());
        let kinds_exist = self
            .endpoints
            .values()
            .all(|endpoint| endpoint.kind.0 < settings.kinds.len());
        if !classes_exist || !kinds_exist || self.retry_success_rate.len() != settings.kinds.len() {
            return Err(SettingsError::RestoredStateMismatch);
        }
        self.settings = settings;
        Ok(self)
    }

    /// Processes the events since the last turn, up to `now`, and appends the resulting actions. All of these
    /// events have to be passed in one call.
    pub fn turn(&mut self, now: Nanos, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now.max(self.now);
        // After a stall, all calls are past their hedge delay, and their hedges would be sent at once.
        self.stalled = self.wakeup.is_late(self.now, STALL_THRESHOLD);
        if self.stalled {
            self.no_hedges_until = self.now + STALL_THRESHOLD;
        }
        events
            .iter()
            .for_each(|event| self.apply_event(event, actions));
        self.handle_overdue_attempts(actions);
        self.dispatch_waiting(actions);
        self.hedge_slow(actions);
        self.shed_load(actions);
        self.messages
            .retain(|_, message| !message.finished || !message.is_idle());
        self.remove_departed_endpoints();
        self.schedule_wakeup(actions);
    }

    fn apply_event(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList(entries) => {
                self.endpoints
                    .values_mut()
                    .for_each(|endpoint| endpoint.state = EndpointState::Removed);
                entries.iter().for_each(|entry| self.update_endpoint(entry));
            }
            Event::EndpointChanges(entries) => {
                entries.iter().for_each(|entry| self.update_endpoint(entry))
            }
            &Event::MessageAccepted {
                id,
                destination,
                class,
                deadline,
                key,
            } => {
                let message = Message {
                    destination,
                    class,
                    deadline,
                    ordering_key: key,
                    ..Message::default()
                };
                self.accept(id, message);
            }
            Event::MessageResumed {
                id,
                destination,
                class,
                deadline,
                attempts,
            } => {
                let message = Message {
                    destination: *destination,
                    class: *class,
                    deadline: *deadline,
                    ..Message::default()
                };
                self.resume(*id, message, attempts);
            }
            &Event::RetryAfterReceived {
                endpoint,
                retry_after,
            } => self.keep_retry_after(endpoint, retry_after),
            Event::Gossip(gossip) => self.apply_gossip(gossip),
            Event::ShutdownDeadline(deadline) => self.shutdown_deadline = Some(*deadline),
            Event::AttemptEnded { .. } => self.end_attempt(event, actions),
            Event::ClientLeft(id) => self.finish(*id, actions),
            Event::Wake => {}
        }
    }

    /// Requests a turn at the earliest instant at which a message has to be checked.
    fn schedule_wakeup(&mut self, actions: &mut Vec<Action>) {
        // The caller's timer may expire a little early: a wake-up within a turn interval counts as expired.
        self.wakeup.expire(self.now + self.settings.turn_interval);
        let Some(next) = self
            .messages
            .values()
            .map(|message| self.next_check(message))
            .min()
        else {
            return;
        };
        let delay = next
            .saturating_sub(self.now)
            .max(self.settings.turn_interval.max(MILLISECOND));
        if self.wakeup.set(self.now + delay) {
            actions.push(Action::WakeAfter(delay));
        }
    }

    /// Instant of the next check of a message. While attempts are in flight, this is when the next of them
    /// becomes slow or overdue. Otherwise it is when a route and the message's retry delay allow a send. In
    /// both cases the check comes shortly before the deadline at the latest.
    fn next_check(&self, message: &Message) -> Nanos {
        let before_deadline = message
            .deadline
            .saturating_sub(2 * self.settings.turn_interval);
        let latest = before_deadline.max(self.now + RECHECK_INTERVAL);
        if !message.is_waiting() {
            let pending = message
                .in_flight()
                .filter(|(_, attempt)| !attempt.cancelled);
            let due_times = pending.flat_map(|(_, attempt)| {
                let route = self.endpoints[&attempt.endpoint].route;
                let (slow_after, overdue_after) =
                    (self.p95_latency(route), self.overdue_after(route));
                [
                    attempt.sent_at + slow_after,
                    attempt.sent_at + overdue_after,
                ]
            });
            return due_times
                .filter(|due| *due > self.now)
                .min()
                .unwrap_or(self.now + 4 * RECHECK_INTERVAL)
                .min(latest);
        }
        let route_ready_at = self.min_over_routes(message.destination, RouteState::ready_at);
        let ready_at = route_ready_at.unwrap_or(Nanos::MAX).max(message.not_before);
        if ready_at > self.now {
            ready_at.min(latest)
        } else {
            (self.now + RECHECK_INTERVAL).min(latest)
        }
    }

    /// The least value among the routes of a destination; `None` if the destination has no endpoints.
    fn min_over_routes(
        &self,
        destination: DestinationId,
        value: impl Fn(&RouteState) -> Nanos,
    ) -> Option<Nanos> {
        let endpoints = self.endpoints_of.get(&destination)?.iter();
        endpoints
            .map(|endpoint| value(&self.routes[&self.endpoints[endpoint].route]))
            .min()
    }
}
