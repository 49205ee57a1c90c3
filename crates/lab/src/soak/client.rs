//! The clients of a soak: busy clients, which reuse each connection until it ends, and misbehaving clients.

use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use martenlatch_clock::Millis;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::history::{Effect, Event, NoAnswerReason, ProcessEvent};
use super::http::{HttpStream, ReadError};
use super::pids::Pids;
use super::schedule::FaultKind;
use super::world::{Message, POLL_INTERVAL, World};

/// How long a client waits for an answer.
const ANSWER_TIMEOUT: Millis = 400.0;
/// If a request was never read, a reset follows the end of the stream within this time.
const RESET_TIMEOUT: Duration = Duration::from_millis(800);
/// A client that stops in the middle of its request must be answered or disconnected within this time.
const BAD_CLIENT_TIMEOUT: Millis = 3_000.0;
/// Added to [`BAD_CLIENT_TIMEOUT`] for a busy machine.
const BAD_CLIENT_GRACE: Millis = 1_500.0;
/// Timeouts of messages, from submission to deadline.
const TIMEOUTS: [Millis; 3] = [4_000.0, 2_500.0, 1_200.0];
/// Time between two requests of a busy client.
const THINK_TIME: std::ops::Range<Millis> = 0.0..160.0;
/// Pause after a failed connection, and after a crowd.
const CONNECT_PAUSE: Duration = Duration::from_millis(40);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// A misbehaving client also loses an answer once in this many misbehaviours.
const LOST_ANSWER_PERIOD: usize = 3;
/// Timeout of a message whose answer is lost, from submission to deadline.
const LOST_ANSWER_TIMEOUT: Millis = 700.0;
/// Time from the loss of the answer to the second submission, which comes after the deadline.
const LOST_ANSWER_RETRY_DELAY: Millis = 1_000.0;
/// Number of connections of a crowd.
const CROWD_SIZE: usize = 120;

/// Number of busy clients of each sender.
pub const BUSY_CLIENTS: usize = 6;

/// One client.
pub struct Client {
    /// The state that all threads share.
    pub world: Arc<World>,
    /// The senders' processes, of which a client may kill its own sender's immediately after a 202.
    pub pids: Arc<Pids>,
    /// The sender that it submits messages to.
    pub sender: usize,
    /// The address of that sender.
    pub address: SocketAddr,
    /// The client's number among the clients of its sender.
    pub number: usize,
}

impl Client {
    fn rng(&self) -> Pcg64 {
        let client_seed = (self.sender << 8 | self.number) as u64;
        Pcg64::seed_from_u64(self.world.seed.wrapping_mul(0x9E37_79B9) ^ client_seed)
    }

    fn is_stopped(&self) -> bool {
        self.world.clients_stopped.load(Ordering::Relaxed) || self.world.is_stopped()
    }

    fn connect(&self) -> Option<HttpStream> {
        match TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT) {
            Ok(stream) => Some(HttpStream::new(stream)),
            Err(_) => {
                thread::sleep(CONNECT_PAUSE);
                None
            }
        }
    }

    fn new_message(&self, count: usize, rng: &mut Pcg64) -> (Message, Millis) {
        let effects = [Effect::NonIdempotent, Effect::Keyed, Effect::Idempotent];
        let effect = match effects[rng.random_range(0..effects.len())] {
            // For every second message with an idempotency key, the key is valid in one zone only.
            Effect::Keyed if count.is_multiple_of(2) => Effect::KeyedInZone,
            effect => effect,
        };
        let prefix = Message::id_prefix(effect);
        let id = format!("{prefix}{}-{}-{count}", self.sender, self.number);
        let timeout = TIMEOUTS[rng.random_range(0..TIMEOUTS.len())];
        (
            Message::from_id(&id).expect("the id has a known prefix"),
            timeout,
        )
    }

    /// Sends requests over one connection until it ends, then over the next one. Only every second client obeys
    /// `Connection: close`.
    pub fn keep_busy(&self) {
        let mut rng = self.rng();
        let obeys_close = self.number.is_multiple_of(2);
        let mut connection = None;
        let mut count = 0;
        while !self.is_stopped() {
            let Some(mut stream) = connection.take().or_else(|| self.connect()) else {
                continue;
            };
            count += 1;
            let (message, timeout) = self.new_message(count, &mut rng);
            if let Some(closes) = self.exchange(&mut stream, &message, timeout, &mut rng)
                && !(closes && obeys_close)
            {
                connection = Some(stream);
            }
            let pause = rng.random_range(THINK_TIME);
            thread::sleep(Duration::from_secs_f64(pause / 1e3));
        }
    }

    /// Submits a message and reads the answer. Returns whether the answer announces the end of the connection, and
    /// `None` if the connection has ended or the answer is late.
    fn exchange(
        &self,
        stream: &mut HttpStream,
        message: &Message,
        timeout: Millis,
        rng: &mut Pcg64,
    ) -> Option<bool> {
        let text = self.request_text(message, timeout, rng);
        self.exchange_request(stream, message, timeout, &text)
    }

    /// Writes the request of a message and records the submission. Returns its time; `None` if the write fails.
    fn submit(
        &self,
        stream: &mut HttpStream,
        message: &Message,
        timeout: Millis,
        text: &str,
    ) -> Option<Millis> {
        let at = self.world.now();
        self.world.set_deadline(&message.id, at + timeout);
        if !stream.write(text) {
            return None;
        }
        let submitted = Event::Submitted {
            effect: message.effect,
            timeout,
            writing: self.world.now() - at,
        };
        self.world
            .history
            .record_at(at, self.sender, &message.id, submitted);
        Some(at)
    }

    /// Submits a message as a given request text and reads the answer, with the result of [`Client::exchange`].
    fn exchange_request(
        &self,
        stream: &mut HttpStream,
        message: &Message,
        timeout: Millis,
        text: &str,
    ) -> Option<bool> {
        let until = self.submit(stream, message, timeout, text)? + ANSWER_TIMEOUT;
        let answer = stream.read_message(|_| self.world.now() > until);
        let answer = match answer {
            Ok(answer) => answer,
            Err(error) => {
                self.record_unanswered(stream, message, error);
                return None;
            }
        };
        let status = answer.status();
        if status == 202 {
            self.on_accepted();
        }
        self.record(&message.id, Event::Answered { status });
        Some(answer.header("connection") == Some("close"))
    }

    fn request_text(&self, message: &Message, timeout: Millis, rng: &mut Pcg64) -> String {
        let body = message.body();
        let destinations = self.world.size.endpoints / super::world::ENDPOINTS_PER_DESTINATION;
        format!(
            "POST /{} HTTP/1.1\r\nHost: soak\r\nX-Request-ID: {}\r\nX-Timeout: {:.3}\r\nIdempotency-Key: {}\r\n\
             X-Route-To: dest={}\r\nContent-Length: {}\r\n\r\n{body}",
            message.class(),
            message.id,
            timeout / 1e3,
            message.key(),
            rng.random_range(0..destinations),
            body.len()
        )
    }

    /// Counts an accepted message, and kills the sender if that is scheduled for its next 202.
    fn on_accepted(&self) {
        self.world.accepted[self.sender].fetch_add(1, Ordering::Relaxed);
        if let Some(pid) = self.pids.take_kill_target(self.sender) {
            // The process may have ended, and its end may be recorded, before `kill` returns.
            let at = self.world.now();
            if kill(Pid::from_raw(pid), Signal::SIGKILL).is_ok() {
                let event = Event::Process(ProcessEvent::Kill);
                self.world.history.record_at(at, self.sender, "", event);
            }
        }
    }

    fn record(&self, id: &str, event: Event) {
        self.world.history.record(self.sender, id, event);
    }

    fn record_unanswered(&self, stream: &HttpStream, message: &Message, error: ReadError) {
        let at = self.world.now();
        let reason = match error {
            ReadError::Stopped => NoAnswerReason::TimedOut,
            ReadError::Reset => NoAnswerReason::Reset,
            ReadError::Ended if is_reset_within_timeout(&stream.stream) => NoAnswerReason::Reset,
            ReadError::Ended => NoAnswerReason::EndOfStream,
        };
        self.world
            .history
            .record_at(at, self.sender, &message.id, Event::Unanswered(reason));
    }

    /// Misbehaves in different ways: stops in the middle of a request, disconnects after a request, sends two requests
    /// at once, or opens a crowd of connections.
    pub fn misbehave(&self) {
        let mut rng = self.rng();
        let mut count = 0;
        while !self.is_stopped() {
            count += 1;
            if self.has_crowd_fault() {
                self.open_crowd();
                continue;
            }
            let Some(mut stream) = self.connect() else {
                continue;
            };
            let (message, timeout) = self.new_message(count, &mut rng);
            let text = self.request_text(&message, timeout, &mut rng);
            match rng.random_range(0..3) {
                0 => self.stop_in_request(&mut stream, &text, &mut rng),
                1 => _ = stream.write(&text),
                _ => {
                    stream.write(&format!("{text}{text}"));
                    let until = self.world.now() + ANSWER_TIMEOUT;
                    let _ = stream.read_message(|_| self.world.now() > until);
                }
            }
            thread::sleep(Duration::from_millis(rng.random_range(50..600)));
            if count.is_multiple_of(LOST_ANSWER_PERIOD) && !self.is_stopped() {
                self.lose_answer(count, &mut rng);
            }
        }
    }

    /// Submits a message, resets the connection without reading the answer, and submits the message again after its
    /// deadline. A report sent in between is not enough, because no client had received the 202: the sender must report
    /// the message again.
    fn lose_answer(&self, count: usize, rng: &mut Pcg64) {
        let prefix = Message::id_prefix(Effect::NonIdempotent);
        let id = format!("{prefix}{}-{}-{count}-again", self.sender, self.number);
        let message = Message::from_id(&id).expect("the id has a known prefix");
        let text = self.request_text(&message, LOST_ANSWER_TIMEOUT, rng);
        let Some(mut stream) = self.connect() else {
            return;
        };
        if self
            .submit(&mut stream, &message, LOST_ANSWER_TIMEOUT, &text)
            .is_none()
        {
            return;
        }
        thread::sleep(Duration::from_millis(rng.random_range(0..60)));
        stream.reset();
        thread::sleep(Duration::from_secs_f64(LOST_ANSWER_RETRY_DELAY / 1e3));
        if let Some(mut stream) = self.connect() {
            self.exchange_request(&mut stream, &message, LOST_ANSWER_TIMEOUT, &text);
        }
    }

    fn stop_in_request(&self, stream: &mut HttpStream, text: &str, rng: &mut Pcg64) {
        let length = rng.random_range(1..text.len());
        if !stream.write(&text[..length]) {
            return;
        }
        let until = self.world.now() + BAD_CLIENT_TIMEOUT + BAD_CLIENT_GRACE;
        let answer = stream.read_message(|_| self.world.now() > until || self.world.is_stopped());
        if matches!(answer, Err(ReadError::Stopped)) && !self.world.is_stopped() {
            self.record("", Event::BadClientIgnored);
        }
    }

    fn has_crowd_fault(&self) -> bool {
        let now = self.world.now();
        self.world
            .schedule
            .is_active(FaultKind::Crowd, self.sender, now)
    }

    fn open_crowd(&self) {
        let connections: Vec<TcpStream> = (0..CROWD_SIZE)
            .filter_map(|_| TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT).ok())
            .collect();
        while self.has_crowd_fault() && !self.is_stopped() {
            thread::sleep(POLL_INTERVAL);
        }
        drop(connections);
        thread::sleep(CONNECT_PAUSE);
    }
}

/// Waits up to [`RESET_TIMEOUT`] for a reset of the connection and returns whether it came.
fn is_reset_within_timeout(stream: &TcpStream) -> bool {
    let until = Instant::now() + RESET_TIMEOUT;
    while Instant::now() < until {
        if !matches!(stream.take_error(), Ok(None)) {
            return true;
        }
        thread::sleep(POLL_INTERVAL);
    }
    false
}
