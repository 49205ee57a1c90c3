//! The decision state of one sender, the steps of a turn and the processing of events.
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
mod messages;
mod outcomes;
mod route;

const MILLISECOND: Nanos = 1_000_000;
/// Longest time until a message that waits for capacity, its ordering key or a budget is checked again.
const RECHECK_INTERVAL: Nanos = 20 * MILLISECOND;
/// A turn that runs this long after its due time follows a stall of the process.
const STALL_THRESHOLD: Nanos = 100 * MILLISECOND;
/// Largest extension of overload windows. Each sender's follows from its seed, so that their ends differ.
const MAX_WINDOW_STAGGER: Nanos = 100 * MILLISECOND;
/// In-flight limit up to which a hedge needs only one free slot, and even a single hung call is cancelled.
const SMALL_IN_FLIGHT_LIMIT: usize = 3;
/// Assumed share of retries after a rejection that succeed, before any was observed.
const INITIAL_RETRY_SUCCESS: f64 = 0.5;

/// The decision module of one sender, with its state.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Policy {
    settings: Settings,
    now: Nanos,
    /// Set at a graceful shutdown: no call may be in flight after this instant.
    shutdown_deadline: Option<Nanos>,
    random: Random,
    window_stagger: Nanos, // extends each overload window of this sender
    endpoints: BTreeMap<EndpointId, Endpoint>,
    endpoints_of: BTreeMap<DestinationId, Vec<EndpointId>>,
    routes: BTreeMap<RouteKey, RouteState>,
    messages: BTreeMap<MessageId, Message>,
    ordering_queues: FifoQueues<KeyId, MessageId>,
    in_flight: usize, // attempts, over all routes
    wakeup: WakeupTimer,
    no_hedges_until: Nanos, // set after a stall
    /// Latencies of all routes together: the estimate for a route that this sender has hardly called.
    pooled_latencies: LatencyWindow,
    stalled: bool, // whether the present turn follows a stall
    /// For each destination kind, the share of retries after a rejection that succeed.
    retry_success_rate: Vec<SuccessRate>,
}

impl Policy {
    /// The state of a sender that starts without any observations.
    pub fn new(settings: Settings, seed: u64) -> Result<Policy, SettingsError> {
        settings.check()?;
        let random = Random::new(seed);
        let window_stagger =
            ((seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40) * MAX_WINDOW_STAGGER) >> 24;
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

    /// Continues the state that an earlier process passed on, under the settings of this process. Fails if
    /// they are invalid, have other destination kinds, or lack a message class that the state refers to.
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

    /// Processes the events up to `now` and appends the resulting actions. Call it once for all these events.
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
                self.accept(
                    id,
                    Message {
                        destination,
                        class,
                        deadline,
                        key,
                        ..Message::default()
                    },
                );
            }
            &Event::MessageResumed {
                id,
                destination,
                class,
                deadline,
                attempts,
                may_have_run_since,
            } => {
                let message = Message {
                    destination,
                    class,
                    deadline,
                    ..Message::default()
                };
                self.resume(id, message, attempts, may_have_run_since);
            }
            Event::Gossip(gossip) => self.apply_gossip(gossip),
            Event::ShutdownDeadline(deadline) => self.shutdown_deadline = Some(*deadline),
            Event::AttemptEnded { .. } => self.end_attempt(event, actions),
            Event::ClientLeft(id) => self.finish(*id, actions),
            Event::Wake => {}
        }
    }

    fn schedule_wakeup(&mut self, actions: &mut Vec<Action>) {
        // The caller's timer may expire a little early.
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

    fn next_check(&self, message: &Message) -> Nanos {
        let before_deadline = message
            .deadline
            .saturating_sub(2 * self.settings.turn_interval);
        let last = before_deadline.max(self.now + RECHECK_INTERVAL);
        if !message.is_waiting() {
            let due_times =
                message
                    .in_flight()
                    .filter(|(_, a)| !a.cancelled)
                    .flat_map(|(_, attempt)| {
                        let route = self.endpoints[&attempt.endpoint].route;
                        [self.p95_latency(route), self.overdue_after(route)]
                            .map(|delay| attempt.sent_at + delay)
                    });
            return due_times
                .filter(|due| *due > self.now)
                .min()
                .unwrap_or(self.now + 4 * RECHECK_INTERVAL)
                .min(last);
        }
        let ready = self.min_over_routes(message.destination, RouteState::ready_at);
        let ready = ready.unwrap_or(Nanos::MAX).max(message.not_before);
        if ready > self.now {
            ready.min(last)
        } else {
            (self.now + RECHECK_INTERVAL).min(last)
        }
    }

    fn min_over_routes(
        &self,
        of: DestinationId,
        value: impl Fn(&RouteState) -> Nanos,
    ) -> Option<Nanos> {
        let endpoints = self.endpoints_of.get(&of)?.iter();
        endpoints
            .map(|endpoint| value(&self.routes[&self.endpoints[endpoint].route]))
            .min()
    }
}
