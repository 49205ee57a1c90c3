//! The platform: discovery, which pushes endpoint lists, and the receiver of status reports.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;

use super::TEST_TIMEOUT;
use super::http::{read_message, write_in_pieces};

/// The status that confirms a report.
const CONFIRMED: u16 = 204;

/// A scripted platform.
pub struct Platform {
    pub address: SocketAddr,
    /// The lines of the confirmed reports.
    pub status_reports: Receiver<String>,
    watchers: Arc<Mutex<Vec<TcpStream>>>,
    watch_requests: Receiver<String>,
}

/// The state that the connections of a platform share.
#[derive(Clone)]
struct Connections {
    /// The statuses of the replies to the first reports; all later ones are confirmed.
    first_statuses: &'static [u16],
    /// Whether a further request with reports on a connection meets a copy of the confirmation before it, and the end of
    /// the connection.
    repeats: bool,
    report_count: Arc<Mutex<usize>>,
    report_sender: Sender<String>,
    watchers: Arc<Mutex<Vec<TcpStream>>>,
    watch_sender: Sender<String>,
}

impl Platform {
    /// A platform that replies to the first reports with the given statuses and confirms all others. Status 0 closes
    /// the connection without a reply.
    pub fn new(first_statuses: &'static [u16]) -> Platform {
        Platform::start(first_statuses, false)
    }

    /// A platform that confirms the first reports on each connection twice: the copy arrives with the next reports, which
    /// it does not read, and then it closes the connection.
    pub fn repeating_confirmations() -> Platform {
        Platform::start(&[], true)
    }

    fn start(first_statuses: &'static [u16], repeats: bool) -> Platform {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (report_sender, status_reports) = channel();
        let (watch_sender, watch_requests) = channel();
        let watchers = Arc::new(Mutex::new(Vec::new()));
        let connections = Connections {
            first_statuses,
            repeats,
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

impl Connections {
    fn serve(&self, stream: TcpStream) {
        let mut stream = BufReader::new(stream);
        let mut confirmed_on_connection = 0;
        while let Some(request) = read_message(&mut stream, 0) {
            if request.first_line.starts_with("GET /v1/servers?watch=1") {
                self.add_watcher(stream.get_mut(), request.first_line);
                continue;
            }
            if self.repeats && confirmed_on_connection > 0 {
                write_in_pieces(
                    stream.get_mut(),
                    "HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n",
                );
                return;
            }
            confirmed_on_connection += 1;
            let mut report_count = self.report_count.lock().unwrap();
            let status = self.first_statuses.get(*report_count).copied();
            let status = status.unwrap_or(CONFIRMED);
            *report_count += 1;
            if status == 0 {
                return;
            }
            let response = format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n");
            write_in_pieces(stream.get_mut(), &response);
            if status == CONFIRMED {
                for line in String::from_utf8(request.body).unwrap().lines() {
                    let _ = self.report_sender.send(line.to_string());
                }
            }
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

/// The HTTP chunk that contains one line of a watch.
pub fn watch_chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}
