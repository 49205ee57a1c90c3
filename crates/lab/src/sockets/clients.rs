//! The clients: they submit messages to senders, wait for the answers and resubmit messages that were not accepted.

use martenlatch_clock::Millis;
use martenlatch_http::{self as http, Response};

use super::Connection;
use super::event::{Event, SubmissionFailure};
use super::lab_socket::{ClientConnection, LabSocket, is_closed};
use super::testbed::{SubmittedMessage, Testbed};
use crate::clients::{ClientMessage, SenderChoice};
use crate::event_log::EventKind;
use crate::experiment::Effect;

/// How long a client waits for the answer to a message that it submitted.
const ANSWER_TIMEOUT: Millis = 400.0;
/// The padding of a message body is shorter than this number of bytes.
const PADDING_SIZES: u64 = 300;
const FIRST_FINAL_STATUS: u16 = 200;
const ACCEPTED_STATUSES: [u16; 2] = [200, 202];

/// The body of a message. It contains the message's number, so that a body sent for another message is detected.
pub(super) fn body_of(message: u64) -> String {
    let padding = "x".repeat((message % PADDING_SIZES) as usize);
    format!("message {message} {padding}")
}

/// The message number in an `x-request-id` or a status report, such as 7 in `m7`.
pub(super) fn message_number(request_id: &str) -> Option<u64> {
    request_id.strip_prefix('m')?.parse().ok()
}

impl Testbed<'_> {
    /// Submits a message of the plan for the first time, and schedules the next one.
    pub fn submit_planned_message(&mut self, planned: usize) {
        let origin = self.clients.register(self.plan[planned]);
        self.submit_message(origin);
        let planned = planned + 1;
        if let Some(next) = self.plan.get(planned) {
            self.events
                .push(next.at, Event::SubmitPlannedMessage { planned });
        }
    }

    /// Submits a message to one of the senders that are up.
    pub fn submit_message(&mut self, origin: u64) {
        let now = self.now();
        let deadline = self.clients.message(origin).deadline;
        let up = self.senders_up();
        let chosen = self.clients.choose_sender(origin, &up);
        let Some(SenderChoice { sender, .. }) = chosen.filter(|_| now < deadline) else {
            return self.schedule_retry(origin, SubmissionFailure::Unanswered);
        };
        let message = self.next_message_id;
        self.next_message_id += 1;
        let request = self.request_text(origin, message, now);
        let Some(client) = self.client_connection(sender) else {
            return self.schedule_retry(origin, SubmissionFailure::Unanswered);
        };
        self.add_message(message, origin, sender);
        if let Some(LabSocket::Client(client)) = self.sockets.get_mut(client) {
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

    /// The request that submits a message.
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
        let submitted = SubmittedMessage {
            origin,
            sender,
            calls: 0,
            may_have_run: None,
            finished: false,
        };
        self.messages.insert(message, submitted);
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

    /// The key of an idle connection to a sender, or of a new one; `None` if no connection can be opened.
    fn client_connection(&mut self, sender: u32) -> Option<usize> {
        while let Some(key) = self.senders[sender as usize].idle_clients.pop() {
            if let Some(LabSocket::Client(client)) = self.sockets.get_mut(key)
                && client.sender == sender
                && client.message.is_none()
            {
                let connection = &mut client.connection;
                connection.receive();
                if !is_closed(connection) && connection.bytes().is_empty() {
                    return Some(key);
                }
                self.sockets.remove(key);
            }
        }
        let address = self.senders[sender as usize].process.address;
        let key = self.sockets.vacant_key();
        let connection = Connection::connect(address, &self.handle, &self.buffers, key).ok()?;
        Some(self.sockets.insert(LabSocket::Client(ClientConnection {
            sender,
            connection,
            message: None,
        })))
    }

    /// Reads what a sender wrote on a client's connection, and handles a complete answer or the end of the connection.
    pub fn read_client_answer(&mut self, key: usize) {
        let Some(LabSocket::Client(client)) = self.sockets.get_mut(key) else {
            return;
        };
        client.connection.flush();
        client.connection.receive();
        let answer = http::parse_response(client.connection.bytes());
        let closed = is_closed(&client.connection);
        let Some(message) = client.message else {
            if closed {
                self.sockets.remove(key);
            }
            return;
        };
        match answer {
            Ok(Some(answer)) if answer.status >= FIRST_FINAL_STATUS => {
                self.client_answered(key, message, &answer);
            }
            Ok(_) if !closed => {}
            _ => {
                self.sockets.remove(key);
                self.message_not_accepted(message, SubmissionFailure::Unanswered);
            }
        }
    }

    fn client_answered(&mut self, key: usize, message: u64, answer: &Response) {
        if let Some(LabSocket::Client(client)) = self.sockets.get_mut(key) {
            client.connection.consume(answer.consumed);
            client.message = None;
            if answer.keep_alive {
                self.senders[client.sender as usize].idle_clients.push(key);
            } else {
                self.sockets.remove(key);
            }
        }
        self.record(EventKind::ClientAnswered {
            id: message,
            status: answer.status,
        });
        if !ACCEPTED_STATUSES.contains(&answer.status) {
            let retry_after = retry_after(answer);
            self.message_not_accepted(message, SubmissionFailure::Rejected { retry_after });
        }
    }

    /// Gives up the wait for a sender's answer, if it is still missing.
    pub fn client_timed_out(&mut self, key: usize, message: u64) {
        let still_waiting = matches!(
            self.sockets.get(key),
            Some(LabSocket::Client(client)) if client.message == Some(message)
        );
        if still_waiting {
            self.sockets.remove(key);
            self.message_not_accepted(message, SubmissionFailure::Unanswered);
        }
    }

    fn message_not_accepted(&mut self, message: u64, failure: SubmissionFailure) {
        let Some(submitted) = self.messages.get(&message) else {
            return;
        };
        let origin = submitted.origin;
        self.finish_message(message);
        // A message without an answer may have been accepted, so only an idempotent one is resubmitted.
        let may_be_accepted = failure == SubmissionFailure::Unanswered;
        if !may_be_accepted || self.clients.effect(origin) != Effect::Unsafe {
            self.schedule_retry(origin, failure);
        }
    }

    /// Schedules a message to be resubmitted after a pause, if its client still retries it.
    pub fn schedule_retry(&mut self, origin: u64, failure: SubmissionFailure) {
        let now = self.now();
        let at = match failure {
            SubmissionFailure::Rejected { retry_after } => {
                self.clients.retry_at(origin, retry_after, true, now)
            }
            SubmissionFailure::Unanswered => self.clients.retry_at(origin, None, false, now),
        };
        if let Some(at) = at {
            self.events.push(at, Event::ResubmitMessage { origin });
        }
    }
}

/// The value of an answer's Retry-After header, converted to milliseconds.
fn retry_after(answer: &Response) -> Option<Millis> {
    let seconds: f64 = answer.header("retry-after")?.parse().ok()?;
    Some(seconds * 1e3)
}
