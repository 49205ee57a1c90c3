//! The state of one simulated sender: its process, and what its folder keeps over a restart.

use std::collections::{BTreeMap, HashMap};

use martenlatch_clock::{Millis, nanos};
use martenlatch_peers::partner_knowledge::PartnerKnowledge;
use martenlatch_policy::Policy;
use martenlatch_policy::interface::{ClassId, DestinationId, EndpointEntry, Event, MessageId};

use super::CLOCK_ORIGIN;
use crate::load::PlannedMessage;

/// A sender that shuts down takes new messages for so long.
const ACCEPTS_FOR: Millis = 600.0;

/// One attempt to deliver a message, as the sender's folder records it.
pub(super) struct Attempt {
    pub sent_at: Millis,
    /// It is known that the attempt did not reach its partner.
    pub never_ran: bool,
}

/// A message that a sender holds.
pub(super) struct HeldMessage {
    pub origin: u64,
    pub deadline: Millis,
    pub attempts: Vec<Attempt>,
    /// Calls in flight, by the number of the attempt.
    pub calls: BTreeMap<u32, u64>,
    /// It has not ended yet.
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

    /// When the first attempt was sent that may have run.
    pub fn may_have_run_since(&self) -> Option<Millis> {
        self.attempts
            .iter()
            .find(|attempt| !attempt.never_ran)
            .map(|attempt| attempt.sent_at)
    }

    /// The event that tells a new process of this message.
    pub fn resumed(&self, id: u64, planned: &PlannedMessage) -> Event {
        Event::MessageResumed {
            id: MessageId(id),
            destination: DestinationId(planned.partner.into()),
            class: ClassId(planned.class as usize),
            deadline: nanos(CLOCK_ORIGIN + self.deadline),
            attempts: self.attempts.len() as u32,
            may_have_run_since: self
                .may_have_run_since()
                .map(|sent_at| nanos(CLOCK_ORIGIN + sent_at)),
        }
    }
}

/// How an attempt begins.
pub(super) struct StartedAttempt {
    /// Its number within the message, from zero.
    pub number: u32,
    pub origin: u64,
    /// No call may be added to those in flight, so that it is not sent.
    pub at_capacity: bool,
    /// The message has ended already.
    pub finished: bool,
}

/// The connection that a call leaves on.
#[derive(Clone, Copy)]
pub(super) struct Connection {
    /// Since when it was idle; none for a new one.
    pub idle_since: Option<Millis>,
    /// Idle connections that were closed on the way, as they had been idle for too long.
    pub expired: usize,
}

impl Connection {
    pub fn is_new(&self) -> bool {
        self.idle_since.is_none()
    }
}

/// A sender: its process, and what its folder keeps.
#[derive(Default)]
pub(super) struct Sender {
    /// The decision module; none while no process runs.
    pub policy: Option<Policy>,
    /// How many processes came before this one.
    pub incarnation: u32,
    /// Events for the decision module at its next turn.
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
    /// Idle connections to each endpoint, since when; the most recently used last.
    pub idle_connections: HashMap<u32, Vec<Millis>>,
    pub known_endpoints: BTreeMap<u32, EndpointEntry>,
    /// The gossip that it is given when it starts, where that was collected before.
    pub collected_gossip: Option<PartnerKnowledge>,
}

impl Sender {
    pub fn is_up(&self) -> bool {
        self.policy.is_some()
    }

    /// Whether it shuts down, and takes no new messages any more.
    pub fn is_draining(&self, now: Millis) -> bool {
        self.shutdown_at
            .is_some_and(|shutdown_at| now >= shutdown_at + ACCEPTS_FOR)
    }

    /// Whether nothing keeps it from ending its process.
    pub fn is_idle(&self) -> bool {
        self.open_messages == 0 && self.calls_in_flight == 0
    }

    /// Sets up the state of a new process, which receives `events` at its first turn.
    pub fn begin_process(&mut self, policy: Policy, events: Vec<Event>, now: Millis) {
        self.policy = Some(policy);
        self.shutdown_at = None;
        self.calls_in_flight = 0;
        self.last_turn = f64::NEG_INFINITY;
        self.started_at = now;
        self.idle_connections.clear();
        self.events = events;
    }

    /// Drops what dies with the process, and returns the calls that were in flight, in ascending order.
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

    /// Notes that a message has ended. Returns false where it was not open.
    pub fn close_message(&mut self, id: u64) -> bool {
        let Some(message) = self.held.get_mut(&id).filter(|message| message.open) else {
            return false;
        };
        message.open = false;
        self.open_messages -= 1;
        true
    }

    /// Forgets a message that has ended and has no call in flight.
    pub fn forget_if_finished(&mut self, id: u64) {
        let finished = |message: &HeldMessage| !message.open && message.calls.is_empty();
        if self.held.get(&id).is_some_and(finished) {
            self.held.remove(&id);
        }
    }

    /// Records an attempt of a message; none where the message is not held.
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

    /// Takes the most recently used idle connection to an endpoint, or a new one. Those that have been idle for the
    /// limit are closed.
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
