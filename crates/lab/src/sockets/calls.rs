//! What partners do with the calls that have come, and the replies that they write.

use martenlatch_clock::Millis;

use super::event::Event;
use super::peer::Peer;
use super::testbed::{Call, Testbed};
use crate::event_log::{CallFailure, EventKind};
use crate::model::environment::Delivery;
use crate::model::partner::{self, Admission, Answer, Progress, Reply};
use crate::network::Direction;

impl Testbed<'_> {
    /// The last byte of a call has come to its endpoint.
    pub fn call_arrived(&mut self, number: u64) {
        let now = self.now();
        let Some(call) = self.calls.get(&number).copied() else {
            return;
        };
        self.record(EventKind::CallArrived { call: number });
        let Some(delivered) = self.note_arrival(number, &call, now) else {
            return;
        };
        let connections = self.endpoints[call.endpoint as usize].connections;
        if connections > self.experiment.world.connections {
            return self.schedule_reply(number, Reply::Refused(None));
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
            Admission::Running => self.call_runs(number, &call),
            Admission::Queued => {}
        }
    }

    /// Notes that a call of a message may run from now on; the call as its partner sees it.
    fn note_arrival(&mut self, number: u64, call: &Call, now: Millis) -> Option<partner::Call> {
        let message = self.messages.get_mut(&call.message)?;
        message.may_have_run.get_or_insert(now);
        let origin = message.origin;
        let attempt = message.calls - 1;
        let class = self.clients.message(origin).planned.class;
        Some(partner::Call {
            number,
            origin,
            attempt,
            work: self.experiment.work(self.seed, class),
        })
    }

    fn call_runs(&mut self, number: u64, call: &Call) {
        self.record(EventKind::CallExecuted { call: number });
        self.schedule_partner(call.partner);
        if call.reset_when_running {
            self.reset_call(number, call.connection);
        }
    }

    /// Has a partner looked at when its next call is done.
    fn schedule_partner(&mut self, partner: u32) {
        if let Some(at) = self.environment.earlier_completion(partner) {
            self.events.push(at, Event::PartnerDue { partner });
        }
    }

    /// Lets a partner finish what is done, and begin what waited for that.
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
        self.schedule_partner(partner);
    }

    /// Has a reply written once it would have come to its sender.
    fn schedule_reply(&mut self, call: u64, reply: Reply) {
        let way = self.latency(call, Direction::ToSender);
        self.events
            .push(self.now() + way, Event::WriteReply { call, reply });
    }

    /// An endpoint's reply leaves; nothing does where its partner cannot be reached.
    pub fn write_reply(&mut self, number: u64, reply: Reply) {
        let Some(call) = self.calls.get(&number).copied() else {
            return;
        };
        if self.is_partitioned(call.partner) {
            return;
        }
        self.calls.remove(&number);
        if matches!(reply, Reply::Refused(_)) {
            self.note_rejection(call.message);
        }
        let now = self.now();
        let Some(Peer::Endpoint(socket)) = self.peers.get_mut(call.connection) else {
            return;
        };
        socket.call = None;
        socket.idle_since = now;
        let queued = socket.connection.queue(response_text(reply).as_bytes());
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

    /// A message whose only call was rejected has not run.
    fn note_rejection(&mut self, message: u64) {
        if let Some(message) = self.messages.get_mut(&message)
            && message.calls == 1
        {
            message.may_have_run = None;
        }
    }
}

/// A reply as an endpoint writes it.
fn response_text(reply: Reply) -> String {
    match reply {
        Reply::Served => "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".into(),
        Reply::Failed => "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n".into(),
        Reply::Spoilt => "\x01\x02 no answer at all \r\n\r\n".into(),
        Reply::Refused(Some(wait)) => {
            let wait = wait.ceil() as u64;
            format!("HTTP/1.1 429 Wait\r\nX-Backoff-Ms: {wait}\r\nContent-Length: 0\r\n\r\n")
        }
        Reply::Refused(None) => "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n".into(),
    }
}
