//! Calls of simulated senders: how they are sent, how the network carries or loses them, and how they end for their
//! sender.

use martenlatch_clock::{Millis, nanos};
use martenlatch_policy::interface::{Event, MessageId, Outcome};

use super::event::SimEvent;
use super::sender::Connection;
use super::simulation::Simulation;
use super::variant_settings::CONNECT_TIMEOUT;
use crate::event_log::{CallFailure, EventKind};
use crate::model::fault_schedule::ActiveFaults;
use crate::model::partner::Reply;
use crate::network::{self, Direction};

/// A sender closes idle connections after this share of the idle time after which partners close them.
const IDLE_LIMIT_SHARE: f64 = 0.9;

/// A call in flight.
pub(super) struct Call {
    /// The message's number at its sender.
    pub id: u64,
    /// The client's message.
    pub origin: u64,
    pub attempt: u32,
    pub sender: u32,
    pub partner: u32,
    pub endpoint: u32,
    pub sent_at: Millis,
    /// Whether its connection is reset after its last byte.
    pub reset_after_last_byte: bool,
}

impl Simulation<'_> {
    /// Sends an attempt to deliver a message to an endpoint.
    pub(super) fn send(&mut self, sender: u32, id: u64, endpoint: u32, timeout: Millis) {
        let max_in_flight = self.settings.max_in_flight;
        let state = &mut self.senders[sender as usize];
        let Some(attempt) = state.start_attempt(id, max_in_flight, self.now) else {
            return;
        };
        if attempt.at_capacity {
            let not_sent = Event::AttemptEnded {
                id: MessageId(id),
                attempt: attempt.number,
                outcome: Outcome::NotSent,
                took: 0,
                finished: attempt.finished,
            };
            return self.notify(sender, not_sent);
        }
        let partner = self.environment.partner_of(endpoint);
        let faults = self.environment.faults_at(partner, self.now);
        let resets = network::draw_resets(
            self.seed,
            attempt.origin,
            attempt.number,
            faults.connection_resets,
        );
        let connection = self.take_connection(sender, endpoint);
        let call = self.add_call(Call {
            id,
            origin: attempt.origin,
            attempt: attempt.number,
            sender,
            partner,
            endpoint,
            sent_at: self.now,
            reset_after_last_byte: resets.after_last_byte,
        });
        self.record(EventKind::CallStarted {
            call,
            id,
            sender,
            partner,
            endpoint,
            new_connection: connection.is_new(),
        });
        self.schedule(self.now + timeout, SimEvent::CallTimeout { call });
        self.cross_network(call, connection, &faults, resets.before_last_byte);
    }

    fn take_connection(&mut self, sender: u32, endpoint: u32) -> Connection {
        let idle_limit = self.experiment.world.idle_timeout * IDLE_LIMIT_SHARE;
        let state = &mut self.senders[sender as usize];
        let connection = state.take_connection(endpoint, idle_limit, self.now);
        let open = &mut self.connections[endpoint as usize];
        *open -= connection.expired as u32;
        *open += u32::from(connection.is_new());
        connection
    }

    /// Registers a call that is sent now, and returns its number.
    fn add_call(&mut self, call: Call) -> u64 {
        let number = self.next_call;
        self.next_call += 1;
        let sender = &mut self.senders[call.sender as usize];
        sender.calls_in_flight += 1;
        if let Some(message) = sender.held.get_mut(&call.id) {
            message.calls.insert(call.attempt, number);
        }
        self.calls.insert(number, call);
        number
    }

    /// Schedules the arrival of a call at its partner, or its loss on the way.
    fn cross_network(
        &mut self,
        call: u64,
        connection: Connection,
        faults: &ActiveFaults,
        reset_before: bool,
    ) {
        let latency = self.latency(call, Direction::ToPartner);
        let is_new = connection.is_new();
        let arrives_at = self.now + latency * network::one_way_trips(is_new);
        let is_stale = connection
            .idle_since
            .is_some_and(|since| self.now - since >= faults.idle_close_after);
        if faults.partitioned {
            // On an open connection no loss is scheduled, so the call ends by its timeout.
            if is_new {
                let at = self.now + CONNECT_TIMEOUT;
                self.schedule_loss(at, call, CallFailure::NeverSent, Outcome::Unreachable);
            }
        } else if is_stale {
            let at = arrives_at + latency;
            self.schedule_loss(at, call, CallFailure::Reset, Outcome::StaleConnection);
        } else if reset_before {
            let outcome = if is_new {
                Outcome::Unreachable
            } else {
                Outcome::NotSent
            };
            self.schedule_loss(arrives_at, call, CallFailure::NeverSent, outcome);
        } else {
            self.schedule(arrives_at, SimEvent::CallAtPartner { call });
        }
    }

    fn schedule_loss(&mut self, at: Millis, call: u64, how: CallFailure, outcome: Outcome) {
        self.schedule(at, SimEvent::CallLost { call, how, outcome });
    }

    /// Resets the connection of a call after its last byte. The sender notices one latency later.
    pub(super) fn reset_call(&mut self, call: u64) {
        let at = self.now + self.latency(call, Direction::ToSender);
        self.schedule_loss(at, call, CallFailure::Reset, Outcome::ConnectionLost);
    }

    /// Writes a partner's reply, which reaches the sender one latency later.
    pub(super) fn reply(&mut self, call: u64, reply: Reply) {
        if self.calls.contains_key(&call) {
            self.record(EventKind::CallAnswered { call, reply });
            let at = self.now + self.latency(call, Direction::ToSender);
            self.schedule(at, SimEvent::AnswerAtSender { call, reply });
        }
    }

    /// Ends a call without an answer, and closes its connection.
    pub(super) fn lose_call(&mut self, call: u64, how: CallFailure, outcome: Outcome) {
        if !self.calls.contains_key(&call) {
            return;
        }
        self.record(EventKind::CallFailed { call, cause: how });
        if let Some(ended) = self.end_call(call, outcome) {
            self.connections[ended.endpoint as usize] -= 1;
        }
    }

    /// Ends a call whose answer has arrived at the sender. Keeps its connection unless the answer is malformed.
    pub(super) fn answer_at_sender(&mut self, call: u64, reply: Reply) {
        let outcome = match reply {
            Reply::Served => Outcome::Success,
            Reply::Failed | Reply::Malformed => Outcome::Failure,
            Reply::Rejected(retry_after) => Outcome::Overloaded {
                retry_after: nanos(retry_after.unwrap_or(0.0)),
            },
        };
        let Some(ended) = self.end_call(call, outcome) else {
            return;
        };
        if reply == Reply::Malformed {
            self.connections[ended.endpoint as usize] -= 1;
            return;
        }
        let idle_connections = &mut self.senders[ended.sender as usize].idle_connections;
        let idle = idle_connections.entry(ended.endpoint).or_default();
        idle.push(self.now);
    }

    /// Ends a call for its sender, and notifies the sender's decision module.
    fn end_call(&mut self, call: u64, outcome: Outcome) -> Option<Call> {
        let ended = self.calls.remove(&call)?;
        let sender = &mut self.senders[ended.sender as usize];
        sender.calls_in_flight -= 1;
        let message = sender.held.get_mut(&ended.id)?;
        message.calls.remove(&ended.attempt);
        if outcome.never_ran() {
            message.attempts[ended.attempt as usize].never_ran = true;
        }
        if outcome == Outcome::Success && message.open {
            message.open = false;
            sender.open_messages -= 1;
        }
        let finished = !message.open;
        sender.remove_if_finished(ended.id);
        let attempt_ended = Event::AttemptEnded {
            id: MessageId(ended.id),
            attempt: ended.attempt,
            outcome,
            took: nanos(self.now - ended.sent_at),
            finished,
        };
        self.notify(ended.sender, attempt_ended);
        Some(ended)
    }
}
