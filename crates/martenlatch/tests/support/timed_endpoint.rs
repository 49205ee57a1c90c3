//! Scripted endpoints whose writes have times of their own: an answer can be followed by bytes that belong to no request.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use super::http::{HttpMessage, read_message};

/// What happens to the connection after a write.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AfterWrite {
    /// It stays open.
    Nothing,
    /// It is closed.
    Close,
    /// It is reset.
    Reset,
}

/// One write of an endpoint.
pub struct TimedWrite {
    /// The time from the moment at which the request was read.
    pub delay: Duration,
    pub bytes: String,
    pub then: AfterWrite,
    /// Called once the bytes are written, unless the sender has closed the connection before.
    pub when_written: Option<Box<dyn FnOnce() + Send>>,
}

impl TimedWrite {
    pub fn after(milliseconds: u64, bytes: &str) -> TimedWrite {
        TimedWrite::at(milliseconds as f64, bytes)
    }

    /// A write after a time in milliseconds.
    pub fn at(milliseconds: f64, bytes: &str) -> TimedWrite {
        TimedWrite {
            delay: Duration::from_secs_f64(milliseconds / 1e3),
            bytes: bytes.to_string(),
            then: AfterWrite::Nothing,
            when_written: None,
        }
    }
}

/// An endpoint whose script says what is written for each request, and when. Writes of different requests on one
/// connection happen in the order of their times.
pub struct TimedEndpoint {
    pub address: SocketAddr,
    /// The requests, as they were read.
    pub requests: Receiver<HttpMessage>,
    /// The number of connections accepted so far.
    pub connections: Arc<AtomicUsize>,
}

impl TimedEndpoint {
    /// The script gets each request; the requests of one connection come in order.
    pub fn new(
        script: impl Fn(&HttpMessage) -> Vec<TimedWrite> + Send + Sync + 'static,
    ) -> TimedEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (request_sender, requests) = channel();
        let connections = Arc::new(AtomicUsize::new(0));
        let accepted = connections.clone();
        let script = Arc::new(script);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let number = accepted.fetch_add(1, Ordering::SeqCst);
                let script = script.clone();
                let requests = request_sender.clone();
                thread::spawn(move || serve(stream.unwrap(), number, &*script, &requests));
            }
        });
        TimedEndpoint {
            address,
            requests,
            connections,
        }
    }
}

/// Reads the requests of one connection. The writes are done by threads, so that the next request can be read meanwhile.
fn serve(
    stream: TcpStream,
    connection: usize,
    script: &(impl Fn(&HttpMessage) -> Vec<TimedWrite> + ?Sized),
    requests: &Sender<HttpMessage>,
) {
    let _ = stream.set_nodelay(true);
    let writer = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader, connection) {
        let read_at = Instant::now();
        for write in script(&request) {
            let writer = writer.try_clone().unwrap();
            thread::spawn(move || perform(write, read_at, writer));
        }
        if requests.send(request).is_err() {
            return;
        }
    }
    let _ = writer.shutdown(Shutdown::Both);
}

fn perform(write: TimedWrite, read_at: Instant, mut stream: TcpStream) {
    let at = read_at + write.delay;
    thread::sleep(at.saturating_duration_since(Instant::now()));
    let is_written = stream.write_all(write.bytes.as_bytes()).is_ok();
    if let Some(when_written) = write.when_written.filter(|_| is_written) {
        when_written();
    }
    match write.then {
        AfterWrite::Nothing => {}
        AfterWrite::Close => drop(stream.shutdown(Shutdown::Both)),
        AfterWrite::Reset => reset(&stream),
    }
}

/// Resets a connection, also while another thread reads from it: dissolving the association of a socket does.
fn reset(stream: &TcpStream) {
    let _ = rustix::net::connect_unspec(stream);
}
