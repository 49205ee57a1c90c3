//! Which answers a soak has met, with what evidence, and what followed them on their connections.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use martenlatch_clock::Millis;

use super::history::{Event, ProcessEvent, Record};

/// The statuses of answers.
const STATUSES: [u16; 6] = [200, 410, 429, 500, 503, 504];

/// Whether a sender can be sure that an answer belongs to its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AnswerEvidence {
    /// No other answer on the connection had the same bytes.
    Certain,
    /// It could be a copy of an earlier answer.
    Uncertain,
}

/// What an endpoint saw on a connection behind an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FollowUp {
    /// Another request, which was answered.
    NextRequest,
    /// Another request, which was not answered.
    UnansweredRequest,
    /// The endpoint wrote an answer again.
    Copy,
    /// The endpoint ended the connection.
    EndedByEndpoint,
    /// The endpoint reset the connection.
    ResetByEndpoint,
    /// The sender closed the connection, or its process ended.
    ClosedBySender,
}

/// What followed an answer, with what happened to the sender's process meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CellFollowUp {
    OnConnection(FollowUp),
    Kill,
    Termination,
    Replacement,
}

const FOLLOW_UPS: [CellFollowUp; 9] = [
    CellFollowUp::OnConnection(FollowUp::NextRequest),
    CellFollowUp::OnConnection(FollowUp::UnansweredRequest),
    CellFollowUp::OnConnection(FollowUp::Copy),
    CellFollowUp::OnConnection(FollowUp::EndedByEndpoint),
    CellFollowUp::OnConnection(FollowUp::ResetByEndpoint),
    CellFollowUp::OnConnection(FollowUp::ClosedBySender),
    CellFollowUp::Kill,
    CellFollowUp::Termination,
    CellFollowUp::Replacement,
];

/// An answer that an endpoint has written.
struct WrittenAnswer {
    message: String,
    status: u16,
    evidence: AnswerEvidence,
    at: Millis,
}

/// The answers of one connection.
#[derive(Default)]
pub(super) struct WrittenAnswers {
    texts: BTreeSet<String>,
    /// The latest answer, until something follows it.
    latest: Option<WrittenAnswer>,
}

impl WrittenAnswers {
    /// Whether the connection has carried an answer.
    pub fn has_any(&self) -> bool {
        !self.texts.is_empty()
    }

    /// The evidence of an answer with these bytes.
    pub fn evidence_of(&self, text: &str) -> AnswerEvidence {
        if self.texts.contains(text) {
            AnswerEvidence::Uncertain
        } else {
            AnswerEvidence::Certain
        }
    }

    /// Adds an answer.
    pub fn add(
        &mut self,
        message: &str,
        status: u16,
        evidence: AnswerEvidence,
        text: &str,
        at: Millis,
    ) {
        self.texts.insert(text.to_string());
        self.latest = Some(WrittenAnswer {
            message: message.to_string(),
            status,
            evidence,
            at,
        });
    }

    /// The message of the latest answer, and the event that something has followed it; `None` if that is known.
    pub fn followed_by(&mut self, follow_up: FollowUp, now: Millis) -> Option<(String, Event)> {
        let answer = self.latest.take()?;
        let event = Event::AnswerFollowed {
            status: answer.status,
            evidence: answer.evidence,
            follow_up,
            after: now - answer.at,
        };
        Some((answer.message, event))
    }
}

/// A kind of answer, its evidence, and what followed it.
type Cell = (u16, AnswerEvidence, CellFollowUp);

/// How often a soak has met each cell.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerCoverage(BTreeMap<Cell, usize>);

impl AnswerCoverage {
    /// Counts the answers in the records, which must be in order of time.
    pub fn of(records: &[Record]) -> AnswerCoverage {
        let mut coverage = AnswerCoverage::default();
        for record in records {
            if let Event::AnswerFollowed {
                status,
                evidence,
                follow_up,
                after,
            } = record.event
            {
                let follow_up = interruption(records, record, after)
                    .unwrap_or(CellFollowUp::OnConnection(follow_up));
                *coverage.0.entry((status, evidence, follow_up)).or_default() += 1;
            }
        }
        coverage
    }

    /// The cells that were not met.
    fn empty_cells(&self) -> impl Iterator<Item = Cell> {
        all_cells().filter(|cell| !self.0.contains_key(cell))
    }
}

/// What happened to the sender's process between an answer and what followed it.
fn interruption(records: &[Record], followed: &Record, after: Millis) -> Option<CellFollowUp> {
    let from = records.partition_point(|record| record.at < followed.at - after);
    let between = records[from..]
        .iter()
        .take_while(|record| record.at <= followed.at);
    between
        .filter(|record| record.sender == followed.sender)
        .find_map(|record| match record.event {
            Event::Process(ProcessEvent::Kill) => Some(CellFollowUp::Kill),
            Event::Process(ProcessEvent::Terminate) => Some(CellFollowUp::Termination),
            Event::Process(ProcessEvent::Replaced) => Some(CellFollowUp::Replacement),
            _ => None,
        })
}

fn all_cells() -> impl Iterator<Item = Cell> {
    let with_evidence = STATUSES.into_iter().flat_map(|status| {
        [AnswerEvidence::Certain, AnswerEvidence::Uncertain].map(|evidence| (status, evidence))
    });
    with_evidence
        .flat_map(|(status, evidence)| FOLLOW_UPS.map(|follow_up| (status, evidence, follow_up)))
}

impl fmt::Display for CellFollowUp {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CellFollowUp::OnConnection(follow_up) => write!(formatter, "{follow_up:?}"),
            other => write!(formatter, "{other:?}"),
        }
    }
}

/// One line for each cell that was met, and one with all that were not.
impl fmt::Display for AnswerCoverage {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for ((status, evidence, follow_up), count) in &self.0 {
            writeln!(formatter, "cell {status} {evidence:?} {follow_up} {count}")?;
        }
        write!(formatter, "empty cells:")?;
        for (status, evidence, follow_up) in self.empty_cells() {
            write!(formatter, " {status}/{evidence:?}/{follow_up}")?;
        }
        writeln!(formatter)
    }
}

#[cfg(test)]
mod tests;
