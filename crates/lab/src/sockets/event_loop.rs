//! One round of the event loop of a run on sockets: it handles ready sockets, then due events, then senders that have
//! become ready.

use std::time::Duration;

use martenlatch_clock::Millis;

use super::event::Event;
use super::lab_socket::LabSocket;
use super::testbed::Testbed;
use crate::experiment::FailureKind;

/// Time between two samples of open messages and resource usage.
const SAMPLE_INTERVAL: Millis = 100.0;
/// The loop wakes up at least this often, to notice senders that have become ready or ended.
const MAX_POLL_INTERVAL: Millis = 5.0;
/// How long a run continues after the experiment's length, even if no message is open.
const SETTLE_TIME: Millis = 4_000.0;

impl Testbed<'_> {
    /// Schedules the load, the failures and the periodic events of the run.
    pub fn schedule_run(&mut self) {
        if let Some(first) = self.plan.first() {
            self.events
                .push(first.at, Event::SubmitPlannedMessage { planned: 0 });
        }
        for (index, failure) in self.experiment.failures.iter().enumerate() {
            let first = match failure.kind {
                FailureKind::Replace => Event::ReplaceEndpoint {
                    failure: index,
                    replacement_index: 0,
                },
                _ => Event::FailureStarts { failure: index },
            };
            self.events.push(failure.start, first);
            self.events.push(failure.end, Event::FailureEnds);
        }
        self.events.push(0.0, Event::Sample);
        self.schedule_heartbeat(0.0);
    }

    /// Handles the ready sockets, the due events and the senders that have become ready.
    pub fn run_once(&mut self, ready: Vec<usize>) {
        for key in ready {
            self.handle_ready(key);
        }
        self.handle_due_events();
        for sender in 0..self.senders.len() as u32 {
            self.check_ready(sender);
        }
    }

    /// How long the loop may wait for its sockets before the next event is due.
    pub fn until_next_event(&self) -> Duration {
        let wait = self
            .events
            .next_at()
            .map_or(MAX_POLL_INTERVAL, |at| at - self.now());
        Duration::from_secs_f64(wait.clamp(0.0, MAX_POLL_INTERVAL) / 1e3)
    }

    /// Whether the run can end early: `SETTLE_TIME` has passed after the experiment's length, no message or call is
    /// open, and all senders are up.
    pub fn is_settled(&self) -> bool {
        self.now() > self.experiment.length + SETTLE_TIME
            && self.open_messages == 0
            && self.calls.is_empty()
            && self.senders.iter().all(|sender| sender.up)
    }

    fn handle_ready(&mut self, key: usize) {
        match self.sockets.get_mut(key) {
            Some(LabSocket::EndpointListener { endpoint, listener }) => {
                let endpoint = *endpoint;
                let listener = listener.clone();
                self.accept_calls(key, endpoint, &listener);
            }
            Some(LabSocket::AgentListener { sender, listener }) => {
                let sender = *sender;
                let listener = listener.clone();
                self.accept_agent_connections(sender, &listener);
            }
            Some(LabSocket::Endpoint(_)) => self.read_call(key),
            Some(LabSocket::Agent(_)) => self.read_agent_request(key),
            Some(LabSocket::Client(_)) => self.read_client_answer(key),
            None => {}
        }
    }

    /// Handles all listeners of endpoints as if they were ready, to accept connections that were left waiting.
    pub fn recheck_endpoint_listeners(&mut self) {
        let listeners: Vec<usize> = self
            .sockets
            .iter()
            .filter(|(_, socket)| matches!(socket, LabSocket::EndpointListener { .. }))
            .map(|(key, _)| key)
            .collect();
        for key in listeners {
            self.handle_ready(key);
        }
    }

    fn handle_due_events(&mut self) {
        while self.events.next_at().is_some_and(|at| at <= self.now()) {
            let Some(next) = self.events.pop() else {
                break;
            };
            self.max_lateness = self.max_lateness.max(self.now() - next.at);
            self.handle(next.event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::SubmitPlannedMessage { planned } => self.submit_planned_message(planned),
            Event::ResubmitMessage { origin } => self.submit_message(origin),
            Event::ClientTimeout { client, message } => self.client_timed_out(client, message),
            Event::CallArrived { call } => self.call_arrived(call),
            Event::WriteReply { call, reply } => self.write_reply(call, reply),
            Event::AdvancePartner { partner } => self.advance_partner(partner),
            Event::FailureEnds => self.apply_faults(),
            Event::FailureStarts { failure } => self.start_failure(failure),
            Event::ReplaceEndpoint {
                failure,
                replacement_index,
            } => self.replace_endpoint(failure, replacement_index),
            Event::RetireEndpoint { endpoint } => self.retire_endpoint(endpoint),
            Event::NotifySender {
                sender,
                endpoint,
                state,
            } => self.notify_sender(sender, endpoint, state),
            Event::KillSender {
                sender,
                incarnation,
            } => self.kill_if_still_running(sender, incarnation),
            Event::RestartSender { sender } => self.restart_sender(sender),
            Event::Sample => self.sample(),
            Event::Heartbeat => self.send_heartbeat(),
        }
    }

    fn sample(&mut self) {
        let now = self.now();
        self.metrics.record_held(now, self.open_messages);
        if self.sample_senders(now) {
            self.events.push(now + SAMPLE_INTERVAL, Event::Sample);
        }
    }
}
