//! Calls from their first byte to their end, with the rules on where they may go and how many there may be:
//! [`Rule::RightPartner`], [`Rule::Attempts`] and [`Rule::Drains`].

use martenlatch_clock::Millis;

use super::state::{BegunCall, Call, KnownEndpoint, RecentReply, Told};
use super::{Judge, Rule, SLACK, TRAVEL};
use crate::event_log::CallFailure;
use crate::model::partner::Reply;

/// Nothing new goes to an endpoint so long after its sender was notified that it drains.
const DRAIN_GRACE: Millis = 1_000.0;

impl Judge {
    /// A sender is notified of an endpoint; not `on`: it drains, or is gone.
    pub(super) fn listed(&mut self, known: KnownEndpoint, partner: u32, on: bool, at: Millis) {
        self.owners.insert(known.endpoint, partner);
        if on {
            self.drains.remove(&known);
        } else {
            self.drains.entry(known).or_insert(at);
        }
    }

    /// The first byte of a call has come.
    pub(super) fn call_begins(&mut self, begun: &BegunCall, at: Millis) {
        let id = begun.message;
        let Some(message) = self.messages.get_mut(&id) else {
            let partner = begun.partner;
            let text = format!(
                "a call to partner {partner} for a message that is over or was never handed in"
            );
            return self.breach(Rule::OneAnswer, Some(id), at, text);
        };
        message.calls += 1;
        message.in_flight += 1;
        let call = Call {
            message: id,
            origin: message.origin,
            sender: begun.sender,
            partner: begun.partner,
            class: message.class,
            since: at,
        };
        self.calls.insert(begun.call, call);
        self.check_partner(begun, at);
        self.check_attempts(id, at);
        self.check_call_after_answer(id, at);
        self.check_drain(begun, at);
        self.check_order(id, at);
        self.note_recent_call(begun.partner, begun.sender, at);
    }

    fn check_partner(&mut self, begun: &BegunCall, at: Millis) {
        let BegunCall {
            endpoint, partner, ..
        } = *begun;
        let Some(message) = self.messages.get(&begun.message) else {
            return;
        };
        let own = message.partner;
        let foreign_endpoint = self
            .owners
            .get(&endpoint)
            .is_some_and(|owner| *owner != own);
        if own != partner || foreign_endpoint {
            let text = format!(
                "it is for partner {own} and went to endpoint {endpoint} of partner {partner}"
            );
            self.breach(Rule::RightPartner, Some(begun.message), at, text);
        }
    }

    fn check_attempts(&mut self, id: u64, at: Millis) {
        let calls = self.messages.get(&id).map_or(0, |message| message.calls);
        if calls > self.max_attempts {
            let text = format!("attempt {calls} of {}", self.max_attempts);
            self.breach(Rule::Attempts, Some(id), at, text);
        }
    }

    fn check_drain(&mut self, begun: &BegunCall, at: Millis) {
        let BegunCall {
            sender, endpoint, ..
        } = *begun;
        let Some(told) = self.drains.get(&KnownEndpoint { sender, endpoint }) else {
            return;
        };
        if at > told + DRAIN_GRACE + SLACK {
            let text = format!(
                "sender {sender} began a call to endpoint {endpoint}, told to drain at {told:.1} ms"
            );
            self.breach(Rule::Drains, Some(begun.message), at, text);
        }
    }

    /// The last byte of a call has come.
    pub(super) fn call_arrived(&mut self, number: u64, at: Millis) {
        let Some(call) = self.calls.get(&number).copied() else {
            return;
        };
        self.check_wait(&call, at);
        self.check_repeat(number, &call, at);
    }

    /// A call has its reply.
    pub(super) fn call_replied(&mut self, number: u64, reply: Reply, at: Millis) {
        let ran = !matches!(reply, Reply::Refused(_));
        let Some(call) = self.finish_call(number, ran) else {
            return;
        };
        if reply != Reply::Served {
            self.note_failure_seen(&call);
        }
        match reply {
            Reply::Served if self.messages.contains_key(&call.message) => {
                let message = call.message;
                self.note_reply(at, number, Told::Served { message });
                self.delivered(message, at);
            }
            Reply::Refused(Some(wait)) => self.note_wait(number, call.route(), at, at + wait),
            _ => {}
        }
        self.forget(call.message);
    }

    /// A call has ended without a reply that its sender heard.
    pub(super) fn call_ended(&mut self, number: u64, how: CallFailure, at: Millis) {
        self.forget_old_replies(at);
        self.take_back_unheard_reply(number);
        let Some(call) = self.finish_call(number, how != CallFailure::NeverSent) else {
            return;
        };
        if how != CallFailure::SenderEnded {
            self.note_failure_seen(&call);
        }
        self.forget(call.message);
    }

    /// Removes a call that is over; `ran`: it may have run.
    fn finish_call(&mut self, number: u64, ran: bool) -> Option<Call> {
        let call = self.calls.remove(&number)?;
        if !ran {
            self.note_never_ran(number, &call);
        }
        if let Some(message) = self.messages.get_mut(&call.message) {
            message.in_flight -= 1;
        }
        Some(call)
    }

    /// Remembers a reply that its sender may not hear.
    pub(super) fn note_reply(&mut self, at: Millis, call: u64, told: Told) {
        self.recent_replies
            .push_back(RecentReply { at, call, told });
    }

    fn forget_old_replies(&mut self, now: Millis) {
        while let Some(oldest) = self.recent_replies.front()
            && oldest.at < now - TRAVEL - SLACK
        {
            self.recent_replies.pop_front();
        }
    }

    /// A sender that cancelled a call so soon is not held to what the reply said.
    fn take_back_unheard_reply(&mut self, call: u64) {
        let reply = self.recent_replies.iter().find(|reply| reply.call == call);
        match reply.map(|reply| reply.told) {
            Some(Told::Served { message }) => {
                if let Some(message) = self.messages.get_mut(&message) {
                    message.delivery_unheard = true;
                }
            }
            Some(Told::Wait { route, before }) => self.restore_wait(route, before),
            None => {}
        }
    }
}
