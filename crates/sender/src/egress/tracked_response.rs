//! What becomes of an uncertain response: it is settled, put in doubt, or contested by a later one.

use std::rc::Rc;

use martenlatch_clock::Millis;
use martenlatch_policy::interface::MessageId;

use super::gone::MessageGone;
use super::response_history::UnreadExchange;

/// An attempt whose response was uncertain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnsweredAttempt {
    /// The message.
    pub id: MessageId,
    /// The number of the attempt within the message, from 0.
    pub attempt: u32,
}

/// What became of an uncertain response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// The connection rested without another response: the response belonged to the attempt.
    Confirmed(AnsweredAttempt),
    /// A later response on the connection says that a message is over, which may be this attempt's. Another settlement
    /// follows.
    Contested(AnsweredAttempt),
    /// Another response followed, or the connection ended too early: the attempt may have ended in any way.
    Doubtful {
        /// The attempt.
        answered: AnsweredAttempt,
        /// Whether a later response may say that its message is over.
        gone: MessageGone,
    },
    /// The response was settled, but bytes behind it that belong to no request may say that the message is over.
    PossiblyGone(AnsweredAttempt),
}

impl Settlement {
    /// Whether it may be a reason to send nothing more for a message.
    pub(super) fn is_against_sending(&self, id: MessageId) -> bool {
        match self {
            Settlement::Confirmed(_) => false,
            Settlement::Contested(answered)
            | Settlement::Doubtful { answered, .. }
            | Settlement::PossiblyGone(answered) => answered.id == id,
        }
    }
}

/// What settles an uncertain response.
#[derive(Clone, Copy, Debug)]
pub(super) struct SettlementTerms {
    /// Until when the connection rests.
    pub rests_until: Millis,
    /// Until when any further response on the connection may be the real one.
    pub doubted_until: Millis,
    /// The time that the response took, if it is a success.
    pub success_took: Option<Millis>,
    /// After which instant the endpoint has to answer another request, if silence alone does not settle the response.
    pub answer_needed_after: Option<Millis>,
    /// Whether a wrong conclusion could not be undone.
    pub is_final: bool,
    /// Whether the message may be sent again anywhere although the attempt may have run.
    pub is_repeatable: bool,
}

/// An uncertain response, or one after it on the same connection.
#[derive(Clone, Debug)]
pub(super) struct TrackedResponse {
    /// The attempt that it has ended.
    pub attempt: AnsweredAttempt,
    /// Whether a later response on the connection says that a message is over. It may answer this attempt.
    pub is_contested: bool,
    /// What settles it.
    pub terms: SettlementTerms,
    /// The exchange as it was before the response was read, until it is settled.
    pub exchange: Option<Rc<UnreadExchange>>,
}

impl TrackedResponse {
    /// The settlement that it belongs to another request.
    pub fn in_doubt(&self) -> Settlement {
        Settlement::Doubtful {
            answered: self.attempt,
            gone: if self.is_contested {
                MessageGone::Possibly
            } else {
                MessageGone::No
            },
        }
    }
}
