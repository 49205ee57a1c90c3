//! Clients of a simulated run: they submit messages, receive answers and status reports, and retry.

use martenlatch_clock::{Millis, nanos};
use martenlatch_policy::interface::{ClassId, DestinationId, Event, MessageId};

use super::CLOCK_ORIGIN;
use super::event::{SimEvent, StatusReport};
use super::lifecycle::OVERDUE_AFTER;
use super::sender::HeldMessage;
use super::simulation::Simulation;
use crate::event_log::EventKind;

/// The Retry-After of a sender that rejects a message.
const REJECTION_RETRY_AFTER: Millis = 1_000.0;
const ACCEPTED: u16 = 202;
const UNAVAILABLE: u16 = 503;

impl Simulation<'_> {
    /// Submits a client's message through a load balancer in front of the senders that are up.
    pub(super) fn submit(&mut self, origin: u64) {
        let up: Vec<u32> = (0..self.senders.len() as u32)
            .filter(|sender| self.senders[*sender as usize].is_up())
            .collect();
        match self.clients.choose_sender(origin, &up) {
            Some(chosen) => {
                let sender = chosen.sender;
                let at = self.now + chosen.latency;
                self.schedule(at, SimEvent::MessageAtSender { origin, sender });
            }
            // No sender is up: the connection is refused, and the client retries.
            None => self.retry_unreached(origin),
        }
    }

    /// Schedules the retry of a message that has reached no sender.
    fn retry_unreached(&mut self, origin: u64) {
        self.schedule_client_retry(origin, None, false);
    }

    fn schedule_client_retry(
        &mut self,
        origin: u64,
        retry_after: Option<Millis>,
        reached_sender: bool,
    ) {
        let retry_at = self
            .clients
            .retry_at(origin, retry_after, reached_sender, self.now);
        if let Some(at) = retry_at {
            self.schedule(at, SimEvent::ClientRetry { origin });
        }
    }

    /// Lets a sender accept or reject a message that has arrived there.
    pub(super) fn message_at_sender(&mut self, origin: u64, sender: u32) {
        if !self.senders[sender as usize].is_up() {
            return self.retry_unreached(origin);
        }
        let message = *self.clients.message(origin);
        let id = self.next_message;
        self.next_message += 1;
        self.record(EventKind::Submitted {
            origin,
            id,
            sender,
            class: message.planned.class,
            partner: message.planned.partner,
            first: message.planned.at,
            deadline: message.deadline,
            key: None,
        });
        if self.rejects_messages(sender) {
            let status = UNAVAILABLE;
            self.record(EventKind::ClientAnswered { id, status });
            return self.schedule_client_retry(origin, Some(REJECTION_RETRY_AFTER), true);
        }
        let deadline = message.deadline;
        let accepting = &mut self.senders[sender as usize];
        accepting.open_messages += 1;
        accepting
            .held
            .insert(id, HeldMessage::new(origin, deadline));
        let status = ACCEPTED;
        self.record(EventKind::ClientAnswered { id, status });
        let overdue = SimEvent::MessageOverdue { sender, id };
        self.schedule(deadline + OVERDUE_AFTER, overdue);
        let accepted = Event::MessageAccepted {
            id: MessageId(id),
            destination: DestinationId(message.planned.partner.into()),
            class: ClassId(message.planned.class as usize),
            deadline: nanos(CLOCK_ORIGIN + deadline),
            key: None,
        };
        self.notify(sender, accepted);
    }

    /// Whether a sender rejects messages: it shuts down, cannot record them, or holds too many.
    fn rejects_messages(&self, sender: u32) -> bool {
        let sender = &self.senders[sender as usize];
        sender.is_draining(self.now)
            || self.environment.faults.disk_full(self.now)
            || sender.open_messages >= self.settings.max_open_messages
    }

    /// Handles a status report that has arrived at the platform, which passes it on to the client.
    pub(super) fn status_report(&mut self, report: StatusReport) {
        let StatusReport {
            sender,
            id,
            deferred,
            retry_after,
        } = report;
        self.record(EventKind::StatusReport {
            sender,
            id,
            deferred,
            retry_after,
        });
        let Some(message) = self.senders[sender as usize].held.get(&id) else {
            return;
        };
        let origin = message.origin;
        if let Some(sent_at) = message.may_have_run_since() {
            self.clients.may_have_run(origin, sent_at);
        }
        self.senders[sender as usize].remove_if_finished(id);
        if deferred {
            self.schedule_client_retry(origin, retry_after, true);
        }
    }
}
