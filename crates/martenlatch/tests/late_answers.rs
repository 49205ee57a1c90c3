//! Answers of endpoints that arrive just after the deadline of their message.

mod support;
use support::*;

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The timeout of each message, which its client sends.
const TIMEOUT: Duration = Duration::from_millis(400);
const TIMEOUT_HEADER: &str = "0.400";
/// Number of messages. Their answers are written at or after their deadlines, each [`DELAY_STEP`] later than the one
/// before.
const MESSAGES: u32 = 10;
const DELAY_STEP: Duration = Duration::from_micros(100);
/// Pause after each message, because its late answer makes the endpoint seem to hang.
const PAUSE: Duration = Duration::from_millis(300);

/// If no report arrives within this time, no further one will.
const REPORT_TIMEOUT: Duration = Duration::from_secs(3);

/// When the current message was submitted.
type SubmissionTime = Arc<Mutex<Option<Instant>>>;

/// Answers 200 at a given delay after the deadline of the current message.
fn answer_after_the_deadline(submission: &SubmissionTime, delay: Duration) -> Reply {
    let submitted_at = submission.lock().unwrap().expect("a message was submitted");
    let answer_at = submitted_at + TIMEOUT + delay;
    thread::sleep(answer_at.saturating_duration_since(Instant::now()));
    reply(200, "")
}

/// Guards against completing a message without a status report when its answer was written after the deadline: the
/// platform does not count such an answer and learns the final status only from the report.
#[test]
fn a_message_whose_answer_was_written_after_its_deadline_is_reported() {
    let submission = SubmissionTime::default();
    let script_submission = submission.clone();
    let (endpoint, known_endpoints) = endpoint_and_list(move |number, _| {
        answer_after_the_deadline(&script_submission, DELAY_STEP * number as u32)
    });
    let platform = Platform::new(&[]);
    let sender = Sender::start("late-answers", &platform, &known_endpoints);
    for number in 0..MESSAGES {
        let id = format!("late-{number}");
        // Taken before the first byte is written: the platform counts from this time or from a later one.
        *submission.lock().unwrap() = Some(Instant::now());
        assert_eq!(sender.submit("debit", &id, TIMEOUT_HEADER), 202);
        thread::sleep(TIMEOUT + PAUSE);
    }
    // An endpoint passes a request to the test after it has written the answer.
    let answered = endpoint.take_new_requests();
    let mut unreported: BTreeSet<&str> = answered.iter().map(HttpMessage::id).collect();
    assert!(!unreported.is_empty(), "no message was attempted");
    while let Ok(line) = platform.status_reports.recv_timeout(REPORT_TIMEOUT) {
        unreported.retain(|id| !line.contains(&format!("\"{id}\"")));
    }
    assert!(
        unreported.is_empty(),
        "messages without a status report: {unreported:?}"
    );
}
