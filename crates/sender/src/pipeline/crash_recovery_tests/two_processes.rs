//! A process is stopped while it holds a message, and the next one finishes the work.

use std::io::Read;
use std::path::PathBuf;

use super::*;
use crate::pipeline::completion::LATE_SUCCESS_GUARD;

/// How the first process is stopped.
#[derive(Clone, Copy, Debug)]
enum Stop {
    /// Killed after so many steps.
    Kill(usize),
    /// Told to shut down after so many steps.
    Terminate(usize),
    /// Killed behind so many records of its log.
    KillBehindRecord(usize),
}

/// The most steps of the first process: past the message's deadline.
const MAX_STEPS: usize = ((MESSAGE_TIMEOUT + 500.0) / STEP) as usize;
/// The least and the most steps of the second process.
const MIN_STEPS_AFTERWARDS: usize = (500.0 / STEP) as usize;
const MAX_STEPS_AFTERWARDS: usize = ((MESSAGE_TIMEOUT + 4_500.0) / STEP) as usize;

/// The first process, its client and its peers.
struct FirstProcess {
    name: String,
    state: PathBuf,
    peers: ScriptedPeers,
    clock: Clock,
    driver: Driver,
    events: TestLoop,
    client: TcpStream,
    /// What the client has read.
    answer: Vec<u8>,
    /// Steps since the endpoint has rejected the only request.
    steps_since_refusal: usize,
}

/// What the first process has left behind.
struct Remains {
    name: String,
    state: PathBuf,
    peers: ScriptedPeers,
    clock: Clock,
}

impl FirstProcess {
    fn start(class: &str, script: Script, stop: Stop) -> FirstProcess {
        let name = format!("{class}-{script:?}-{stop:?}").replace(['(', ')'], "-");
        let state = empty_folder(&format!("lives-{name}"));
        let peers = ScriptedPeers::new(script);
        let clock = Clock::manual(START);
        let (driver, events) = start(&state, MAX_HELD, &peers, true, &clock);
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
            steps_since_refusal: 0,
        }
    }

    /// Runs until the step at which it is stopped. False if it never comes to that step.
    fn run(&mut self, stop: Stop) -> bool {
        let last_step = match stop {
            Stop::Kill(steps) | Stop::Terminate(steps) => Some(steps),
            Stop::KillBehindRecord(_) => None,
        };
        let mut stays = true;
        let mut steps = 0;
        while stays && steps < MAX_STEPS && last_step != Some(steps) {
            stays = step(&mut self.driver, &mut self.peers, &self.clock);
            self.read_answer();
            steps += 1;
            self.assert_refusal_recorded();
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

    /// A rejection is recorded in the round that reads it.
    fn assert_refusal_recorded(&mut self) {
        let refused = self.peers.requests == [false];
        self.steps_since_refusal = if refused {
            self.steps_since_refusal + 1
        } else {
            0
        };
        let proven = logged_message(&self.state).is_none_or(|message| {
            let first = message.attempts.first();
            first.is_some_and(|attempt| attempt.never_ran)
        });
        assert!(
            self.steps_since_refusal < 2 || proven,
            "{}: a rejected request never ran",
            self.name
        );
    }

    /// Each record is written before anybody outside can know of what it says.
    fn assert_recorded_before_visible(&self) {
        let name = &self.name;
        let held = logged_message(&self.state);
        let recovered = LogInspection::open(&self.state).unwrap().recovered;
        let closed = !recovered.recently_closed.is_empty();
        assert!(
            self.answer.is_empty() || held.is_some() || closed,
            "{name}: 202 before its record"
        );
        let attempts = held.as_ref().map_or(0, |message| message.attempts.len());
        assert!(
            closed || self.peers.requests.len() <= attempts,
            "{name}: a request before its record"
        );
        let given_up = held.is_some_and(|message| message.final_status.is_some());
        assert!(
            closed || self.peers.reports.is_empty() || given_up,
            "{name}: a status report before its record"
        );
    }

    /// Shuts down, before it could be killed.
    fn terminate(&mut self) {
        let started = self.clock.now();
        self.driver.begin_shutdown();
        while step(&mut self.driver, &mut self.peers, &self.clock) {
            assert!(
                self.clock.now() < started + 3_690.0,
                "{}: SIGKILL may come at 3.7 s",
                self.name
            );
        }
    }

    fn exit(self) -> Remains {
        drop((self.driver, self.events, self.client));
        Remains {
            name: self.name,
            state: self.state,
            peers: self.peers,
            clock: self.clock,
        }
    }
}

impl Remains {
    /// Cuts the log behind a record, and forgets what the process did after it. False if there is no such record.
    fn cut_log(&mut self, records: usize) -> bool {
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

    /// Runs the next process, half a second later and with a healthy endpoint, until it has nothing left to do. Returns
    /// when the endpoint answered last, if it did.
    fn run_next_process(&mut self) -> Option<Millis> {
        self.peers.script = Script::Serves;
        self.peers.disconnect();
        let (mut driver, _events) = start(&self.state, MAX_HELD, &self.peers, true, &self.clock);
        let mut steps = 0;
        let mut answered_at = None;
        while driver.store.open_count + driver.status_reporter.unconfirmed().len() > 0
            || steps < MIN_STEPS_AFTERWARDS
        {
            let requests = self.peers.requests.len();
            step(&mut driver, &mut self.peers, &self.clock);
            if self.peers.requests.len() > requests {
                answered_at = Some(self.clock.now());
            }
            steps += 1;
            assert!(steps < MAX_STEPS_AFTERWARDS, "{}: it never ends", self.name);
        }
        answered_at
    }

    /// What the next process had to do with the message that it found.
    fn assert_finished(
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
            assert_eq!(done, (0, 0), "{name}: there is nothing to do");
            return;
        };
        let may_have_run = message.attempts.iter().any(|attempt| !attempt.never_ran);
        if message.final_status.is_some() {
            assert_eq!(done, (0, 1), "{name}: its status report is due");
        } else if class == "debit" && may_have_run {
            assert_eq!(done, (0, 1), "{name}: it may have run");
        } else if message.deadline > started + 700.0 {
            assert_eq!(done, (1, 0), "{name}: it is attempted and delivered");
        } else if answered_at.is_some_and(|at| at >= message.deadline - LATE_SUCCESS_GUARD) {
            assert_eq!(done, (1, 1), "{name}: a late success is reported, too");
        } else {
            assert_eq!(usize::from(requests > 0) + reports, 1, "{name}: one end");
        }
    }
}

/// The lengths of a log at which a kill can leave it, from the empty one on.
fn record_ends(bytes: &[u8]) -> Vec<usize> {
    let mut end = 8;
    let mut ends = vec![end];
    while end + 8 <= bytes.len() {
        end += 8 + u32::from_le_bytes(bytes[end..end + 4].try_into().unwrap()) as usize;
        ends.push(end);
    }
    ends
}

/// Stops a process and runs the next one: what is due must be done, no more and no less. False if there is no such
/// stop.
fn two_processes(class: &str, script: Script, stop: Stop) -> bool {
    let mut first = FirstProcess::start(class, script, stop);
    if !first.run(stop) {
        return false;
    }
    if let Stop::Terminate(_) = stop {
        first.terminate();
    }
    let mut remains = first.exit();
    if let Stop::KillBehindRecord(records) = stop
        && !remains.cut_log(records)
    {
        return false;
    }
    let found = logged_message(&remains.state);
    let requests = remains.peers.requests.len();
    let reports = remains.peers.reports.len();
    remains.clock.set(remains.clock.now() + 500.0);
    let started = remains.clock.now();
    let answered_at = remains.run_next_process();
    let new_requests = remains.peers.requests.len() - requests;
    let new_reports = remains.peers.reports.len() - reports;
    remains.assert_finished(
        found.as_ref(),
        class,
        started,
        answered_at,
        new_requests,
        new_reports,
    );
    let name = &remains.name;
    let effects = remains.peers.requests.iter().filter(|ran| **ran).count();
    assert!(class != "debit" || effects <= 1, "{name}: a second effect");
    let left = LogInspection::open(&remains.state).unwrap().recovered;
    assert!(left.open_messages.is_empty(), "{name}: nothing is left");
    std::fs::remove_dir_all(&remains.state).unwrap();
    true
}

#[rstest::rstest]
fn stopped_at_any_step_a_message_has_one_end_and_no_second_effect(
    #[values("debit", "bill", "reading")] class: &str,
    #[values(Script::Serves, Script::Hangs, Script::Refuses, Script::Resets)] script: Script,
) {
    let mut stops = 0;
    // Densely while things happen, and sparsely while a request hangs.
    for steps in (0..14).chain((14..500).step_by(48)) {
        stops += usize::from(two_processes(class, script, Stop::Kill(steps)));
        stops += usize::from(two_processes(class, script, Stop::Terminate(steps)));
    }
    let records = (0..99)
        .take_while(|records| two_processes(class, script, Stop::KillBehindRecord(*records)))
        .count();
    println!("{class} {script:?}: {stops} stops, {records} records");
    assert!(stops > 20 && records >= 4, "accepted, attempted, closed");
}
