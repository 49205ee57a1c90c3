//! The rules, and what a judge found about them.

use std::collections::BTreeMap;
use std::fmt;

use martenlatch_clock::Millis;
use serde::{Deserialize, Serialize};

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Rule {
    /// Each message that was accepted gets one final answer, and nothing is sent for it afterwards.
    OneAnswer,
    /// And it gets it by its deadline.
    Lost,
    /// A non-idempotent message that may have run is not sent again, nor reported as safe to hand in again.
    NoSecondEffect,
    /// A message with an idempotency key is not repeated once the key may be forgotten.
    KeyWindow,
    /// Nothing is sent to a partner during its Retry-After.
    Waits,
    /// Nothing new goes to an endpoint that drains, 1 s after its sender was notified of that.
    Drains,
    /// No partner that warms up is made to collapse by senders that saw it fail.
    NoneToppled,
    /// A handed-in message has a limited number of attempts.
    Attempts,
    /// A message goes to its own partner's endpoints.
    RightPartner,
    /// Messages of one ordering key go one at a time, in the order in which they were accepted.
    Order,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Breach {
    /// Which rule.
    pub rule: Rule,
    /// The handed-in message that it is about; none where it is about a partner.
    pub id: Option<u64>,
    /// When, in milliseconds from the start of the run.
    pub at: Millis,
    /// What happened, with its instants.
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

/// What a judge found.
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
