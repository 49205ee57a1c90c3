//! A process is stopped while it has an open message, and the next one completes the work.

use std::io::Read;
use std::path::PathBuf;

use super::*;
use crate::pipeline::completion::LATE_SUCCESS_GUARD;

/// How the first process is stopped.
#[derive(Clone, Copy, Debug)]
enum Stop {
    /// Killed after this number of steps.
    Kill(usize),
    /// Asked to shut down after this number of steps.
    Terminate(usize),
    /// Killed after this number of records in its log.
    KillAfterRecords(usize),
}

/// The maximum number of steps of the first process: until 500 ms after the message's deadline.
const FIRST_PROCESS_MAX_STEPS: usize = ((MESSAGE_TIMEOUT + 500.0) / STEP) as usize;
/// The minimum and the maximum number of steps of the next process.
const NEXT_PROCESS_MIN_STEPS: usize = (500.0 / STEP) as usize;
const NEXT_PROCESS_MAX_STEPS: usize = ((MESSAGE_TIMEOUT + 4_500.0) / STEP) as usize;

/// The first process, its client and its peers.
struct FirstProcess {
    name: String,
    state: PathBuf,
    peers: ScriptedPeers,
    clock: Clock,
    driver: Driver,
    events: TestLoop,
    client: TcpStream,
    /// The bytes of the answer that the client has read.
    answer: Vec<u8>,
    /// The number of steps since the endpoint rejected the first request, if no other followed.
    steps_since_rejection: usize,
}

/// A first process that has been stopped: its state folder, its peers and its clock, which the next process uses.
struct StoppedProcess {
    name: String,
    state: PathBuf,
    peers: ScriptedPeers,
    clock: Clock,
}

impl FirstProcess {
    fn start(class: &str, script: EndpointScript, stop: Stop) -> FirstProcess {
        let name = format!("{class}-{script:?}-{stop:?}").replace(['(', ')'], "-");
        let state = empty_folder(&format!("crash-recovery-{name}"));
        let peers = ScriptedPeers::new(script);
        let clock = Clock::manual(START);
        let (driver, events) = start(&state, MAX_OPEN_MESSAGES, &peers, true, &clock);
        let client = send_message(&driver, class);
        FirstProcess {
            name,
            state,
            peers,
            clock,
            driver,
            events,
            client,
            answer: Vec::new(),
            steps_since_rejection: 0,
        }
    }

    /// Runs until the step at which it is stopped. Returns false if it exits or reaches the maximum before that step.
    fn run(&mut self, stop: Stop) -> bool {
        let last_step = match stop {
            Stop::Kill(steps) | Stop::Terminate(steps) => Some(steps),
            Stop::KillAfterRecords(_) => None,
        };
        let mut keeps_running = true;
        let mut steps = 0;
        while keeps_running && steps < FIRST_PROCESS_MAX_STEPS && last_step != Some(steps) {
            keeps_running = step(&mut self.driver, &mut self.peers, &self.clock);
            self.read_answer();
            steps += 1;
            self.assert_rejection_recorded();
            self.assert_recorded_before_visible();
        }
        last_step.is_none_or(|last_step| steps >= last_step)
    }

    fn read_answer(&mut self) {
        let mut buffer = [0; 256];
        if let Ok(count) = self.client.read(&mut buffer) {
            self.answer.extend(&buffer[..count]);
        }
    }

    /// Checks that a rejection is recorded in the round that reads it, as proof that the attempt never ran.
    fn assert_rejection_recorded(&mut self) {
        let rejected = self.peers.requests == [false];
        self.steps_since_rejection = if rejected {
            self.steps_since_rejection + 1
        } else {
            0
        };
        let recorded = logged_message(&self.state).is_none_or(|message| {
            let first = message.attempts.first();
            first.is_some_and(|attempt| attempt.never_ran)
        });
        assert!(
            self.steps_since_rejection < 2 || recorded,
            "{}: no record says that the rejected request never ran",
            self.name
        );
    }

    /// Checks that each record is written before its content becomes visible to a client or a peer.
    fn assert_recorded_before_visible(&self) {
        let name = &self.name;
        let logged = logged_message(&self.state);
        let recovered = LogInspection::open(&self.state).unwrap().recovered;
        let closed = !recovered.recently_closed.is_empty();
        assert!(
            self.answer.is_empty() || logged.is_some() || closed,
            "{name}: 202 was sent before its record"
        );
        let attempts = logged.as_ref().map_or(0, |message| message.attempts.len());
        assert!(
            closed || self.peers.requests.len() <= attempts,
            "{name}: a request was sent before its record"
        );
        let given_up = logged.is_some_and(|message| message.final_status.is_some());
        assert!(
            closed || self.peers.reports.is_empty() || given_up,
            "{name}: a status report was sent before its record"
        );
    }

    /// Shuts the process down, and checks that it exits before it could be killed.
    fn terminate(&mut self) {
        let started = self.clock.now();
        self.driver.begin_shutdown();
        while step(&mut self.driver, &mut self.peers, &self.clock) {
            assert!(
                self.clock.now() < started + 3_690.0,
                "{}: not exited at 3.69 s, and SIGKILL may follow at 3.7 s",
                self.name
            );
        }
    }

    /// Ends the process without a further step, as a kill does.
    fn stop(self) -> StoppedProcess {
        drop((self.driver, self.events, self.client));
        StoppedProcess {
            name: self.name,
            state: self.state,
            peers: self.peers,
            clock: self.clock,
        }
    }
}

impl StoppedProcess {
    /// Truncates the log after this number of records, and removes the later requests and all reports from the peers'
    /// history. Returns false if the log has fewer records.
    fn truncate_log(&mut self, records: usize) -> bool {
        let log = self.state.join("ledger");
        let bytes = std::fs::read(&log).unwrap();
        let Some(end) = record_ends(&bytes).get(records).copied() else {
            return false;
        };
        std::fs::write(&log, &bytes[..end]).unwrap();
        let attempts = logged_message(&self.state).map_or(0, |message| message.attempts.len());
        self.peers.requests.truncate(attempts);
        self.peers.reports.clear();
        true
    }

    /// Runs the next process, with an endpoint that answers all requests, until it has no work left. Returns when the
    /// endpoint last answered, or `None` if it received no request.
    fn run_next_process(&mut self) -> Option<Millis> {
        self.peers.script = EndpointScript::AnswersAll;
        self.peers.disconnect();
        let (mut driver, _events) = start(
            &self.state,
            MAX_OPEN_MESSAGES,
            &self.peers,
            true,
            &self.clock,
        );
        let mut steps = 0;
        let mut answered_at = None;
        while driver.store.open_count + driver.status_reporter.unconfirmed().len() > 0
            || steps < NEXT_PROCESS_MIN_STEPS
        {
            let requests = self.peers.requests.len();
            step(&mut driver, &mut self.peers, &self.clock);
            if self.peers.requests.len() > requests {
                answered_at = Some(self.clock.now());
            }
            steps += 1;
            assert!(
                steps < NEXT_PROCESS_MAX_STEPS,
                "{}: the next process never completes its work",
                self.name
            );
        }
        answered_at
    }

    /// Checks that the next process sent exactly what was due for the message that it found in the log.
    fn assert_due_work_done(
        &self,
        found: Option<&MessageRecord>,
        class: &str,
        started: Millis,
        answered_at: Option<Millis>,
        requests: usize,
        reports: usize,
    ) {
        let name = &self.name;
        let done = (requests, reports);
        let Some(message) = found else {
            assert_eq!(
                done,
                (0, 0),
                "{name}: without an open message, nothing is sent"
            );
            return;
        };
        let may_have_run = message.attempts.iter().any(|attempt| !attempt.never_ran);
        if message.final_status.is_some() {
            assert_eq!(done, (0, 1), "{name}: a message given up is only reported");
        } else if class == "debit" && may_have_run {
            assert_eq!(
                done,
                (0, 1),
                "{name}: a non-idempotent message that may have run is only reported"
            );
        } else if message.deadline > started + 700.0 {
            assert_eq!(
                done,
                (1, 0),
                "{name}: a message with enough time is delivered"
            );
        } else if answered_at.is_some_and(|at| at >= message.deadline - LATE_SUCCESS_GUARD) {
            assert_eq!(done, (1, 1), "{name}: a late success is also reported");
        } else {
            assert_eq!(
                usize::from(requests > 0) + reports,
                1,
                "{name}: the message ends either by attempts or by a report"
            );
        }
    }
}

/// The lengths that a log can have after a kill: that of its header, and that up to the end of each record.
fn record_ends(bytes: &[u8]) -> Vec<usize> {
    let mut end = 8;
    let mut ends = vec![end];
    while end + 8 <= bytes.len() {
        end += 8 + u32::from_le_bytes(bytes[end..end + 4].try_into().unwrap()) as usize;
        ends.push(end);
    }
    ends
}

/// Stops a process, runs the next one half a second later, and checks that the next one does exactly what is due.
/// Returns false if the first process never reaches the stop.
fn check_recovery_after(class: &str, script: EndpointScript, stop: Stop) -> bool {
    let mut first = FirstProcess::start(class, script, stop);
    if !first.run(stop) {
        return false;
    }
    if let Stop::Terminate(_) = stop {
        first.terminate();
    }
    let mut stopped = first.stop();
    if let Stop::KillAfterRecords(records) = stop
        && !stopped.truncate_log(records)
    {
        return false;
    }
    let found = logged_message(&stopped.state);
    let requests = stopped.peers.requests.len();
    let reports = stopped.peers.reports.len();
    stopped.clock.set(stopped.clock.now() + 500.0);
    let started = stopped.clock.now();
    let answered_at = stopped.run_next_process();
    let new_requests = stopped.peers.requests.len() - requests;
    let new_reports = stopped.peers.reports.len() - reports;
    stopped.assert_due_work_done(
        found.as_ref(),
        class,
        started,
        answered_at,
        new_requests,
        new_reports,
    );
    let name = &stopped.name;
    let effects = stopped
        .peers
        .requests
        .iter()
        .filter(|may_have_run| **may_have_run)
        .count();
    assert!(
        class != "debit" || effects <= 1,
        "{name}: a non-idempotent message may have run twice"
    );
    let recovered = LogInspection::open(&stopped.state).unwrap().recovered;
    assert!(
        recovered.open_messages.is_empty(),
        "{name}: a message is still open in the log"
    );
    std::fs::remove_dir_all(&stopped.state).unwrap();
    true
}

#[rstest::rstest]
fn a_message_ends_once_without_a_second_effect_wherever_its_process_is_stopped(
    #[values("debit", "bill", "reading")] class: &str,
    #[values(
        EndpointScript::AnswersAll,
        EndpointScript::AnswersNone,
        EndpointScript::RejectsFirst,
        EndpointScript::ClosesFirst
    )]
    script: EndpointScript,
) {
    let mut stops = 0;
    // At every step while messages are exchanged, then at every 48th, while an unanswered request is in flight.
    for steps in (0..14).chain((14..500).step_by(48)) {
        stops += usize::from(check_recovery_after(class, script, Stop::Kill(steps)));
        stops += usize::from(check_recovery_after(class, script, Stop::Terminate(steps)));
    }
    let records = (0..99)
        .take_while(|records| check_recovery_after(class, script, Stop::KillAfterRecords(*records)))
        .count();
    println!("{class} {script:?}: {stops} stops, {records} records");
    assert!(
        stops > 20 && records >= 4,
        "there must be a record each for accepted, attempted and closed"
    );
}
