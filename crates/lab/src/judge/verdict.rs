//! The rules and the verdict of a judge.

use std::collections::BTreeMap;
use std::fmt;

use martenlatch_clock::Millis;
use serde::{Deserialize, Serialize};

/// A rule that the senders must keep. Reports and results contain the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Rule {
    /// Each accepted message gets one final answer, and no call of it starts afterwards.
    OneAnswer,
    /// Each accepted message gets its final answer by its deadline.
    Lost,
    /// A non-idempotent message that may have run is not sent again, nor reported as safe to submit again.
    NoSecondEffect,
    /// A message with an idempotency key is not repeated after its idempotency window.
    KeyWindow,
    /// Nothing is sent to a partner during its Retry-After.
    Waits,
    /// No call starts to a draining endpoint more than 1 s after its sender was notified of the draining.
    Drains,
    /// Senders that saw a partner fail do not make it collapse while it warms up.
    NoneToppled,
    /// The number of attempts at a submitted message is limited.
    Attempts,
    /// A message is sent only to the endpoints of its own partner.
    RightPartner,
    /// Messages with the same ordering key are sent one at a time, in the order in which they were accepted.
    Order,
}

/// A breach of a rule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Breach {
    /// The rule.
    pub rule: Rule,
    /// The submission that it concerns, or `None` if it concerns a partner.
    pub id: Option<u64>,
    /// The time of the breach, in milliseconds from the start of the run.
    pub at: Millis,
    /// A description with the relevant times.
    pub text: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let message = self.id.map_or(String::new(), |id| format!(" message {id}"));
        write!(
            out,
            "{:?} at {:.1} ms:{message} {}",
            self.rule, self.at, self.text
        )
    }
}

/// The verdict of a judge on a history.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// The first hundred breaches.
    pub breaches: Vec<Breach>,
    /// The number of all breaches, by rule.
    pub counts: BTreeMap<Rule, u64>,
}

impl Verdict {
    /// Whether every rule was kept.
    pub fn clean(&self) -> bool {
        self.counts.is_empty()
    }

    /// The number of all breaches.
    pub fn total(&self) -> u64 {
        self.counts.values().sum()
    }
}
