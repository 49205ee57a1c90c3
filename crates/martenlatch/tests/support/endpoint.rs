//! Scripted endpoints of a partner, and the endpoint lists that contain them.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;

use super::TEST_TIMEOUT;
use super::http::{HttpMessage, Reply, read_message};

/// An endpoint whose replies come from a script. The script gets each request with its number, which counts the
/// requests of all connections from 0.
pub struct Endpoint {
    pub address: SocketAddr,
    requests: Receiver<HttpMessage>,
    /// The numbers of the connections that the sender has closed.
    pub closed_connections: Receiver<usize>,
}

impl Endpoint {
    pub fn new(script: impl Fn(usize, &HttpMessage) -> Reply + Send + Sync + 'static) -> Endpoint {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (request_sender, requests) = channel();
        let (closed_sender, closed_connections) = channel();
        let script = Arc::new(script);
        let request_count = Arc::new(AtomicUsize::new(0));
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let stream = stream.unwrap();
                let script = script.clone();
                let request_count = request_count.clone();
                let request_sender = request_sender.clone();
                let closed_sender = closed_sender.clone();
                thread::spawn(move || {
                    if serve(
                        stream,
                        connection,
                        &*script,
                        &request_count,
                        &request_sender,
                    ) {
                        let _ = closed_sender.send(connection);
                    }
                });
            }
        });
        Endpoint {
            address,
            requests,
            closed_connections,
        }
    }

    /// Waits for the next request.
    pub fn next_request(&self) -> HttpMessage {
        self.requests
            .recv_timeout(TEST_TIMEOUT)
            .expect("no request arrived")
    }

    /// Takes the requests that have arrived since the last call, without waiting.
    pub fn take_new_requests(&self) -> Vec<HttpMessage> {
        self.requests.try_iter().collect()
    }

    /// Like [`Endpoint::take_new_requests`], but returns only the number of requests.
    pub fn count_new_requests(&self) -> usize {
        self.requests.try_iter().count()
    }
}

/// Replies to the requests of one connection. Returns whether the sender closed it.
fn serve(
    stream: TcpStream,
    connection: usize,
    script: &(impl Fn(usize, &HttpMessage) -> Reply + ?Sized),
    request_count: &AtomicUsize,
    requests: &Sender<HttpMessage>,
) -> bool {
    let mut stream = BufReader::new(stream);
    while let Some(request) = read_message(&mut stream, connection) {
        let number = request_count.fetch_add(1, Ordering::SeqCst);
        let reply = script(number, &request);
        // The test sees a request only after the response has been written or the connection has been closed.
        let _ = stream.get_mut().write_all(reply.bytes.as_bytes());
        if reply.close {
            let _ = stream.get_ref().shutdown(Shutdown::Both);
        }
        let _ = requests.send(request);
        if reply.close {
            return false;
        }
    }
    true
}

/// One entry of an endpoint list.
pub fn endpoint_entry(uid: &str, address: SocketAddr, state: &str) -> String {
    entry(7, uid, address, state, 20.0)
}

/// The entry of an endpoint of another destination, which is in service and takes many requests.
pub fn endpoint_entry_of(destination: u64, uid: &str, address: SocketAddr) -> String {
    entry(destination, uid, address, "in_service", 200.0)
}

fn entry(destination: u64, uid: &str, address: SocketAddr, state: &str, capacity: f64) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"a","model":"k","pod_group":{destination},"state":"{state}","capacity_hint":{capacity:.1},"boot_ms":0}}"#
    )
}

/// An endpoint list with a revision: either all endpoints or only the changed ones.
pub fn endpoint_list(revision: u64, complete: bool, entries: &[String]) -> String {
    format!(
        r#"{{"rev":{revision},"all":{complete},"targets":[{}]}}"#,
        entries.join(",")
    )
}

/// An endpoint, and an endpoint list that contains only this endpoint.
pub fn endpoint_and_list(
    script: impl Fn(usize, &HttpMessage) -> Reply + Send + Sync + 'static,
) -> (Endpoint, String) {
    let endpoint = Endpoint::new(script);
    let entry = endpoint_entry("s-1", endpoint.address, "in_service");
    let list = endpoint_list(1, true, &[entry]);
    (endpoint, list)
}

/// Delays replies until the test opens it.
#[derive(Clone, Default)]
pub struct ReplyGate(Arc<ReplyGateState>);

#[derive(Default)]
struct ReplyGateState {
    is_open: Mutex<bool>,
    opened: Condvar,
}

impl ReplyGate {
    /// Releases all current and later waiters.
    pub fn open(&self) {
        *self.0.is_open.lock().unwrap() = true;
        self.0.opened.notify_all();
    }

    /// Waits until the gate is open.
    pub fn wait_until_open(&self) {
        let is_open = self.0.is_open.lock().unwrap();
        let waited = self
            .0
            .opened
            .wait_timeout_while(is_open, TEST_TIMEOUT, |is_open| !*is_open);
        drop(waited.unwrap());
    }
}
