//! All orders of answers, copies, ends of connections, kills and replacements around one message on two connections. The
//! rules are checked after each of them. `MARTENLATCH_ORDER_LENGTH` sets the number of events of an order.

use std::collections::BTreeSet;
use std::path::PathBuf;

use super::manual_endpoint::ManualPeers;
use super::*;
use crate::pipeline::test_support::TestProcess;

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const GONE: &str = "HTTP/1.1 410 Gone\r\nContent-Length: 4\r\n\r\ngone";
const REFUSED: &str = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
const FAILED: &str = "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n";
const EXHAUSTED: &str = "HTTP/1.1 504 Exhausted\r\nContent-Length: 0\r\n\r\n";
/// The part of a 410 that is written before its connection ends.
const CUT_OFF: &str = "HTTP/1.1 410 Gone\r\nCont";

/// The message whose rules are checked.
const MESSAGE: &str = "checked";
/// How long it may be delivered.
const TIMEOUT: Millis = 3_500.0;
/// The platform's tolerance behind that.
const TOLERANCE: Millis = 300.0;
/// How long the steps wait for a connection to rest.
const REST: Millis = 1_200.0;
/// The shortest time for which a connection rests whose endpoint is little known.
const SHORTEST_REST: Millis = 100.0;
/// The steps of the clock in which the end of the message is waited for.
const LONG_STEP: Millis = 50.0;
/// The number of clients' and of endpoints' connections that a round reads.
const CONNECTIONS: usize = 12;
/// The usual number of events of each order.
const USUAL_LENGTH: usize = 3;

/// An event around the message. "Its connection" is the one of its latest request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Happening {
    /// The request is answered.
    Answered(&'static str),
    /// A part of a 410 arrives, and the end of the connection.
    CutOffGone,
    /// The latest answer on its connection is written again.
    CopyOnItsConnection,
    /// The latest answer on the other connection is written again.
    CopyOnOtherConnection,
    /// Its connection ends.
    EndOfItsConnection,
    /// The other connection ends.
    EndOfOtherConnection,
    /// Another message is submitted. Its request is not answered before the end.
    NextMessage,
    /// Nothing happens until the connections have rested.
    Rest,
    /// The process is killed, and the next one starts.
    Kill,
    /// Another process takes over.
    Replacement,
}

const HAPPENINGS: [Happening; 13] = [
    Happening::Answered(OK),
    Happening::Answered(GONE),
    Happening::Answered(REFUSED),
    Happening::Answered(FAILED),
    Happening::CutOffGone,
    Happening::CopyOnItsConnection,
    Happening::CopyOnOtherConnection,
    Happening::EndOfItsConnection,
    Happening::EndOfOtherConnection,
    Happening::NextMessage,
    Happening::Rest,
    Happening::Kill,
    Happening::Replacement,
];

/// What has truly become of the message.
#[derive(Debug, Default)]
struct Truth {
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

struct Case {
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
    fn start(name: &str, class: &str, earlier: &'static str) -> Case {
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
    fn perform(&mut self, happening: Happening) -> bool {
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
    fn finish(&mut self, class: &str) {
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

/// Plays one order. Returns whether all of it could happen.
fn play(class: &str, earlier: &'static str, order: &[Happening]) -> bool {
    let name = format!("orders-{class}-{:?}", std::thread::current().id());
    let mut case = Case::start(&name, class, earlier);
    let is_possible = order.iter().all(|happening| case.perform(*happening));
    if is_possible {
        case.finish(class);
    }
    is_possible
}

/// Plays all orders of a length that begin with some events. Returns their number.
fn play_all(class: &str, earlier: &'static str, first: &[Happening], length: usize) -> usize {
    if first.len() == length {
        return usize::from(play(class, earlier, first));
    }
    HAPPENINGS
        .iter()
        .map(|next| play_all(class, earlier, &[first, &[*next]].concat(), length))
        .sum()
}

fn order_length() -> usize {
    let length = std::env::var("MARTENLATCH_ORDER_LENGTH").ok();
    length
        .and_then(|text| text.parse().ok())
        .unwrap_or(USUAL_LENGTH)
}

/// Guards against a request behind a 410, a message without an end, and a second run of a non-idempotent message, in any
/// order of what may happen to its request, to its connections and to its process.
#[rstest::rstest]
fn in_every_order_each_rule_holds_for_a_message_on_two_connections(
    #[values("debit", "reading")] class: &str,
    #[values(OK, GONE, EXHAUSTED)] earlier: &'static str,
    #[values(0, 1, 2, 3)] share: usize,
) {
    let shares = HAPPENINGS.iter().skip(share).step_by(4);
    let played: usize = shares
        .map(|first| play_all(class, earlier, &[*first], order_length()))
        .sum();
    println!("{class} {earlier:?}: {played} orders");
    assert!(played > 50, "{played}");
}

/// Guards against a request behind a 410: a copied rejection came later than any earlier response and so was believed, and
/// the 410 behind it had the bytes of an earlier one.
#[rstest::rstest]
fn a_410_behind_a_copy_that_was_believed_ends_its_message(
    #[values("debit", "reading")] class: &str,
    #[values(Happening::Answered(GONE), Happening::CutOffGone)] end: Happening,
) {
    let order = [
        Happening::Answered(REFUSED),
        Happening::Rest,
        Happening::CopyOnItsConnection,
        end,
    ];
    assert!(play(class, GONE, &order));
}

/// Guards against a request behind a 410: it stood in the place of the answer to the next request, behind a copy of an
/// earlier success, and a kill came before that was settled.
#[rstest::rstest]
fn a_410_behind_a_copied_success_ends_its_message_before_a_kill(
    #[values("debit", "reading")] class: &str,
) {
    let order = [
        Happening::CopyOnItsConnection,
        Happening::NextMessage,
        Happening::Answered(GONE),
        Happening::Kill,
    ];
    assert!(play(class, OK, &order));
}

/// Guards against a request behind a 410: a copied success was not settled at a replacement, as its connection carried
/// another request, and the successor took the 410 for the answer to that one.
#[rstest::rstest]
fn a_410_behind_a_copied_success_ends_its_message_across_a_replacement(
    #[values("debit", "reading")] class: &str,
    #[values(Happening::Answered(GONE), Happening::CutOffGone)] end: Happening,
) {
    let order = [
        Happening::CopyOnItsConnection,
        Happening::NextMessage,
        Happening::Replacement,
        end,
    ];
    assert!(play(class, OK, &order));
}
