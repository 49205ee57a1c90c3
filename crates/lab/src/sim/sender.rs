//! The state of one simulated sender: its process, and the data in its state folder, which survives a restart.

use std::collections::{BTreeMap, HashMap};

use martenlatch_clock::{Millis, nanos};
use martenlatch_peers::partner_knowledge::PartnerKnowledge;
use martenlatch_policy::Policy;
use martenlatch_policy::interface::{
    ClassId, DestinationId, EndpointEntry, Event, MessageId, PastAttempt,
};

use super::CLOCK_ORIGIN;
use crate::load::PlannedMessage;

/// How long a sender still accepts messages after it has been asked to shut down.
const ACCEPTS_AFTER_SHUTDOWN: Millis = 600.0;

/// An attempt to deliver a message, as recorded in the sender's state folder.
pub(super) struct Attempt {
    pub sent_at: Millis,
    /// Whether it is known that the attempt did not run at its partner.
    pub never_ran: bool,
}

/// What the write-ahead log of an earlier process says of an attempt.
fn past_attempt(attempt: &Attempt) -> PastAttempt {
    PastAttempt {
        zone: None,
        sent_at: nanos(CLOCK_ORIGIN + attempt.sent_at),
        may_have_run: !attempt.never_ran,
    }
}

/// A message that a sender has accepted.
pub(super) struct HeldMessage {
    pub origin: u64,
    pub deadline: Millis,
    pub attempts: Vec<Attempt>,
    /// Calls in flight by the number of their attempt.
    pub calls: BTreeMap<u32, u64>,
    /// Whether the message has not ended yet.
    pub open: bool,
}

impl HeldMessage {
    /// A message that has just been accepted.
    pub fn new(origin: u64, deadline: Millis) -> HeldMessage {
        HeldMessage {
            origin,
            deadline,
            attempts: Vec::new(),
            calls: BTreeMap::new(),
            open: true,
        }
    }

    /// When the first attempt that may have run was sent. `None` if no attempt may have run.
    pub fn may_have_run_since(&self) -> Option<Millis> {
        self.attempts
            .iter()
            .find(|attempt| !attempt.never_ran)
            .map(|attempt| attempt.sent_at)
    }

    /// The event that passes this message to the decision module of a new process, which does not know the zones.
    pub fn resumed(&self, id: u64, planned: &PlannedMessage) -> Event {
        Event::MessageResumed {
            id: MessageId(id),
            destination: DestinationId(planned.partner.into()),
            class: ClassId(planned.class as usize),
            deadline: nanos(CLOCK_ORIGIN + self.deadline),
            attempts: self.attempts.iter().map(past_attempt).collect(),
        }
    }
}

/// An attempt that has been recorded.
pub(super) struct StartedAttempt {
    /// Its number within the message, from zero.
    pub number: u32,
    pub origin: u64,
    /// Whether the maximum number of calls is in flight, so that the attempt is not sent.
    pub at_capacity: bool,
    /// Whether the message has already ended.
    pub finished: bool,
}

/// The connection on which a call is sent.
#[derive(Clone, Copy)]
pub(super) struct Connection {
    /// When it became idle. `None` for a new connection.
    pub idle_since: Option<Millis>,
    /// Number of idle connections that were closed during the search because they had been idle for too long.
    pub expired: usize,
}

impl Connection {
    pub fn is_new(&self) -> bool {
        self.idle_since.is_none()
    }
}

/// A sender: its process, and the data in its state folder.
#[derive(Default)]
pub(super) struct Sender {
    /// The decision module. `None` while no process runs.
    pub policy: Option<Policy>,
    /// Number of the sender's earlier processes.
    pub incarnation: u32,
    /// Events for the next turn of the decision module.
    pub events: Vec<Event>,
    pub turn_scheduled: bool,
    pub last_turn: Millis,
    pub started_at: Millis,
    /// When it was asked to shut down.
    pub shutdown_at: Option<Millis>,
    /// Time between the end of its process and the start of the next.
    pub restart_after: Millis,
    pub held: BTreeMap<u64, HeldMessage>,
    /// Held messages that have not ended.
    pub open_messages: usize,
    pub calls_in_flight: usize,
    /// For each endpoint, when each idle connection became idle, most recently used last.
    pub idle_connections: HashMap<u32, Vec<Millis>>,
    pub known_endpoints: BTreeMap<u32, EndpointEntry>,
    /// Gossip that was collected in advance for its start.
    pub collected_gossip: Option<PartnerKnowledge>,
}

impl Sender {
    pub fn is_up(&self) -> bool {
        self.policy.is_some()
    }

    /// Whether it shuts down and accepts no more messages.
    pub fn is_draining(&self, now: Millis) -> bool {
        self.shutdown_at
            .is_some_and(|shutdown_at| now >= shutdown_at + ACCEPTS_AFTER_SHUTDOWN)
    }

    /// Whether it has no open message and no call in flight, so that its process may end.
    pub fn is_idle(&self) -> bool {
        self.open_messages == 0 && self.calls_in_flight == 0
    }

    /// Sets up the state of a new process, whose decision module receives `events` at its first turn.
    pub fn begin_process(&mut self, policy: Policy, events: Vec<Event>, now: Millis) {
        self.policy = Some(policy);
        self.shutdown_at = None;
        self.calls_in_flight = 0;
        self.last_turn = f64::NEG_INFINITY;
        self.started_at = now;
        self.idle_connections.clear();
        self.events = events;
    }

    /// Drops the state that is lost with the process, and returns the calls that were in flight, in ascending order.
    pub fn end_process(&mut self) -> Vec<u64> {
        self.incarnation += 1;
        self.turn_scheduled = false;
        self.calls_in_flight = 0;
        self.events.clear();
        let mut calls: Vec<u64> = Vec::new();
        for message in self.held.values_mut() {
            calls.extend(message.calls.values());
            message.calls.clear();
        }
        calls.sort_unstable();
        calls
    }

    /// Marks a message as ended. Returns false if it was not open.
    pub fn close_message(&mut self, id: u64) -> bool {
        let Some(message) = self.held.get_mut(&id).filter(|message| message.open) else {
            return false;
        };
        message.open = false;
        self.open_messages -= 1;
        true
    }

    /// Removes a message if it has ended and has no call in flight.
    pub fn remove_if_finished(&mut self, id: u64) {
        let finished = |message: &HeldMessage| !message.open && message.calls.is_empty();
        if self.held.get(&id).is_some_and(finished) {
            self.held.remove(&id);
        }
    }

    /// Records an attempt to deliver a message. Returns `None` if the message is not held.
    pub fn start_attempt(
        &mut self,
        id: u64,
        max_in_flight: usize,
        now: Millis,
    ) -> Option<StartedAttempt> {
        let message = self.held.get_mut(&id)?;
        let at_capacity = self.calls_in_flight >= max_in_flight;
        let number = message.attempts.len() as u32;
        message.attempts.push(Attempt {
            sent_at: now,
            never_ran: at_capacity,
        });
        Some(StartedAttempt {
            number,
            origin: message.origin,
            at_capacity,
            finished: !message.open,
        })
    }

    /// Takes the most recently used idle connection to an endpoint, or a new one. Closes the connections that have been
    /// idle for `idle_limit` or longer.
    pub fn take_connection(
        &mut self,
        endpoint: u32,
        idle_limit: Millis,
        now: Millis,
    ) -> Connection {
        let idle = self.idle_connections.entry(endpoint).or_default();
        let before = idle.len();
        idle.retain(|since| now - since < idle_limit);
        let expired = before - idle.len();
        Connection {
            idle_since: idle.pop(),
            expired,
        }
    }
}
