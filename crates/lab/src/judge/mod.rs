//! The judge of the rules. It reads only the event log of the traffic between the parties, in chronological order, and
//! uses no state of the model or the sender. Each group of rules has its own file.

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
    Call, DeadlineCheck, KnownEndpoint, Message, OrderingKey, PossibleRuns, RecentCall,
    RecentReply, RepeatScope, RetryAfter, Route, StartedCall,
};
pub use verdict::{Breach, Rule, Verdict};

/// The tolerance that is added to every time limit of the rules, in milliseconds.
const SLACK: Millis = 50.0;
/// Data sent longer ago than this has arrived, in milliseconds.
const MAX_TRAVEL_TIME: Millis = 100.0;

/// The maximum number of breaches that a verdict lists; further ones are only counted.
const MAX_LISTED_BREACHES: usize = 100;

/// The properties of a message class that the rules depend on.
#[derive(Clone, Copy, Debug)]
pub struct ClassRule {
    /// The effect of repeating a message.
    pub effect: Effect,
    /// The idempotency window: how long an idempotency key is remembered, in milliseconds.
    pub window: Millis,
}

/// Checks the rules against a history of events.
#[derive(Debug)]
pub struct Judge {
    classes: Vec<ClassRule>,
    max_attempts: u32,
    messages: HashMap<u64, Message>,
    /// Calls in flight.
    calls: HashMap<u64, Call>,
    /// The calls that may have run.
    may_have_run: HashMap<RepeatScope, PossibleRuns>,
    recent_replies: VecDeque<RecentReply>,
    deadline_checks: BinaryHeap<Reverse<DeadlineCheck>>,
    retry_after: HashMap<Route, RetryAfter>,
    /// Draining endpoints, with the time at which the sender was notified of the draining.
    draining_since: HashMap<KnownEndpoint, Millis>,
    /// Unfinished messages with an ordering key, in the order of their submission.
    ordering_queues: HashMap<OrderingKey, VecDeque<u64>>,
    /// The partner of each endpoint.
    endpoint_partners: HashMap<u32, u32>,
    /// Until when overdue answers of a sender are excused, as it is down or has just restarted.
    excused_until: HashMap<u32, Millis>,
    partners_in_outage: HashSet<u32>,
    /// The senders that saw a partner fail during its current or latest outage.
    saw_failure: HashMap<u32, HashSet<u32>>,
    recent_calls: HashMap<u32, VecDeque<RecentCall>>,
    /// The first breaches, up to `MAX_LISTED_BREACHES`.
    breaches: Vec<Breach>,
    /// The number of all breaches so far, by rule.
    pub counts: BTreeMap<Rule, u64>,
}

impl Judge {
    /// A judge for the given classes, indexed by their numbers, that allows `max_attempts` for each submitted message.
    pub fn new(classes: Vec<ClassRule>, max_attempts: u32) -> Judge {
        Judge {
            classes,
            max_attempts,
            messages: HashMap::new(),
            calls: HashMap::new(),
            may_have_run: HashMap::new(),
            recent_replies: VecDeque::new(),
            deadline_checks: BinaryHeap::new(),
            retry_after: HashMap::new(),
            draining_since: HashMap::new(),
            ordering_queues: HashMap::new(),
            endpoint_partners: HashMap::new(),
            excused_until: HashMap::new(),
            partners_in_outage: HashSet::new(),
            saw_failure: HashMap::new(),
            recent_calls: HashMap::new(),
            breaches: Vec::new(),
            counts: BTreeMap::new(),
        }
    }

    /// A judge for the runs of a variant.
    pub fn for_variant(experiment: &Experiment, variant: &Variant) -> Judge {
        let rules = experiment
            .world
            .classes
            .iter()
            .map(|class| ClassRule {
                effect: class.effect,
                window: class.idempotency_window,
            })
            .collect();
        Judge::new(rules, variant.max_attempts)
    }

    /// Checks the next event; events must be given in chronological order.
    pub fn observe(&mut self, event: &LoggedEvent) {
        let at = event.at;
        self.check_deadlines(at);
        match event.kind {
            EventKind::Submitted { .. }
            | EventKind::ClientAnswered { .. }
            | EventKind::StatusReport { .. }
            | EventKind::Withdrawn { .. } => self.observe_message(&event.kind, at),
            EventKind::CallStarted { .. }
            | EventKind::CallArrived { .. }
            | EventKind::CallAnswered { .. }
            | EventKind::CallFailed { .. } => self.observe_call(&event.kind, at),
            EventKind::Listed { .. } | EventKind::Outage { .. } | EventKind::Collapsed { .. } => {
                self.observe_partner(&event.kind, at);
            }
            EventKind::SenderReady { sender } => self.sender_ready(sender, at),
            EventKind::ShutdownRequested { sender } => self.excuse(sender),
            EventKind::SenderEnded { sender } => self.sender_ended(sender),
            EventKind::CallExecuted { .. } | EventKind::SenderJoined { .. } => {}
        }
    }

    fn observe_message(&mut self, kind: &EventKind, at: Millis) {
        match *kind {
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
                self.message_submitted(id, message);
            }
            EventKind::ClientAnswered { id, status } => self.client_answered(id, status, at),
            EventKind::StatusReport { id, deferred, .. } => self.report_received(id, deferred, at),
            EventKind::Withdrawn { id } => self.message_withdrawn(id, at),
            _ => {}
        }
    }

    fn observe_call(&mut self, kind: &EventKind, at: Millis) {
        match *kind {
            EventKind::CallStarted {
                call,
                id: message,
                sender,
                partner,
                endpoint,
                ..
            } => {
                let started = StartedCall {
                    call,
                    message,
                    sender,
                    partner,
                    endpoint,
                };
                self.call_started(&started, at);
            }
            EventKind::CallArrived { call } => self.call_arrived(call, at),
            EventKind::CallAnswered { call, reply } => self.call_answered(call, reply, at),
            EventKind::CallFailed { call, cause } => self.call_failed(call, cause, at),
            _ => {}
        }
    }

    fn observe_partner(&mut self, kind: &EventKind, at: Millis) {
        match *kind {
            EventKind::Listed {
                sender,
                endpoint,
                partner,
                in_service,
            } => self.endpoint_listed(KnownEndpoint { sender, endpoint }, partner, in_service, at),
            EventKind::Outage { partner, in_outage } => self.outage_changed(partner, in_outage),
            EventKind::Collapsed { partner } => self.partner_collapsed(partner, at),
            _ => {}
        }
    }

    /// Ends the history at `at` and returns the verdict.
    pub fn end(mut self, at: Millis) -> Verdict {
        self.check_deadlines(at);
        Verdict {
            breaches: self.breaches,
            counts: self.counts,
        }
    }

    fn record_breach(&mut self, rule: Rule, id: Option<u64>, at: Millis, text: String) {
        *self.counts.entry(rule).or_insert(0) += 1;
        if self.breaches.len() < MAX_LISTED_BREACHES {
            self.breaches.push(Breach { rule, id, at, text });
        }
    }

    fn sender_ready(&mut self, sender: u32, at: Millis) {
        self.excuse_after_start(sender, at);
        self.retry_after.retain(|route, _| route.sender != sender);
    }

    fn sender_ended(&mut self, sender: u32) {
        self.excuse(sender);
        // Its next process may not know of a delivery. An idempotent message may be delivered once more; a repeat of a
        // non-idempotent one is covered by `Rule::NoSecondEffect`.
        for message in self.messages.values_mut() {
            if message.sender == sender {
                message.delivery_may_be_unknown = true;
            }
        }
    }

    /// Removes a message whose deadline check is done and that has no call in flight.
    fn remove_if_finished(&mut self, id: u64) {
        let finished = self
            .messages
            .get(&id)
            .is_some_and(|message| message.in_flight == 0 && message.deadline_checked);
        if finished {
            self.messages.remove(&id);
            self.may_have_run.remove(&RepeatScope::Message(id));
        }
    }
}
