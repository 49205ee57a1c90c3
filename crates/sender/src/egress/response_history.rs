//! Which request a response belongs to: what the earlier responses of a connection say about the latest one.
//!
//! HTTP/1.1 matches responses to requests by their order on the connection only. An endpoint, or a proxy before it, that
//! writes a response twice shifts that order: the copy arrives in the place of the next response, and that response
//! arrives as a surplus or in the place of the one after it. So a response that could be a copy proves nothing by
//! itself. It is settled once its connection has rested for as long as the endpoint may take for the real response; only
//! requests that can be sent again may use the connection before that. The rules are in `docs/design/response-matching.md`.

use std::rc::Rc;

use martenlatch_clock::Millis;
use martenlatch_policy::interface::MessageId;

use super::attempt::ActiveAttempt;
use super::gone::{MessageGone, gone_by_incomplete_response};
use super::known_responses::{KnownResponses, ReceivedResponse};
use super::response_bytes::{begins_with_success, complete_response, last_bytes};
use super::tracked_response::{AnsweredAttempt, Settlement, SettlementTerms, TrackedResponse};

/// The number of settled responses that are remembered for each connection, in case a surplus contradicts them later.
const MAX_SETTLED: usize = 64;
/// The longest response, in bytes, that is kept until it is settled.
const MAX_KEPT_RESPONSE: usize = 1_024;
/// The number of unsettled responses after which a connection carries no request before it has rested.
const MAX_UNSETTLED: usize = 3;

/// How certain it is that a response answers the request in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// No earlier response of the connection can have been repeated in its place.
    Certain,
    /// It could be a copy of an earlier response. A [`Settlement`] follows.
    Uncertain,
}

/// An exchange as it was when its response had arrived and was not read yet. A successor process gets an unsettled one
/// in this form, and reads the response again.
#[derive(Debug)]
pub(super) struct UnreadExchange {
    /// The attempt in flight.
    pub attempt: ActiveAttempt,
    /// The bytes of the response.
    pub response: Vec<u8>,
}

/// A response that ends an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct ObservedResponse<'a> {
    /// The attempt that it ends.
    pub attempt: &'a ActiveAttempt,
    /// Its bytes.
    pub bytes: ReceivedResponse<'a>,
    /// Whether it says that the request never ran.
    pub rejects: bool,
}

/// The responses of one connection.
#[derive(Debug, Default)]
pub(super) struct ResponseHistory {
    /// Whether all responses since the connection was opened are known; not after a process replacement.
    is_known: bool,
    /// The earlier responses.
    known: KnownResponses,
    /// Whether any response has said that its request never ran.
    has_rejected: bool,
    /// The attempts whose responses are not settled yet, the oldest first.
    unsettled: Vec<TrackedResponse>,
    /// Whether a wrong conclusion from an unsettled response could not be undone.
    is_final: bool,
    /// The attempts since the first settled response that had been uncertain, the oldest first.
    settled: Vec<TrackedResponse>,
    /// The last bytes that responses have taken up. A copy that is cut off takes the first bytes of the real response for
    /// its own last ones.
    tail: Vec<u8>,
    /// The exchange of the response that was observed last, if it is uncertain and short.
    latest_exchange: Option<UnreadExchange>,
    /// Until when the connection must not carry another request.
    rests_until: Option<Millis>,
}

impl ResponseHistory {
    /// The history of a new connection.
    pub fn of_new_connection() -> ResponseHistory {
        ResponseHistory {
            is_known: true,
            ..ResponseHistory::default()
        }
    }

    /// The history of a connection that a predecessor process has passed on. It rests first.
    pub fn of_inherited_connection(rests_until: Millis) -> ResponseHistory {
        ResponseHistory {
            rests_until: Some(rests_until),
            ..ResponseHistory::default()
        }
    }

    /// Whether a response that arrives now could be a copy of an earlier one.
    pub fn may_repeat(&self) -> bool {
        !self.is_known || !self.known.is_empty()
    }

    /// Whether the connection has carried a response with the same bytes.
    pub fn has_carried(&self, response: &[u8]) -> bool {
        self.known.contains(response)
    }

    /// Records a response and decides how certain it is that it answers the request in flight.
    pub fn observe(&mut self, response: ObservedResponse) -> Evidence {
        if let Some(bytes) = response.bytes.complete {
            self.tail = last_bytes(bytes);
        }
        let is_first = !self.may_repeat();
        let is_new =
            self.is_known && self.unsettled.is_empty() && self.known.is_new(&response.bytes);
        self.known.record(&response.bytes);
        self.has_rejected |= response.rejects;
        if is_first || is_new {
            return Evidence::Certain;
        }
        self.latest_exchange = response
            .bytes
            .complete
            .filter(|bytes| bytes.len() <= MAX_KEPT_RESPONSE)
            .map(|bytes| UnreadExchange {
                attempt: *response.attempt,
                response: bytes.to_vec(),
            });
        Evidence::Uncertain
    }

    /// Whether an incomplete response could be the beginning of an earlier one.
    pub fn begins_like_earlier(&self, received: &[u8]) -> bool {
        !self.is_known || self.known.begins_like_any(received)
    }

    /// Adds consumed bytes of the response that was observed last, which was incomplete.
    pub fn add_rest(&mut self, bytes: &[u8]) {
        self.known.add_rest(bytes);
        self.tail.extend_from_slice(bytes);
        self.tail = last_bytes(&self.tail);
    }

    /// What unread bytes on the connection say, whose first ones may have been taken for the end of a response.
    pub fn gone_by(&self, unread: &[u8]) -> MessageGone {
        gone_by_incomplete_response(&[&self.tail, unread].concat())
    }

    /// Records the response that was incomplete and now is not; `is_followed` says whether further bytes follow it. If it
    /// is like no earlier one after all, it is settled.
    pub fn complete_rest(&mut self, is_followed: bool) -> Vec<Settlement> {
        let is_new = self.known.complete_rest(is_followed);
        if is_new && self.is_known && self.unsettled.len() == 1 {
            self.settle()
        } else {
            Vec::new()
        }
    }

    /// Notes the attempt that a response has ended. After an uncertain response, the connection rests.
    pub fn answered(
        &mut self,
        attempt: AnsweredAttempt,
        evidence: Evidence,
        terms: SettlementTerms,
    ) {
        let response = TrackedResponse {
            attempt,
            is_contested: false,
            terms,
            exchange: self.latest_exchange.take().map(Rc::new),
        };
        if evidence == Evidence::Uncertain {
            self.unsettled.push(response);
            self.is_final |= terms.is_final;
            let earliest = self.rests_until.unwrap_or(f64::NEG_INFINITY);
            self.rests_until = Some(terms.rests_until.max(earliest));
        } else if !self.settled.is_empty() {
            self.add_settled(response);
        }
    }

    /// Notes what the next response says of the end of a message, which may be the message of an earlier attempt. Returns
    /// the attempts of which this is not settled.
    pub fn contest_earlier(&mut self, gone: MessageGone) -> Vec<Settlement> {
        if gone == MessageGone::No {
            return Vec::new();
        }
        let unsettled = self.unsettled.iter_mut();
        for response in unsettled.chain(&mut self.settled) {
            response.is_contested = true;
        }
        let attempts = self.unsettled.iter().map(|response| response.attempt);
        attempts.map(Settlement::Contested).collect()
    }

    /// Whether a response to an attempt of a message is not settled.
    pub fn has_unsettled(&self, id: MessageId) -> bool {
        self.unsettled
            .iter()
            .any(|response| response.attempt.id == id)
    }

    /// When the latest response is settled; `None` if it is.
    pub fn rests_until(&self) -> Option<Millis> {
        self.rests_until
    }

    /// Whether the connection may carry another request.
    pub fn is_rested(&self, now: Millis) -> bool {
        self.has_rested_until(now) && self.answer_needed_after().is_none()
    }

    /// Whether the time for which the connection rests is over.
    pub fn has_rested_until(&self, now: Millis) -> bool {
        self.rests_until.is_none_or(|until| until <= now)
    }

    /// After which instant the endpoint has to answer another request before silence settles the latest responses;
    /// `None` if silence alone does.
    pub fn answer_needed_after(&self) -> Option<Millis> {
        self.unsettled
            .iter()
            .filter_map(|response| response.terms.answer_needed_after)
            .reduce(f64::max)
    }

    /// Whether the success of a message is one that silence alone does not settle.
    pub fn needs_answer_for(&self, id: MessageId) -> bool {
        self.unsettled.iter().any(|response| {
            response.attempt.id == id && response.terms.answer_needed_after.is_some()
        })
    }

    /// Whether all messages with unsettled responses may be sent again.
    pub fn is_all_repeatable(&self) -> bool {
        self.unsettled
            .iter()
            .all(|response| response.terms.is_repeatable)
    }

    /// The times that the unsettled successes took.
    pub fn unsettled_success_times(&self) -> impl Iterator<Item = Millis> {
        self.unsettled
            .iter()
            .filter_map(|response| response.terms.success_took)
    }

    /// Lets the connection rest for longer.
    pub fn rest_until(&mut self, until: Millis) {
        self.rests_until = Some(until);
    }

    /// Whether the connection may carry a request that can be sent again, although it has not rested. If the responses
    /// are shifted, such a request is shifted too, until the connection rests. The messages with unsettled responses must
    /// be such as well: the end of the request's exchange may put them in doubt.
    pub fn may_carry_repeatable(&self) -> bool {
        self.is_known
            && !self.is_final
            && self.answer_needed_after().is_none()
            && self.is_all_repeatable()
            && self.unsettled.len() < MAX_UNSETTLED
    }

    /// Whether no rejection on the connection could be a copy of an earlier rejection.
    pub fn has_no_rejection(&self) -> bool {
        self.is_known && self.known.are_all_recorded() && !self.has_rejected
    }

    /// Whether a wrong conclusion from an unsettled response could not be undone.
    pub fn is_final(&self) -> bool {
        self.is_final
    }

    /// Settles the latest responses: nothing has followed them.
    pub fn settle(&mut self) -> Vec<Settlement> {
        self.rests_until = None;
        self.is_final = false;
        let responses = std::mem::take(&mut self.unsettled);
        self.confirm(responses)
    }

    /// Puts the latest responses in doubt although nothing has followed them.
    pub fn doubt(&mut self) -> Vec<Settlement> {
        self.rests_until = None;
        self.is_final = false;
        let responses = std::mem::take(&mut self.unsettled);
        responses.iter().map(TrackedResponse::in_doubt).collect()
    }

    /// Puts all responses in doubt but the latest, which a successor process reads again. Nobody waits any longer for what
    /// may follow them.
    pub fn doubt_before_latest(&mut self) -> Vec<Settlement> {
        let kept = self.unsettled.len().saturating_sub(1);
        let latest = self.unsettled.split_off(kept);
        let unreadable = std::mem::replace(&mut self.unsettled, latest);
        unreadable.iter().map(TrackedResponse::in_doubt).collect()
    }

    /// Puts all responses in doubt, as a successor process can read none of them again. The response that is still to come
    /// on the connection may say that a message is over, and the successor would not know whose message.
    pub fn contest_and_doubt(&mut self) -> Vec<Settlement> {
        let responses = std::mem::take(&mut self.unsettled);
        let contested = responses
            .iter()
            .map(|response| Settlement::Contested(response.attempt));
        let doubted = responses.iter().map(TrackedResponse::in_doubt);
        contested.chain(doubted).collect()
    }

    /// The exchange of the latest response, if it is unsettled and can be read again. A successor process would not know
    /// that silence alone does not settle a response.
    pub fn unread_exchange(&self) -> Option<&UnreadExchange> {
        if self.answer_needed_after().is_some() {
            return None;
        }
        self.unsettled.last()?.exchange.as_deref()
    }

    fn confirm(&mut self, responses: Vec<TrackedResponse>) -> Vec<Settlement> {
        let attempts: Vec<AnsweredAttempt> =
            responses.iter().map(|response| response.attempt).collect();
        for response in responses {
            self.add_settled(response);
        }
        attempts.into_iter().map(Settlement::Confirmed).collect()
    }

    fn add_settled(&mut self, mut response: TrackedResponse) {
        response.exchange = None;
        if self.settled.len() >= MAX_SETTLED {
            self.settled.remove(0);
        }
        self.settled.push(response);
    }

    /// The settlements that follow from the end of the connection. `surplus` are the bytes on it that belong to no
    /// request in flight, and `gone` is what all unread bytes say. An end alone confirms nothing: the endpoint may have
    /// ended the connection in place of the real response.
    pub fn end(&mut self, surplus: &[u8], gone: MessageGone, now: Millis) -> Vec<Settlement> {
        self.contest_earlier(gone);
        let is_new = self.is_new_response(surplus);
        let settled = std::mem::take(&mut self.settled).into_iter();
        let behind_settled = settled.filter_map(|response| {
            if surplus.is_empty() {
                None
            } else if is_new || response.terms.doubted_until > now {
                Some(response.in_doubt())
            } else if gone != MessageGone::No {
                Some(Settlement::PossiblyGone(response.attempt))
            } else {
                None
            }
        });
        let unsettled = std::mem::take(&mut self.unsettled);
        behind_settled
            .chain(unsettled.iter().map(TrackedResponse::in_doubt))
            .collect()
    }

    /// Whether the wait for which a surplus response asks may be one that no earlier response has asked for.
    pub fn may_ask_to_wait(&self, surplus: &[u8]) -> bool {
        !self.unsettled.is_empty() || self.is_new_response(surplus)
    }

    /// Whether surplus bytes show that rejections are repeated: nothing is unsettled, so they are a copy.
    pub fn repeats_rejection(&self, surplus: &[u8]) -> bool {
        self.unsettled.is_empty() && !surplus.is_empty() && !begins_with_success(surplus)
    }

    /// Whether a complete response in `bytes`, at their beginning or behind others, is no copy: it answers a request for
    /// which an earlier response was taken.
    fn is_new_response(&self, bytes: &[u8]) -> bool {
        if !self.is_known || !self.known.are_all_recorded() {
            return false;
        }
        let mut remaining = bytes;
        while let Some(response) = complete_response(remaining) {
            if !self.has_carried(response) {
                return true;
            }
            remaining = &remaining[response.len()..];
        }
        false
    }
}
