//! Which cell an answer counts for.

use super::*;

const SENDER: usize = 2;

fn record(at: Millis, sender: usize, event: Event) -> Record {
    Record {
        at,
        sender,
        message: "m".to_string(),
        event,
    }
}

/// An answer with status 410 at 10 ms, and what followed at 20 ms.
fn followed() -> Record {
    let mut written = WrittenAnswers::default();
    let evidence = written.evidence_of("gone");
    written.add("m", 410, evidence, "gone", 10.0);
    let (_, event) = written.followed_by(FollowUp::NextRequest, 20.0).unwrap();
    assert!(written.followed_by(FollowUp::Copy, 30.0).is_none());
    assert_eq!(written.evidence_of("gone"), AnswerEvidence::Uncertain);
    record(20.0, SENDER, event)
}

#[rstest::rstest]
#[case::nothing(None, CellFollowUp::OnConnection(FollowUp::NextRequest))]
#[case::kill_meanwhile(Some((15.0, SENDER, ProcessEvent::Kill)), CellFollowUp::Kill)]
#[case::replacement(Some((15.0, SENDER, ProcessEvent::Replaced)), CellFollowUp::Replacement)]
#[case::earlier_kill(
    Some((9.0, SENDER, ProcessEvent::Kill)),
    CellFollowUp::OnConnection(FollowUp::NextRequest)
)]
#[case::kill_of_another_sender(
    Some((15.0, 1, ProcessEvent::Kill)),
    CellFollowUp::OnConnection(FollowUp::NextRequest)
)]
fn an_answer_counts_for_what_happened_first_behind_it(
    #[case] process_event: Option<(Millis, usize, ProcessEvent)>,
    #[case] expected: CellFollowUp,
) {
    let mut records = vec![followed()];
    if let Some((at, sender, event)) = process_event {
        records.insert(0, record(at, sender, Event::Process(event)));
    }
    let coverage = AnswerCoverage::of(&records);
    let cell = (410, AnswerEvidence::Certain, expected);
    assert_eq!(coverage.0, BTreeMap::from([(cell, 1)]));
    let text = coverage.to_string();
    assert_eq!(text.lines().count(), 2);
    let empty = text.split(' ').filter(|word| word.contains('/')).count();
    assert_eq!(empty, all_cells().count() - 1);
}
