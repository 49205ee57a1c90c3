//! Calls from their first byte to their end, and the rules on their destinations and their number:
//! [`Rule::RightPartner`], [`Rule::Attempts`] and [`Rule::Drains`].

use martenlatch_clock::Millis;

use super::state::{Call, KnownEndpoint, RecentReply, ReplyEffect, StartedCall};
use super::{Judge, MAX_TRAVEL_TIME, Rule, SLACK};
use crate::event_log::CallFailure;
use crate::model::partner::Reply;

/// For this long after its sender was notified that an endpoint drains, calls to it may still start. In milliseconds.
const DRAIN_GRACE: Millis = 1_000.0;

impl Judge {
    /// A sender is notified of an endpoint, which is in service, or is draining or removed.
    pub(super) fn endpoint_listed(
        &mut self,
        known: KnownEndpoint,
        partner: u32,
        in_service: bool,
        at: Millis,
    ) {
        self.endpoint_partners.insert(known.endpoint, partner);
        if in_service {
            self.draining_since.remove(&known);
        } else {
            self.draining_since.entry(known).or_insert(at);
        }
    }

    /// The first byte of a call was sent.
    pub(super) fn call_started(&mut self, started: &StartedCall, at: Millis) {
        let id = started.message;
        let Some(message) = self.messages.get_mut(&id) else {
            let partner = started.partner;
            let text = format!(
                "a call to partner {partner} for a message that is finished or was never submitted"
            );
            return self.record_breach(Rule::OneAnswer, Some(id), at, text);
        };
        message.calls += 1;
        message.in_flight += 1;
        let call = Call {
            message: id,
            origin: message.origin,
            sender: started.sender,
            partner: started.partner,
            class: message.class,
            started_at: at,
        };
        self.calls.insert(started.call, call);
        self.check_partner(started, at);
        self.check_attempts(id, at);
        self.check_call_after_answer(id, at);
        self.check_drain(started, at);
        self.check_order(id, at);
        self.record_recent_call(started.partner, started.sender, at);
    }

    fn check_partner(&mut self, started: &StartedCall, at: Millis) {
        let StartedCall {
            endpoint, partner, ..
        } = *started;
        let Some(message) = self.messages.get(&started.message) else {
            return;
        };
        let own = message.partner;
        let foreign_endpoint = self
            .endpoint_partners
            .get(&endpoint)
            .is_some_and(|owner| *owner != own);
        if own != partner || foreign_endpoint {
            let text = format!(
                "it is for partner {own} but was sent to endpoint {endpoint} of partner {partner}"
            );
            self.record_breach(Rule::RightPartner, Some(started.message), at, text);
        }
    }

    fn check_attempts(&mut self, id: u64, at: Millis) {
        let calls = self.messages.get(&id).map_or(0, |message| message.calls);
        if calls > self.max_attempts {
            let text = format!("attempt {calls}, at most {} are allowed", self.max_attempts);
            self.record_breach(Rule::Attempts, Some(id), at, text);
        }
    }

    fn check_drain(&mut self, started: &StartedCall, at: Millis) {
        let StartedCall {
            sender, endpoint, ..
        } = *started;
        let known = KnownEndpoint { sender, endpoint };
        let Some(since) = self.draining_since.get(&known) else {
            return;
        };
        if at > since + DRAIN_GRACE + SLACK {
            let text = format!(
                "sender {sender} started a call to endpoint {endpoint}, listed as draining since {since:.1} ms"
            );
            self.record_breach(Rule::Drains, Some(started.message), at, text);
        }
    }

    /// The last byte of a call has reached its endpoint.
    pub(super) fn call_arrived(&mut self, number: u64, at: Millis) {
        let Some(call) = self.calls.get(&number).copied() else {
            return;
        };
        self.check_retry_after(&call, at);
        self.check_repeat(number, &call, at);
    }

    /// The reply to a call was written.
    pub(super) fn call_answered(&mut self, number: u64, reply: Reply, at: Millis) {
        let may_have_run = !matches!(reply, Reply::Rejected(_));
        let Some(call) = self.finish_call(number, may_have_run) else {
            return;
        };
        if reply != Reply::Served {
            self.record_failure_seen(&call);
        }
        match reply {
            Reply::Served if self.messages.contains_key(&call.message) => {
                let message = call.message;
                self.record_reply(at, number, ReplyEffect::Delivered { message });
                self.message_delivered(message, at);
            }
            Reply::Rejected(Some(wait)) => {
                self.record_retry_after(number, call.route(), at, at + wait);
            }
            _ => {}
        }
        self.remove_if_finished(call.message);
    }

    /// A call has ended without a reply that reached its sender.
    pub(super) fn call_failed(&mut self, number: u64, cause: CallFailure, at: Millis) {
        self.remove_old_replies(at);
        self.revert_unread_reply(number);
        let Some(call) = self.finish_call(number, cause != CallFailure::NeverSent) else {
            return;
        };
        if cause != CallFailure::SenderEnded {
            self.record_failure_seen(&call);
        }
        self.remove_if_finished(call.message);
    }

    /// Removes a call that has ended.
    fn finish_call(&mut self, number: u64, may_have_run: bool) -> Option<Call> {
        let call = self.calls.remove(&number)?;
        if !may_have_run {
            self.record_never_ran(number, &call);
        }
        if let Some(message) = self.messages.get_mut(&call.message) {
            message.in_flight -= 1;
        }
        Some(call)
    }

    /// Records a reply that its sender may not read.
    pub(super) fn record_reply(&mut self, at: Millis, call: u64, effect: ReplyEffect) {
        self.recent_replies
            .push_back(RecentReply { at, call, effect });
    }

    fn remove_old_replies(&mut self, now: Millis) {
        while let Some(oldest) = self.recent_replies.front()
            && oldest.at < now - MAX_TRAVEL_TIME - SLACK
        {
            self.recent_replies.pop_front();
        }
    }

    /// Reverts the effect of a recent reply to a call that failed at its sender. The sender may have cancelled the call
    /// before the reply arrived, so the reply does not bind it.
    fn revert_unread_reply(&mut self, call: u64) {
        let reply = self.recent_replies.iter().find(|reply| reply.call == call);
        match reply.map(|reply| reply.effect) {
            Some(ReplyEffect::Delivered { message }) => {
                if let Some(message) = self.messages.get_mut(&message) {
                    message.delivery_may_be_unknown = true;
                }
            }
            Some(ReplyEffect::RetryAfter { route, previous }) => {
                self.restore_retry_after(route, previous);
            }
            None => {}
        }
    }
}
