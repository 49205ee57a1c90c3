//! Answers of endpoints that come as the time of their message runs out.

mod support;
use support::*;

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long each message may be delivered, as its client says.
const TIMEOUT: Duration = Duration::from_millis(400);
const TIMEOUT_HEADER: &str = "0.400";
/// Messages whose answers come at the end of their time, each a little later than the one before.
const MESSAGES: u32 = 10;
const STEP: Duration = Duration::from_micros(100);
/// A pause between two messages: their endpoint has seemed to hang.
const PAUSE: Duration = Duration::from_millis(300);

/// No report comes any more after so long a silence.
const LAST_REPORT: Duration = Duration::from_secs(3);

/// When the present message was handed in.
type HandedIn = Arc<Mutex<Option<Instant>>>;

/// An answer of 200 that is written once the time of its message is up by so much.
fn answer_behind_the_deadline(handed_in: &HandedIn, behind: Duration) -> Reply {
    let handed_in = handed_in.lock().unwrap().expect("a message is handed in");
    let at = handed_in + TIMEOUT + behind;
    thread::sleep(at.saturating_duration_since(Instant::now()));
    reply(200, "")
}

/// Guards against messages that end by an answer from behind their time: the platform counts such an answer for nothing,
/// and has to be told of the end.
#[test]
fn a_message_whose_answer_was_written_behind_its_time_is_reported() {
    let handed_in = HandedIn::default();
    let script_handed_in = handed_in.clone();
    let (endpoint, known) = one_endpoint(move |number, _| {
        answer_behind_the_deadline(&script_handed_in, STEP * number as u32)
    });
    let platform = Platform::new(&[]);
    let sender = Sender::start("late-answers", &platform, &known);
    for number in 0..MESSAGES {
        let id = format!("late-{number}");
        // Before its first byte is written: the platform may count from later on, and never from earlier.
        *handed_in.lock().unwrap() = Some(Instant::now());
        assert_eq!(sender.submit("debit", &id, TIMEOUT_HEADER), 202);
        thread::sleep(TIMEOUT + PAUSE);
    }
    // An endpoint's request is seen once its answer is written.
    let answered = endpoint.requests_so_far();
    let mut unreported: BTreeSet<&str> = answered.iter().map(HttpMessage::id).collect();
    assert!(!unreported.is_empty(), "no message was attempted");
    while let Ok(line) = platform.status_reports.recv_timeout(LAST_REPORT) {
        unreported.retain(|id| !line.contains(&format!("\"{id}\"")));
    }
    assert!(
        unreported.is_empty(),
        "ended without a report: {unreported:?}"
    );
}
