//! The platform: discovery, which pushes endpoint lists, and the receiver of status reports.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::TEST_TIMEOUT;
use super::http::{read_message, write_in_pieces};

/// The status that confirms a report.
const CONFIRMED: u16 = 204;
/// Of the reports that reach an unreliable platform, the share that it answers twice.
const REPEATED_SHARE: f64 = 0.25;
/// The share whose connection it ends without an answer.
const ENDED_SHARE: f64 = 0.25;
/// How long an unreliable platform takes to answer.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// The longest delay of a second answer.
const LONGEST_COPY_DELAY_MS: u64 = 300;

/// How a platform answers reports.
#[derive(Clone)]
enum ReportAnswers {
    /// It replies to the first reports with these statuses and confirms all others. Status 0 closes the connection.
    Scripted(&'static [u16]),
    /// It confirms the first reports on a connection. With the next ones arrives a copy of that confirmation, and the
    /// end of the connection.
    Repeated,
    /// It confirms some reports twice and ends the connection under others, at random.
    Unreliable(Arc<Mutex<Pcg64>>),
}

/// A scripted platform.
pub struct Platform {
    pub address: SocketAddr,
    /// The lines of the confirmed reports.
    pub status_reports: Receiver<String>,
    watchers: Arc<Mutex<Vec<TcpStream>>>,
    watch_requests: Receiver<String>,
}

/// What a platform writes for one request with reports.
struct ReportAnswer {
    /// When it writes them, counted from the request.
    after: Duration,
    bytes: String,
    /// When the bytes are written again, counted from the answer.
    copy_after: Option<Duration>,
    /// Whether the reports were read and count.
    confirms: bool,
    ends_connection: bool,
}

/// The state that the connections of a platform share.
#[derive(Clone)]
struct Connections {
    answers: ReportAnswers,
    report_count: Arc<Mutex<usize>>,
    report_sender: Sender<String>,
    watchers: Arc<Mutex<Vec<TcpStream>>>,
    watch_sender: Sender<String>,
}

impl Platform {
    /// A platform that replies to the first reports with the given statuses and confirms all others. Status 0 closes
    /// the connection without a reply.
    pub fn new(first_statuses: &'static [u16]) -> Platform {
        Platform::start(ReportAnswers::Scripted(first_statuses))
    }

    /// A platform that confirms the first reports on each connection twice: the copy arrives with the next reports, which
    /// it does not read, and then it closes the connection.
    pub fn repeating_confirmations() -> Platform {
        Platform::start(ReportAnswers::Repeated)
    }

    /// A platform that confirms some reports twice and ends the connection under others, without having read them.
    pub fn unreliable(seed: u64) -> Platform {
        let rng = Arc::new(Mutex::new(Pcg64::seed_from_u64(seed)));
        Platform::start(ReportAnswers::Unreliable(rng))
    }

    fn start(answers: ReportAnswers) -> Platform {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (report_sender, status_reports) = channel();
        let (watch_sender, watch_requests) = channel();
        let watchers = Arc::new(Mutex::new(Vec::new()));
        let connections = Connections {
            answers,
            report_count: Arc::default(),
            report_sender,
            watchers: watchers.clone(),
            watch_sender,
        };
        thread::spawn(move || {
            for stream in listener.incoming() {
                let connections = connections.clone();
                thread::spawn(move || connections.serve(stream.unwrap()));
            }
        });
        Platform {
            address,
            status_reports,
            watchers,
            watch_requests,
        }
    }

    /// Waits for the next status report.
    pub fn next_status_report(&self) -> String {
        self.status_reports
            .recv_timeout(TEST_TIMEOUT)
            .expect("no status report arrived")
    }

    /// Waits for the next watch, then sends a line to all watches.
    pub fn push_line(&self, line: &str) {
        self.next_watch_request();
        self.push_bytes(&watch_chunk(line));
    }

    /// Waits for the next watch and returns its request line.
    pub fn next_watch_request(&self) -> String {
        self.watch_requests
            .recv_timeout(TEST_TIMEOUT)
            .expect("no watch was opened")
    }

    /// Closes all watches.
    pub fn close_watches(&self) {
        for stream in self.watchers.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Sends bytes to all watches.
    pub fn push_bytes(&self, bytes: &str) {
        for stream in self.watchers.lock().unwrap().iter_mut() {
            write_in_pieces(stream, bytes);
        }
    }
}

impl ReportAnswer {
    /// An answer with a status; with status 0, the end of the connection in place of one.
    fn with_status(status: u16) -> ReportAnswer {
        let bytes = match status {
            0 => String::new(),
            _ => format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n"),
        };
        ReportAnswer {
            after: Duration::ZERO,
            bytes,
            copy_after: None,
            confirms: status == CONFIRMED,
            ends_connection: status == 0,
        }
    }

    /// A confirmation, which may be repeated, or the end of the connection.
    fn draw(rng: &mut Pcg64) -> ReportAnswer {
        let is_ended = rng.random::<f64>() < ENDED_SHARE;
        if is_ended {
            return ReportAnswer {
                after: SERVICE_TIME,
                ..ReportAnswer::with_status(0)
            };
        }
        let is_repeated = rng.random::<f64>() < REPEATED_SHARE;
        let delay = Duration::from_millis(rng.random_range(0..LONGEST_COPY_DELAY_MS));
        ReportAnswer {
            after: SERVICE_TIME,
            copy_after: is_repeated.then_some(delay),
            ..ReportAnswer::with_status(CONFIRMED)
        }
    }
}

impl Connections {
    fn serve(&self, stream: TcpStream) {
        let mut stream = BufReader::new(stream);
        let mut answered_on_connection = 0;
        while let Some(request) = read_message(&mut stream, 0) {
            if request.first_line.starts_with("GET /v1/servers?watch=1") {
                self.add_watcher(stream.get_mut(), request.first_line);
                continue;
            }
            let answer = self.answer(answered_on_connection);
            answered_on_connection += 1;
            thread::sleep(answer.after);
            write_in_pieces(stream.get_mut(), &answer.bytes);
            if let Some(delay) = answer.copy_after {
                write_later(stream.get_mut(), answer.bytes.clone(), delay);
            }
            if answer.confirms {
                for line in String::from_utf8(request.body).unwrap().lines() {
                    let _ = self.report_sender.send(line.to_string());
                }
            }
            if answer.ends_connection {
                let _ = stream.get_mut().shutdown(Shutdown::Both);
                return;
            }
        }
    }

    /// The answer to a request with reports, behind a number of earlier ones on its connection.
    fn answer(&self, answered_on_connection: usize) -> ReportAnswer {
        match &self.answers {
            ReportAnswers::Scripted(statuses) => {
                let mut report_count = self.report_count.lock().unwrap();
                let status = statuses.get(*report_count).copied();
                *report_count += 1;
                ReportAnswer::with_status(status.unwrap_or(CONFIRMED))
            }
            ReportAnswers::Repeated => ReportAnswer {
                confirms: answered_on_connection == 0,
                ends_connection: answered_on_connection > 0,
                ..ReportAnswer::with_status(CONFIRMED)
            },
            ReportAnswers::Unreliable(rng) => ReportAnswer::draw(&mut rng.lock().unwrap()),
        }
    }

    fn add_watcher(&self, stream: &mut TcpStream, request_line: String) {
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.write_all(head).unwrap();
        let watcher = stream.try_clone().unwrap();
        self.watchers.lock().unwrap().push(watcher);
        let _ = self.watch_sender.send(request_line);
    }
}

fn write_later(stream: &TcpStream, bytes: String, delay: Duration) {
    let mut stream = stream.try_clone().unwrap();
    thread::spawn(move || {
        thread::sleep(delay);
        write_in_pieces(&mut stream, &bytes);
    });
}

/// The HTTP chunk that contains one line of a watch.
pub fn watch_chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}
