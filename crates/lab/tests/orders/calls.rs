//! The turns of the fleet's decision modules, and the calls that the senders make.

use martenlatch_clock::{Millis, millis, nanos};
use martenlatch_lab::event_log::{CallFailure, EventKind};
use martenlatch_lab::model::partner::{COLLAPSE_FACTOR, COLLAPSE_WINDOW, Reply};
use martenlatch_policy::interface::{Action, Event, MessageId, Outcome};
use martenlatch_wal::{AttemptRecord, FinalStatus};

use crate::fleet::{CAPACITY, Call, ENDPOINT_PARTNERS, Fleet, INITIAL_SHARE, WARM_UP};
use crate::steps::CallSelector;

/// The event that notifies a sender's decision module of the end of an attempt.
pub struct AttemptNotification {
    pub sender: usize,
    pub event: Event,
}

impl Fleet {
    /// Runs turns of a sender's decision module until its actions lead to no further event.
    pub fn run_turns(&mut self, sender: usize, mut events: Vec<Event>) {
        loop {
            let Some(policy) = self.senders[sender].policy.as_mut() else {
                return;
            };
            let mut actions = Vec::new();
            policy.turn(nanos(self.now), &events, &mut actions);
            events = actions
                .into_iter()
                .filter_map(|action| self.execute(sender, action))
                .collect();
            if events.is_empty() {
                return;
            }
        }
    }

    fn execute(&mut self, sender: usize, action: Action) -> Option<Event> {
        match action {
            Action::Send {
                id,
                endpoint,
                timeout,
                ..
            } => self.send(sender, id.0, endpoint.0, millis(timeout)),
            Action::Cancel { id, attempt } => self.cancel(sender, id.0, attempt),
            Action::Reject { id, .. } => self.give_up(sender, id.0, FinalStatus::Deferred(None)),
            Action::Fail { id } => self.give_up(sender, id.0, FinalStatus::Undeliverable),
            Action::WakeAfter(delay) => {
                self.senders[sender].wake_at = Some(self.now + millis(delay));
                None
            }
            Action::CloseIdle(_) => None,
        }
    }

    fn cancel(&mut self, sender: usize, id: u64, attempt: u32) -> Option<Event> {
        let is_cancelled =
            |call: &Call| (call.sender, call.id, call.attempt) == (sender, id, attempt);
        let (call, _) = self.calls.iter().find(|(_, call)| is_cancelled(call))?;
        let call = *call;
        let cause = CallFailure::Cancelled;
        self.record(EventKind::CallFailed { call, cause });
        self.end_call(call, Outcome::Cancelled)
            .map(|notification| notification.event)
    }

    /// Sends an attempt to deliver a message to an endpoint. Returns the event of its end if it ends at once.
    pub fn send(
        &mut self,
        sender: usize,
        id: u64,
        endpoint: u32,
        timeout: Millis,
    ) -> Option<Event> {
        let now = self.now;
        let state = &mut self.senders[sender];
        let message = state.held.get_mut(&id)?;
        let attempt = message.record.attempts.len() as u32;
        let wal = state.wal.as_mut().unwrap();
        assert!(wal.append_attempt(id, attempt as usize, now));
        message.record.attempts.push(AttemptRecord {
            sent_at: now,
            never_ran: false,
        });
        let partner = ENDPOINT_PARTNERS[endpoint as usize];
        let call = self.next_call;
        self.next_call += 1;
        self.coverage.retries += usize::from(attempt > 0);
        let same_message = |call: &Call| (call.sender, call.id) == (sender, id);
        self.coverage.hedges += usize::from(self.calls.values().any(same_message));
        self.record(EventKind::CallStarted {
            call,
            id,
            sender: sender as u32,
            partner,
            endpoint,
            new_connection: true,
        });
        self.calls.insert(
            call,
            Call {
                id,
                attempt,
                sender,
                partner,
                sent_at: now,
                times_out_at: now + timeout,
            },
        );
        self.arrive(call, partner)
    }

    /// Delivers a call to its partner. The call ends at once if the partner is in an outage.
    fn arrive(&mut self, call: u64, partner: u32) -> Option<Event> {
        if self.in_outage.contains(&partner) {
            let cause = CallFailure::NeverSent;
            self.record(EventKind::CallFailed { call, cause });
            let notification = self.end_call(call, Outcome::Unreachable);
            return notification.map(|notification| notification.event);
        }
        self.record(EventKind::CallArrived { call });
        self.collapse_under_load(partner);
        None
    }

    /// Counts a call to a partner that is warming up, which collapses under too many calls.
    fn collapse_under_load(&mut self, partner: u32) {
        let now = self.now;
        let recovered_at = self.recovered_at.get(&partner);
        let Some(recovered_at) = recovered_at.filter(|at| now < **at + WARM_UP) else {
            return;
        };
        self.coverage.calls_while_warming_up += 1;
        let warmth = INITIAL_SHARE + (1.0 - INITIAL_SHARE) * (now - recovered_at) / WARM_UP;
        let arrivals = self.recent_arrivals.entry(partner).or_default();
        arrivals.push(now);
        arrivals.retain(|at| *at >= now - COLLAPSE_WINDOW);
        let max_arrivals = COLLAPSE_FACTOR * CAPACITY * warmth * COLLAPSE_WINDOW / 1e3;
        if arrivals.len() as f64 > max_arrivals && !self.collapsed {
            self.collapsed = true;
            self.record(EventKind::Collapsed { partner });
        }
    }

    /// Ends a call for its sender, and returns the notification for the sender's decision module.
    pub fn end_call(&mut self, call: u64, outcome: Outcome) -> Option<AttemptNotification> {
        let ended = self.calls.remove(&call)?;
        let sender = &mut self.senders[ended.sender];
        let message = sender.held.get_mut(&ended.id)?;
        let wal = sender.wal.as_mut()?;
        if outcome.never_ran() {
            message.record.attempts[ended.attempt as usize].never_ran = true;
            wal.append_never_ran(ended.id, ended.attempt as usize);
        }
        if outcome == Outcome::Success && message.open {
            message.open = false;
            wal.append_closed(ended.id, &message.record.id);
        }
        Some(AttemptNotification {
            sender: ended.sender,
            event: Event::AttemptEnded {
                id: MessageId(ended.id),
                attempt: ended.attempt,
                outcome,
                took: nanos(self.now - ended.sent_at),
                finished: !message.open,
            },
        })
    }

    /// Gives up a message. The platform confirms the status report at once.
    fn give_up(&mut self, sender: usize, id: u64, status: FinalStatus) -> Option<Event> {
        let state = &mut self.senders[sender];
        let message = state.held.get_mut(&id).filter(|message| message.open)?;
        let wal = state.wal.as_mut()?;
        message.open = false;
        wal.append_final_status(id, status);
        wal.append_closed(id, &message.record.id);
        if !self.drops_reports {
            self.record(EventKind::StatusReport {
                sender: sender as u32,
                id,
                deferred: matches!(status, FinalStatus::Deferred(_)),
                retry_after: None,
            });
        }
        None
    }

    /// Answers the selected one of the calls whose partners are not in an outage.
    pub fn answer_selected_call(&mut self, selector: CallSelector, reply: Reply, outcome: Outcome) {
        let reachable = |call: &Call| !self.in_outage.contains(&call.partner);
        let mut calls = self
            .calls
            .iter()
            .filter(|(_, call)| reachable(call))
            .map(|(call, _)| *call);
        let selected = match selector {
            CallSelector::Oldest => calls.next(),
            CallSelector::Newest => calls.next_back(),
        };
        let Some(call) = selected else {
            return;
        };
        self.coverage.retry_afters += usize::from(matches!(reply, Reply::Rejected(Some(_))));
        self.record(EventKind::CallAnswered { call, reply });
        self.end_call_and_run_turns(call, outcome);
    }

    /// Ends the selected call without an answer.
    pub fn lose_selected_call(
        &mut self,
        selector: CallSelector,
        cause: CallFailure,
        outcome: Outcome,
    ) {
        let selected = match selector {
            CallSelector::Oldest => self.calls.keys().next(),
            CallSelector::Newest => self.calls.keys().next_back(),
        };
        if let Some(call) = selected.copied() {
            self.lose_call(call, cause, outcome);
        }
    }

    /// Ends a call without an answer. With `NotSent`, its endpoint has withdrawn the message.
    pub fn lose_call(&mut self, call: u64, cause: CallFailure, outcome: Outcome) {
        if outcome == Outcome::NotSent {
            self.withdraw(call);
        }
        self.record(EventKind::CallFailed { call, cause });
        self.end_call_and_run_turns(call, outcome);
    }

    fn withdraw(&mut self, call: u64) {
        let id = self.calls[&call].id;
        let sender = &mut self.senders[self.calls[&call].sender];
        let open = sender.held.get_mut(&id).filter(|message| message.open);
        if let Some(message) = open {
            message.open = false;
            let wal = sender.wal.as_mut().unwrap();
            wal.append_closed(id, &message.record.id);
            self.coverage.withdrawals += 1;
            self.record(EventKind::Withdrawn { id });
        }
    }

    fn end_call_and_run_turns(&mut self, call: u64, outcome: Outcome) {
        if let Some(notification) = self.end_call(call, outcome) {
            self.run_turns(notification.sender, vec![notification.event]);
        }
    }
}
