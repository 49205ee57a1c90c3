//! A judge of the rules. It reads only what crossed between the parties, fact by fact in the order of time, and asks
//! neither the model nor the sender what was meant. Each group of rules has a file.

mod answers;
mod calls;
mod collapse;
mod deadlines;
mod ordering;
mod repeats;
mod retry_after;
mod state;
mod verdict;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet, VecDeque};

use martenlatch_clock::Millis;

use crate::event_log::{EventKind, LoggedEvent};
use crate::experiment::{Effect, Experiment, Variant};
use state::{
    BegunCall, Call, DueCheck, KnownEndpoint, Message, OrderingKey, PossibleRuns, RecentCall,
    RecentReply, RepeatScope, Route, Wait,
};
pub use verdict::{Breach, Rule, Verdict};

/// Every time limit is so much longer than its rule says, in milliseconds.
const SLACK: Millis = 50.0;
/// What was told or sent so long ago, in milliseconds, has come.
const TRAVEL: Millis = 100.0;

/// A verdict holds so many breaches; further ones are only counted.
const MOST_BREACHES: usize = 100;

/// What the rules need to know of a class.
#[derive(Clone, Copy, Debug)]
pub struct ClassRule {
    /// What a repeat does.
    pub effect: Effect,
    /// How long an idempotency key is remembered, in milliseconds.
    pub window: Millis,
}

/// Reads a history, and keeps what the rules say of it.
#[derive(Debug)]
pub struct Judge {
    classes: Vec<ClassRule>,
    max_attempts: u32,
    messages: HashMap<u64, Message>,
    /// Calls in flight.
    calls: HashMap<u64, Call>,
    may_have_run: HashMap<RepeatScope, PossibleRuns>,
    recent_replies: VecDeque<RecentReply>,
    due_checks: BinaryHeap<Reverse<DueCheck>>,
    waits: HashMap<Route, Wait>,
    /// Endpoints that drain, and when their sender was notified of that.
    drains: HashMap<KnownEndpoint, Millis>,
    /// Messages with an ordering key that are not over, in the order in which they were handed in.
    ordered: HashMap<OrderingKey, VecDeque<u64>>,
    /// The partner of each endpoint.
    owners: HashMap<u32, u32>,
    /// Until when a sender's answers are not overdue: it is down, or has just come back.
    excused_until: HashMap<u32, Millis>,
    /// Partners in an outage.
    out: HashSet<u32>,
    /// Senders that saw a partner fail during its present or latest outage.
    saw_failing: HashMap<u32, HashSet<u32>>,
    recent_calls: HashMap<u32, VecDeque<RecentCall>>,
    /// The first breaches.
    breaches: Vec<Breach>,
    /// The number of all breaches so far, by rule.
    pub counts: BTreeMap<Rule, u64>,
}

impl Judge {
    /// A judge for classes in their order, who lets each handed-in message have so many attempts.
    pub fn new(classes: Vec<ClassRule>, max_attempts: u32) -> Judge {
        Judge {
            classes,
            max_attempts,
            messages: HashMap::new(),
            calls: HashMap::new(),
            may_have_run: HashMap::new(),
            recent_replies: VecDeque::new(),
            due_checks: BinaryHeap::new(),
            waits: HashMap::new(),
            drains: HashMap::new(),
            ordered: HashMap::new(),
            owners: HashMap::new(),
            excused_until: HashMap::new(),
            out: HashSet::new(),
            saw_failing: HashMap::new(),
            recent_calls: HashMap::new(),
            breaches: Vec::new(),
            counts: BTreeMap::new(),
        }
    }

    /// A judge of a variant's runs.
    pub fn for_variant(experiment: &Experiment, variant: &Variant) -> Judge {
        let rules = experiment
            .world
            .classes
            .iter()
            .map(|class| ClassRule {
                effect: class.effect,
                window: class.window,
            })
            .collect();
        Judge::new(rules, variant.max_attempts)
    }

    /// Takes the next fact; facts must come in the order of time.
    pub fn observe(&mut self, fact: &LoggedEvent) {
        let at = fact.at;
        self.check_deadlines(at);
        match fact.kind {
            EventKind::Submitted { .. }
            | EventKind::ClientAnswered { .. }
            | EventKind::StatusReport { .. }
            | EventKind::Withdrawn { .. } => self.hear_of_message(&fact.kind, at),
            EventKind::CallStarted { .. }
            | EventKind::CallArrived { .. }
            | EventKind::CallAnswered { .. }
            | EventKind::CallFailed { .. } => self.hear_of_call(&fact.kind, at),
            EventKind::Listed { .. } | EventKind::Outage { .. } | EventKind::Collapsed { .. } => {
                self.hear_of_partner(&fact.kind, at);
            }
            EventKind::SenderReady { sender } => self.sender_ready(sender, at),
            EventKind::ShutdownRequested { sender } => self.excuse(sender),
            EventKind::SenderEnded { sender } => self.sender_ended(sender),
            EventKind::CallExecuted { .. } | EventKind::SenderJoined { .. } => {}
        }
    }

    fn hear_of_message(&mut self, what: &EventKind, at: Millis) {
        match *what {
            EventKind::Submitted {
                origin,
                id,
                sender,
                class,
                partner,
                deadline,
                key,
                ..
            } => {
                let message = Message {
                    origin,
                    sender,
                    class,
                    partner,
                    deadline,
                    key,
                    ..Message::default()
                };
                self.handed_in(id, message);
            }
            EventKind::ClientAnswered { id, status } => self.client_answered(id, status, at),
            EventKind::StatusReport { id, deferred, .. } => self.reported(id, deferred, at),
            EventKind::Withdrawn { id } => self.withdrawn(id, at),
            _ => {}
        }
    }

    fn hear_of_call(&mut self, what: &EventKind, at: Millis) {
        match *what {
            EventKind::CallStarted {
                call,
                id: message,
                sender,
                partner,
                endpoint,
                ..
            } => {
                let begun = BegunCall {
                    call,
                    message,
                    sender,
                    partner,
                    endpoint,
                };
                self.call_begins(&begun, at);
            }
            EventKind::CallArrived { call } => self.call_arrived(call, at),
            EventKind::CallAnswered { call, reply } => self.call_replied(call, reply, at),
            EventKind::CallFailed { call, cause: how } => self.call_ended(call, how, at),
            _ => {}
        }
    }

    fn hear_of_partner(&mut self, what: &EventKind, at: Millis) {
        match *what {
            EventKind::Listed {
                sender,
                endpoint,
                partner,
                in_service: on,
            } => self.listed(KnownEndpoint { sender, endpoint }, partner, on, at),
            EventKind::Outage {
                partner,
                in_outage: out,
            } => self.outage_changed(partner, out),
            EventKind::Collapsed { partner } => self.collapsed(partner, at),
            _ => {}
        }
    }

    /// Ends the history at an instant, and says what was broken.
    pub fn end(mut self, at: Millis) -> Verdict {
        self.check_deadlines(at);
        Verdict {
            breaches: self.breaches,
            counts: self.counts,
        }
    }

    fn breach(&mut self, rule: Rule, id: Option<u64>, at: Millis, text: String) {
        *self.counts.entry(rule).or_insert(0) += 1;
        if self.breaches.len() < MOST_BREACHES {
            self.breaches.push(Breach { rule, id, at, text });
        }
    }

    fn sender_ready(&mut self, sender: u32, at: Millis) {
        self.excuse_after_start(sender, at);
        self.waits.retain(|route, _| route.sender != sender);
    }

    fn sender_ended(&mut self, sender: u32) {
        self.excuse(sender);
        // Its next process may not know of a delivery. An idempotent message may be delivered once more; a
        // non-idempotent one is looked at by its own rule.
        for message in self.messages.values_mut() {
            if message.sender == sender {
                message.delivery_unheard = true;
            }
        }
    }

    /// Drops a message that is over and has no call in flight.
    fn forget(&mut self, id: u64) {
        let over = self
            .messages
            .get(&id)
            .is_some_and(|message| message.in_flight == 0 && message.closed);
        if over {
            self.messages.remove(&id);
            self.may_have_run.remove(&RepeatScope::Message(id));
        }
    }
}
