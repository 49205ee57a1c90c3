//! How partners handle calls and write their replies. A call is one attempt of a sender to deliver a message, as the
//! called partner sees it.

use martenlatch_clock::Millis;

use super::event::Event;
use super::lab_socket::LabSocket;
use super::testbed::{Call, Testbed};
use crate::event_log::{CallFailure, EventKind};
use crate::model::environment::Delivery;
use crate::model::partner::{self, Admission, Answer, Progress, Reply};
use crate::network::Direction;

impl Testbed<'_> {
    /// Handles a call whose last byte has reached its endpoint.
    pub fn call_arrived(&mut self, number: u64) {
        let now = self.now();
        let Some(call) = self.calls.get(&number).copied() else {
            return;
        };
        self.record(EventKind::CallArrived { call: number });
        let Some(delivered) = self.register_arrival(number, &call, now) else {
            return;
        };
        let connections = self.endpoints[call.endpoint as usize].connections;
        if connections > self.experiment.world.connections_per_endpoint {
            return self.schedule_reply(number, Reply::Rejected(None));
        }
        let Delivery {
            admission,
            collapsed,
        } = self.environment.deliver(call.endpoint, delivered, now);
        if collapsed {
            self.record(EventKind::Collapsed {
                partner: call.partner,
            });
        }
        match admission {
            Admission::Answered(reply) => self.schedule_reply(number, reply),
            Admission::Running => self.run_call(number, &call),
            Admission::Queued => {}
        }
    }

    /// Records that a message may have run from now on, and returns its call in the form that the partner model takes.
    fn register_arrival(&mut self, number: u64, call: &Call, now: Millis) -> Option<partner::Call> {
        let message = self.messages.get_mut(&call.message)?;
        message.may_have_run.get_or_insert(now);
        let origin = message.origin;
        let attempt = message.calls - 1;
        let class = self.clients.message(origin).planned.class;
        Some(partner::Call {
            number,
            origin,
            attempt,
            work: self.experiment.work_distribution(self.seed, class),
        })
    }

    /// Records that a call runs, and resets its connection if the call is to be reset.
    fn run_call(&mut self, number: u64, call: &Call) {
        self.record(EventKind::CallExecuted { call: number });
        self.schedule_next_completion(call.partner);
        if call.reset_when_running {
            self.reset_call(number, call.connection);
        }
    }

    /// Schedules the completion of a partner's next call, if it is earlier than the completion already scheduled.
    fn schedule_next_completion(&mut self, partner: u32) {
        if let Some(at) = self.environment.earlier_completion(partner) {
            self.events.push(at, Event::AdvancePartner { partner });
        }
    }

    /// Replies to the calls that a partner has completed, and starts queued ones in their place.
    pub fn advance_partner(&mut self, partner: u32) {
        let Progress { answers, started } = self.environment.advance(partner, self.now());
        for Answer { call, reply } in answers {
            if self.calls.contains_key(&call) {
                self.schedule_reply(call, reply);
            }
        }
        for call in started {
            if self.calls.contains_key(&call) {
                self.record(EventKind::CallExecuted { call });
            }
        }
        self.schedule_next_completion(partner);
    }

    /// Schedules a reply to be written when it would reach its sender, one network latency from now.
    fn schedule_reply(&mut self, call: u64, reply: Reply) {
        let latency = self.latency(call, Direction::ToSender);
        self.events
            .push(self.now() + latency, Event::WriteReply { call, reply });
    }

    /// Writes an endpoint's reply, unless its partner is unreachable.
    pub fn write_reply(&mut self, number: u64, reply: Reply) {
        let Some(call) = self.calls.get(&number).copied() else {
            return;
        };
        if self.is_partitioned(call.partner) {
            return;
        }
        self.calls.remove(&number);
        if matches!(reply, Reply::Rejected(_)) {
            self.note_rejection(call.message);
        }
        let now = self.now();
        let Some(LabSocket::Endpoint(socket)) = self.sockets.get_mut(call.connection) else {
            return;
        };
        socket.call = None;
        socket.idle_since = now;
        let queued = socket
            .connection
            .queue(response_text(number, reply).as_bytes());
        socket.connection.flush();
        if !queued || socket.connection.broken {
            let cause = CallFailure::Cancelled;
            return self.record(EventKind::CallFailed {
                call: number,
                cause,
            });
        }
        self.record(EventKind::CallAnswered {
            call: number,
            reply,
        });
        if reply == Reply::Served {
            self.finish_message(call.message);
        }
    }

    /// Clears the mark that a message may have run if its only call was rejected.
    fn note_rejection(&mut self, message: u64) {
        if let Some(message) = self.messages.get_mut(&message)
            && message.calls == 1
        {
            message.may_have_run = None;
        }
    }
}

/// The HTTP response for the reply to a call. Each names its call, so that no response can be taken for a repeated one.
fn response_text(call: u64, reply: Reply) -> String {
    let end = format!("X-Call: {call}\r\nContent-Length: 0\r\n\r\n");
    match reply {
        Reply::Served => format!("HTTP/1.1 200 OK\r\n{end}"),
        Reply::Failed => format!("HTTP/1.1 500 Error\r\n{end}"),
        Reply::Malformed => "\x01\x02 no answer at all \r\n\r\n".into(),
        Reply::Rejected(Some(backoff)) => {
            let backoff_ms = backoff.ceil() as u64;
            format!("HTTP/1.1 429 Wait\r\nX-Backoff-Ms: {backoff_ms}\r\n{end}")
        }
        Reply::Rejected(None) => format!("HTTP/1.1 503 Full\r\n{end}"),
    }
}
