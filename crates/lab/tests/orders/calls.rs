//! Turns of the decision modules of the fleet, the calls that they send, and how those end.

use martenlatch_clock::{Millis, millis, nanos};
use martenlatch_lab::event_log::{CallFailure, EventKind};
use martenlatch_lab::model::partner::{COLLAPSE_FACTOR, COLLAPSE_WINDOW, Reply};
use martenlatch_policy::interface::{Action, Event, MessageId, Outcome};
use martenlatch_wal::{AttemptRecord, FinalStatus};

use crate::fleet::{CAPACITY, Call, Fleet, INITIAL_SHARE, OWNER, WARM_UP};
use crate::steps::Pick;

/// What the decision module of a sender has to be told.
pub struct Told {
    pub sender: usize,
    pub event: Event,
}

impl Fleet {
    /// Has a sender's decision module take turns until its actions lead to no further event.
    pub fn turn(&mut self, sender: usize, mut events: Vec<Event>) {
        loop {
            let Some(policy) = self.senders[sender].policy.as_mut() else {
                return;
            };
            let mut actions = Vec::new();
            policy.turn(nanos(self.now), &events, &mut actions);
            events = actions
                .into_iter()
                .filter_map(|action| self.carry_out(sender, action))
                .collect();
            if events.is_empty() {
                return;
            }
        }
    }

    fn carry_out(&mut self, sender: usize, action: Action) -> Option<Event> {
        match action {
            Action::Send {
                id,
                endpoint,
                timeout,
                ..
            } => self.send(sender, id.0, endpoint.0, millis(timeout)),
            Action::Cancel { id, attempt } => self.cancel(sender, id.0, attempt),
            Action::Reject { id, .. } => self.end(sender, id.0, FinalStatus::Deferred(None)),
            Action::Fail { id } => self.end(sender, id.0, FinalStatus::Undeliverable),
            Action::WakeAfter(span) => {
                self.senders[sender].wake_at = Some(self.now + millis(span));
                None
            }
            Action::CloseIdle(_) => None,
        }
    }

    fn cancel(&mut self, sender: usize, id: u64, attempt: u32) -> Option<Event> {
        let wanted = |call: &Call| (call.sender, call.id, call.attempt) == (sender, id, attempt);
        let (call, _) = self.calls.iter().find(|(_, call)| wanted(call))?;
        let call = *call;
        let cause = CallFailure::Cancelled;
        self.fact(EventKind::CallFailed { call, cause });
        self.ended(call, Outcome::Cancelled).map(|told| told.event)
    }

    /// A sender sends an attempt of a message to an endpoint; the event of it that ends at once.
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
        let partner = OWNER[endpoint as usize];
        let call = self.next_call;
        self.next_call += 1;
        self.seen.retries += usize::from(attempt > 0);
        let same_message = |call: &Call| (call.sender, call.id) == (sender, id);
        self.seen.hedges += usize::from(self.calls.values().any(same_message));
        self.fact(EventKind::CallStarted {
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
                sent: now,
                due: now + timeout,
            },
        );
        self.arrive(call, partner)
    }

    /// A call comes to its partner, unless that is in an outage.
    fn arrive(&mut self, call: u64, partner: u32) -> Option<Event> {
        if self.out.contains(&partner) {
            let cause = CallFailure::NeverSent;
            self.fact(EventKind::CallFailed { call, cause });
            let told = self.ended(call, Outcome::Unreachable);
            return told.map(|told| told.event);
        }
        self.fact(EventKind::CallArrived { call });
        self.collapse_under_load(partner);
        None
    }

    /// A partner that is warming up collapses under too many calls.
    fn collapse_under_load(&mut self, partner: u32) {
        let now = self.now;
        let recovered_at = self.recovered_at.get(&partner);
        let Some(recovered_at) = recovered_at.filter(|at| now < **at + WARM_UP) else {
            return;
        };
        self.seen.recovering += 1;
        let warmth = INITIAL_SHARE + (1.0 - INITIAL_SHARE) * (now - recovered_at) / WARM_UP;
        let arrivals = self.recent_arrivals.entry(partner).or_default();
        arrivals.push(now);
        arrivals.retain(|at| *at >= now - COLLAPSE_WINDOW);
        let most = COLLAPSE_FACTOR * CAPACITY * warmth * COLLAPSE_WINDOW / 1e3;
        if arrivals.len() as f64 > most && !self.collapsed {
            self.collapsed = true;
            self.fact(EventKind::Collapsed { partner });
        }
    }

    /// A call is over for its sender, which has to be told.
    pub fn ended(&mut self, call: u64, outcome: Outcome) -> Option<Told> {
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
        Some(Told {
            sender: ended.sender,
            event: Event::AttemptEnded {
                id: MessageId(ended.id),
                attempt: ended.attempt,
                outcome,
                took: nanos(self.now - ended.sent),
                finished: !message.open,
            },
        })
    }

    /// The decision module gives a message up. The platform confirms each status report at once.
    fn end(&mut self, sender: usize, id: u64, status: FinalStatus) -> Option<Event> {
        let state = &mut self.senders[sender];
        let message = state.held.get_mut(&id).filter(|message| message.open)?;
        let wal = state.wal.as_mut()?;
        message.open = false;
        wal.append_final_status(id, status);
        wal.append_closed(id, &message.record.id);
        if !self.drops_reports {
            self.fact(EventKind::StatusReport {
                sender: sender as u32,
                id,
                deferred: matches!(status, FinalStatus::Deferred(_)),
                retry_after: None,
            });
        }
        None
    }

    /// A partner that is not in an outage answers a call.
    pub fn answer(&mut self, pick: Pick, reply: Reply, outcome: Outcome) {
        let reachable = |call: &Call| !self.out.contains(&call.partner);
        let mut calls = self
            .calls
            .iter()
            .filter(|(_, call)| reachable(call))
            .map(|(call, _)| *call);
        let picked = match pick {
            Pick::Oldest => calls.next(),
            Pick::Newest => calls.next_back(),
        };
        let Some(call) = picked else {
            return;
        };
        self.seen.retry_afters += usize::from(matches!(reply, Reply::Refused(Some(_))));
        self.fact(EventKind::CallAnswered { call, reply });
        self.end_and_tell(call, outcome);
    }

    /// A picked call ends without an answer.
    pub fn lose_picked(&mut self, pick: Pick, cause: CallFailure, outcome: Outcome) {
        let picked = match pick {
            Pick::Oldest => self.calls.keys().next(),
            Pick::Newest => self.calls.keys().next_back(),
        };
        if let Some(call) = picked.copied() {
            self.lose(call, cause, outcome);
        }
    }

    /// A call ends without an answer; with `NotSent`, its endpoint has withdrawn the message.
    pub fn lose(&mut self, call: u64, cause: CallFailure, outcome: Outcome) {
        if outcome == Outcome::NotSent {
            self.withdraw(call);
        }
        self.fact(EventKind::CallFailed { call, cause });
        self.end_and_tell(call, outcome);
    }

    fn withdraw(&mut self, call: u64) {
        let id = self.calls[&call].id;
        let sender = &mut self.senders[self.calls[&call].sender];
        let open = sender.held.get_mut(&id).filter(|message| message.open);
        if let Some(message) = open {
            message.open = false;
            let wal = sender.wal.as_mut().unwrap();
            wal.append_closed(id, &message.record.id);
            self.seen.withdrawals += 1;
            self.fact(EventKind::Withdrawn { id });
        }
    }

    fn end_and_tell(&mut self, call: u64, outcome: Outcome) {
        if let Some(told) = self.ended(call, outcome) {
            self.turn(told.sender, vec![told.event]);
        }
    }
}
