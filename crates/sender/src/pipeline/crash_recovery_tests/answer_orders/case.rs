//! One message around which events happen, and the rules that are checked after each of them.

use std::collections::BTreeSet;
use std::path::PathBuf;

use super::*;
use crate::pipeline::crash_recovery_tests::manual_endpoint::ManualPeers;
use crate::pipeline::test_support::TestProcess;

/// What has truly become of the message.
#[derive(Debug, Default)]
pub(super) struct Truth {
    /// An endpoint has run it and answered 200.
    delivered: bool,
    /// An endpoint has said that it is over.
    gone: bool,
    /// The number of requests that ran, or may have.
    runs: usize,
    /// Behind a copy, an answer on a connection of the message came only after the rest, or never: HTTP cannot tell such a
    /// copy from an answer (`docs/design/response-matching.md`).
    is_indistinguishable: bool,
}

/// One message, its process, and its peers.
pub(super) struct Case {
    /// `None` only between the kill of a process and the start of the next one.
    process: Option<TestProcess>,
    peers: ManualPeers,
    clock: Clock,
    state: PathBuf,
    truth: Truth,
    /// The number of requests that have been checked.
    checked: usize,
    /// The connection of the latest request for the message.
    connection: usize,
    /// The connections of all requests for the message.
    connections: BTreeSet<usize>,
    others: usize,
    deadline: Millis,
    /// What has happened, for the messages of failed checks.
    happened: Vec<Happening>,
}

impl Case {
    /// Two connections have carried an answer each, and the message has been sent on one of them.
    pub(super) fn start(name: &str, class: &str, earlier: &'static str) -> Case {
        let state = empty_folder(name);
        let peers = ManualPeers::new();
        let clock = Clock::manual(START);
        let process = start_process(&state, &peers, &clock);
        let mut case = Case {
            process: Some(process),
            peers,
            clock,
            state,
            truth: Truth::default(),
            checked: 0,
            connection: 0,
            connections: BTreeSet::new(),
            others: 0,
            deadline: 0.0,
            happened: Vec::new(),
        };
        for _ in 0..2 {
            case.submit_other();
        }
        case.peers.answer_others(MESSAGE, earlier);
        case.run(4);
        case.wait(REST);
        case.submit(class, MESSAGE);
        case.deadline = case.clock.now() + TIMEOUT;
        case.run(4);
        case
    }

    fn process(&mut self) -> &mut TestProcess {
        self.process.as_mut().unwrap()
    }

    fn submit(&mut self, class: &str, id: &str) {
        let mut client = TcpStream::connect(self.process().driver.listen_address()).unwrap();
        let request = format!(
            "POST /{class} HTTP/1.1\r\nX-Request-ID: {id}\r\nIdempotency-Key: k-{id}\r\nX-Route-To: dest=7\r\n\
             Content-Length: 1\r\nX-Timeout: {}\r\n\r\nx",
            TIMEOUT / 1e3
        );
        client.write_all(request.as_bytes()).unwrap();
        self.run(3);
    }

    fn submit_other(&mut self) {
        self.others += 1;
        let id = format!("other-{}", self.others);
        self.submit("reading", &id);
    }

    /// Runs rounds of the process, and checks the requests that arrive.
    fn run(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.round(STEP);
        }
    }

    fn wait(&mut self, time: Millis) {
        let until = self.clock.now() + time;
        while self.clock.now() < until {
            self.round(LONG_STEP);
        }
    }

    fn round(&mut self, time: Millis) {
        let now = self.clock.now();
        self.peers.poll(now);
        let driver = &mut self.process().driver;
        driver.round(all_sources());
        let violations = driver.violations.total();
        assert_eq!(violations, 0, "a rule was broken: {:?}", self.happened);
        self.peers.poll(now);
        self.note_late_answers(now);
        self.check_requests();
        self.clock.set(self.clock.now() + time);
    }

    /// Notes that an answer comes late behind a copy, on a connection that has carried the message.
    fn note_late_answers(&mut self, now: Millis) {
        let peers = &self.peers;
        let mut connections = self.connections.iter();
        self.truth.is_indistinguishable |= connections
            .any(|connection| peers.is_late_behind_copy(*connection, now, SHORTEST_REST));
    }

    /// Checks the requests for the message that have arrived since the last call.
    fn check_requests(&mut self) {
        let new = self.peers.requests.split_at(self.checked).1;
        let of_message: Vec<usize> = new
            .iter()
            .filter(|request| request.id == MESSAGE)
            .map(|request| request.connection)
            .collect();
        self.checked = self.peers.requests.len();
        for connection in of_message {
            assert!(!self.truth.gone, "sent behind its 410: {:?}", self.happened);
            self.connection = connection;
            self.connections.insert(connection);
            self.truth.runs += 1;
        }
    }

    /// Lets an event happen. Returns false if it cannot.
    pub(super) fn perform(&mut self, happening: Happening) -> bool {
        self.happened.push(happening);
        let is_possible = self.try_perform(happening);
        if is_possible {
            self.run(3);
        }
        is_possible
    }

    fn try_perform(&mut self, happening: Happening) -> bool {
        match happening {
            Happening::Answered(answer) => self.answer(answer),
            Happening::CutOffGone => {
                let Some(connection) = self.peers.unanswered(MESSAGE) else {
                    return false;
                };
                self.truth.gone = true;
                self.truth.runs -= 1;
                self.peers.write(connection, CUT_OFF);
                self.peers.end(connection);
                true
            }
            Happening::CopyOnItsConnection => self.copy(Some(self.connection)),
            Happening::CopyOnOtherConnection => {
                self.copy(self.peers.other_connection(self.connection))
            }
            Happening::EndOfItsConnection => self.end(Some(self.connection)),
            Happening::EndOfOtherConnection => {
                self.end(self.peers.other_connection(self.connection))
            }
            Happening::NextMessage => {
                self.submit_other();
                true
            }
            Happening::Rest => {
                self.wait(REST);
                true
            }
            Happening::Kill => {
                self.restart();
                true
            }
            Happening::Replacement => self.replace(),
        }
    }

    /// Answers the latest request for the message that waits.
    fn answer(&mut self, answer: &'static str) -> bool {
        let Some(connection) = self.peers.unanswered(MESSAGE) else {
            return false;
        };
        match answer {
            OK => self.truth.delivered = true,
            GONE => self.truth.gone = true,
            _ => {}
        }
        self.truth.runs -= usize::from([GONE, REFUSED].contains(&answer));
        self.peers.answer(connection, answer);
        true
    }

    fn copy(&mut self, connection: Option<usize>) -> bool {
        connection.is_some_and(|connection| self.peers.copy(connection))
    }

    fn end(&mut self, connection: Option<usize>) -> bool {
        let Some(connection) = connection.filter(|number| self.peers.is_open(*number)) else {
            return false;
        };
        self.peers.end(connection);
        true
    }

    fn restart(&mut self) {
        self.process = None;
        self.process = Some(start_process(&self.state, &self.peers, &self.clock));
    }

    fn replace(&mut self) -> bool {
        for _ in 0..4 {
            let clock = self.clock.clone();
            if let Some(next) = self.process().replacement(&clock) {
                self.process = Some(next);
                return true;
            }
            self.run(1);
        }
        panic!("never ready for a replacement: {:?}", self.happened);
    }

    /// Answers all requests from now on, and checks that the message ends.
    pub(super) fn finish(&mut self, class: &str) {
        while self.clock.now() < self.deadline + TOLERANCE {
            while self.answer(OK) {}
            self.peers.answer_others(MESSAGE, OK);
            self.round(LONG_STEP);
        }
        let reported = self.peers.reports.iter().any(|line| line.contains(MESSAGE));
        let has_end = self.truth.delivered || self.truth.gone || reported;
        let is_known = self.truth.is_indistinguishable;
        assert!(has_end || is_known, "lost: {:?}", self.happened);
        let ran_twice = class == "debit" && self.truth.runs > 1;
        assert!(!ran_twice || is_known, "ran twice: {:?}", self.happened);
    }
}

fn all_sources() -> Vec<EventSource> {
    let control = [
        EventSource::ClientListener,
        EventSource::Watch,
        EventSource::StatusReports,
    ];
    let connections = (0..CONNECTIONS)
        .flat_map(|index| [EventSource::Client(index), EventSource::Endpoint(index)]);
    control.into_iter().chain(connections).collect()
}

fn start_process(state: &Path, peers: &ManualPeers, clock: &Clock) -> TestProcess {
    TestProcess::start(
        state,
        &settings(MAX_OPEN_MESSAGES),
        &peers.list(),
        peers.platform_address(),
        clock,
    )
}
