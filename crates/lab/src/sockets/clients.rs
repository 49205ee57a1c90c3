//! The clients: they hand messages in to senders, wait for the answers and hand in again what was not accepted.

use martenlatch_clock::Millis;
use martenlatch_http::{self as http, Response};

use super::Connection;
use super::event::{Event, HandInFailure};
use super::peer::{ClientConnection, Peer, is_closed};
use super::testbed::{SubmittedMessage, Testbed};
use crate::clients::{ClientMessage, HandIn};
use crate::event_log::EventKind;
use crate::experiment::Effect;

/// A client waits so long for the answer to a message that it handed in.
const ANSWER_TIMEOUT: Millis = 400.0;
/// Bodies of messages have up to so many bytes of padding.
const PADDING_SIZES: u64 = 300;
const FIRST_FINAL_STATUS: u16 = 200;
const ACCEPTED_STATUSES: [u16; 2] = [200, 202];

/// The bytes that a message carries: its own, so that a mix-up would show.
pub(super) fn body_of(message: u64) -> String {
    let padding = "x".repeat((message % PADDING_SIZES) as usize);
    format!("message {message} {padding}")
}

/// The number of a message from its name.
pub(super) fn message_number(name: &str) -> Option<u64> {
    name.strip_prefix('m')?.parse().ok()
}

impl Testbed<'_> {
    /// A message of the plan comes for the first time.
    pub fn next_message(&mut self, planned: usize) {
        let origin = self.clients.register(self.plan[planned]);
        self.hand_in(origin);
        let planned = planned + 1;
        if let Some(next) = self.plan.get(planned) {
            self.events.push(next.at, Event::NextMessage { planned });
        }
    }

    /// A client hands a message in to one of the senders that are up.
    pub fn hand_in(&mut self, origin: u64) {
        let now = self.now();
        let deadline = self.clients.message(origin).deadline;
        let up = self.senders_up();
        let chosen = self.clients.choose_sender(origin, &up);
        let Some(HandIn { sender, .. }) = chosen.filter(|_| now < deadline) else {
            return self.schedule_retry(origin, HandInFailure::Unanswered);
        };
        let message = self.next_message;
        self.next_message += 1;
        let request = self.request_text(origin, message, now);
        let Some(client) = self.client_connection(sender) else {
            return self.schedule_retry(origin, HandInFailure::Unanswered);
        };
        self.add_message(message, origin, sender);
        if let Some(Peer::Client(client)) = self.peers.get_mut(client) {
            client.message = Some(message);
            client.connection.queue(request.as_bytes());
            client.connection.flush();
        }
        let timeout = Event::ClientTimeout { client, message };
        self.events.push(now + ANSWER_TIMEOUT, timeout);
    }

    fn senders_up(&self) -> Vec<u32> {
        (0..self.senders.len() as u32)
            .filter(|sender| self.senders[*sender as usize].up)
            .collect()
    }

    /// The request that hands a message in.
    fn request_text(&self, origin: u64, message: u64, now: Millis) -> String {
        let ClientMessage {
            planned, deadline, ..
        } = *self.clients.message(origin);
        let class = &self.experiment.world.classes[planned.class as usize];
        let key = if class.effect == Effect::Keyed {
            format!("Idempotency-Key: k{origin}\r\n")
        } else {
            String::new()
        };
        let body = body_of(message);
        format!(
            "POST /{} HTTP/1.1\r\nHost: lab\r\nX-Request-ID: m{message}\r\nX-Timeout: {:.3}\r\n{key}X-Route-To: dest={}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            class.name,
            (deadline - now) / 1e3,
            planned.partner,
            body.len()
        )
    }

    fn add_message(&mut self, message: u64, origin: u64, sender: u32) {
        let ClientMessage {
            planned, deadline, ..
        } = *self.clients.message(origin);
        let handed_in = SubmittedMessage {
            origin,
            sender,
            calls: 0,
            may_have_run: None,
            finished: false,
        };
        self.messages.insert(message, handed_in);
        self.open_messages += 1;
        self.record(EventKind::Submitted {
            origin,
            id: message,
            sender,
            class: planned.class,
            partner: planned.partner,
            first: planned.at,
            deadline,
            key: None,
        });
    }

    /// An idle connection to a sender, or a new one.
    fn client_connection(&mut self, sender: u32) -> Option<usize> {
        while let Some(key) = self.senders[sender as usize].idle_clients.pop() {
            if let Some(Peer::Client(client)) = self.peers.get_mut(key)
                && client.sender == sender
                && client.message.is_none()
            {
                let connection = &mut client.connection;
                connection.receive();
                if !is_closed(connection) && connection.bytes().is_empty() {
                    return Some(key);
                }
                self.peers.remove(key);
            }
        }
        let address = self.senders[sender as usize].process.address;
        let key = self.peers.vacant_key();
        let connection = Connection::connect(address, &self.handle, &self.buffers, key).ok()?;
        Some(self.peers.insert(Peer::Client(ClientConnection {
            sender,
            connection,
            message: None,
        })))
    }

    /// Reads a sender's answer to a client.
    pub fn read_client_answer(&mut self, key: usize) {
        let Some(Peer::Client(client)) = self.peers.get_mut(key) else {
            return;
        };
        client.connection.flush();
        client.connection.receive();
        let answer = http::parse_response(client.connection.bytes());
        let closed = is_closed(&client.connection);
        let Some(message) = client.message else {
            if closed {
                self.peers.remove(key);
            }
            return;
        };
        match answer {
            Ok(Some(answer)) if answer.status >= FIRST_FINAL_STATUS => {
                self.client_answered(key, message, &answer);
            }
            Ok(_) if !closed => {}
            _ => {
                self.peers.remove(key);
                self.message_not_accepted(message, HandInFailure::Unanswered);
            }
        }
    }

    fn client_answered(&mut self, key: usize, message: u64, answer: &Response) {
        if let Some(Peer::Client(client)) = self.peers.get_mut(key) {
            client.connection.consume(answer.consumed);
            client.message = None;
            if answer.keep_alive {
                self.senders[client.sender as usize].idle_clients.push(key);
            } else {
                self.peers.remove(key);
            }
        }
        self.record(EventKind::ClientAnswered {
            id: message,
            status: answer.status,
        });
        if !ACCEPTED_STATUSES.contains(&answer.status) {
            let retry_after = retry_after(answer);
            self.message_not_accepted(message, HandInFailure::Rejected { retry_after });
        }
    }

    /// A client has waited long enough for a sender's answer.
    pub fn client_timed_out(&mut self, key: usize, message: u64) {
        let waits = matches!(
            self.peers.get(key),
            Some(Peer::Client(client)) if client.message == Some(message)
        );
        if waits {
            self.peers.remove(key);
            self.message_not_accepted(message, HandInFailure::Unanswered);
        }
    }

    fn message_not_accepted(&mut self, message: u64, failure: HandInFailure) {
        let Some(handed_in) = self.messages.get(&message) else {
            return;
        };
        let origin = handed_in.origin;
        self.finish_message(message);
        // A message without an answer may have been accepted: only an idempotent one is handed in again.
        let may_be_accepted = failure == HandInFailure::Unanswered;
        if !may_be_accepted || self.clients.effect(origin) != Effect::Unsafe {
            self.schedule_retry(origin, failure);
        }
    }

    /// Has a message handed in again after a pause, if its client still wants that.
    pub fn schedule_retry(&mut self, origin: u64, failure: HandInFailure) {
        let now = self.now();
        let at = match failure {
            HandInFailure::Rejected { retry_after } => {
                self.clients.retry_at(origin, retry_after, true, now)
            }
            HandInFailure::Unanswered => self.clients.retry_at(origin, None, false, now),
        };
        if let Some(at) = at {
            self.events.push(at, Event::HandInAgain { origin });
        }
    }
}

/// The Retry-After of an answer, in milliseconds.
fn retry_after(answer: &Response) -> Option<Millis> {
    let seconds: f64 = answer.header("retry-after")?.parse().ok()?;
    Some(seconds * 1e3)
}
