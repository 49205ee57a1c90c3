//! Graceful shutdown.
//!
//! SIGKILL follows SIGTERM after 3.7 s at the earliest. Until then, in this order: messages are still accepted; the
//! listener and idle connections are closed; no attempt begins that cannot end in time; open messages are left to the
//! next process; clients without an answer are rejected; the process exits.

use martenlatch_clock::{Millis, nanos};
use martenlatch_policy::interface::Event;
use tracing::info;

use super::driver::Driver;
use super::ingress::NEWCOMER_GRACE;

/// How long after SIGTERM messages are still accepted: clients learn only from their connections that this sender is
/// shutting down.
pub(super) const ACCEPT_UNTIL: Millis = 600.0;
/// When all attempts must have ended, counted from SIGTERM like the instants below. This leaves 400 ms for the steps
/// that follow.
pub(super) const ATTEMPTS_DEADLINE: Millis = 3_300.0;
/// When the process stops waiting for open messages and unconfirmed reports. The results of the last attempts have been
/// read and recorded by then.
const STOP_WAITING_FOR_MESSAGES: Millis = ATTEMPTS_DEADLINE + 100.0;
/// When clients with incomplete requests are rejected. Until then they may complete their requests.
const REJECT_PARTIAL_REQUESTS: Millis = ATTEMPTS_DEADLINE + 200.0;
/// When the process exits even if clients have not read their answers: 100 ms before SIGKILL.
const EXIT_DEADLINE: Millis = ATTEMPTS_DEADLINE + 300.0;

impl Driver {
    /// Starts the shutdown after SIGTERM.
    pub fn begin_shutdown(&mut self) {
        if self.shutdown_started.is_some() {
            return;
        }
        let now = self.clock.now();
        info!(open = self.store.open_count, "ending");
        self.shutdown_started = Some(now);
        self.ingress.shutting_down = true;
        if let Some(peers) = &mut self.peers {
            peers.leave();
        }
        let deadline = nanos(now + ATTEMPTS_DEADLINE);
        self.decision.events.push(Event::ShutdownDeadline(deadline));
    }

    /// Closes the listener and idle connections once messages are no longer accepted. Returns true from then on.
    pub(super) fn stop_ingress_when_due(&mut self, now: Millis) -> bool {
        let accepting_stopped = self
            .shutdown_started
            .is_some_and(|started| now >= started + ACCEPT_UNTIL);
        if accepting_stopped {
            self.stop_ingress(now);
        }
        accepting_stopped
    }

    fn stop_ingress(&mut self, now: Millis) {
        let to_read = self.ingress.stop(now, &mut self.store.counters);
        self.unfinished_sources.extend(to_read);
        self.unfinished_sources
            .extend(self.ingress.take_accepted_ready());
    }

    /// Whether the process may exit: all work is done or the time is up, and no client is left without an answer.
    /// Before it returns true, all clients' connections are closed and the last results are processed.
    pub(super) fn may_exit(&mut self, now: Millis) -> bool {
        let Some(started) = self.shutdown_started else {
            return false;
        };
        if now < started + ACCEPT_UNTIL {
            return false;
        }
        if !self.is_idle() && now < started + STOP_WAITING_FOR_MESSAGES {
            return false;
        }
        self.stop_ingress(now);
        if now >= started + REJECT_PARTIAL_REQUESTS {
            self.ingress.reject_partial_requests(now);
        }
        if self.has_unanswered_clients(now) && now < started + EXIT_DEADLINE {
            return false;
        }
        self.ingress.close_all();
        self.egress.read_final_responses(now);
        self.process_attempt_results(now);
        true
    }

    /// Whether no message is open, no attempt in flight and every status report confirmed.
    fn is_idle(&self) -> bool {
        self.egress.active_attempts() == 0
            && self.status_reporter.is_done()
            && self.store.open_count == 0
            && self.store.unsettled_count() == 0
    }

    /// Whether any client is waiting for an answer, or has just connected and is about to send its request.
    fn has_unanswered_clients(&self, now: Millis) -> bool {
        self.ingress.clients.iter().any(|(_, client)| {
            let is_newcomer =
                !client.has_sent_request && now < client.phase_started + NEWCOMER_GRACE;
            client.has_pending_answer() || (is_newcomer && !client.closing)
        })
    }
}
