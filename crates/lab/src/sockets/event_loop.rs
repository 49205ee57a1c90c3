//! One round of the event loop of a run on sockets: sockets that are ready, then events that are due, then senders that
//! have come up.

use std::time::Duration;

use martenlatch_clock::Millis;

use super::event::Event;
use super::peer::Peer;
use super::testbed::Testbed;
use crate::experiment::What as FailureKind;

/// What is held and used is measured so often.
const SAMPLE_INTERVAL: Millis = 100.0;
/// A sender's start and end are looked for at least this often.
const LONGEST_WAIT: Millis = 5.0;
/// A run in which nothing is open any more still goes on for so long after its length.
const SETTLE_TIME: Millis = 4_000.0;

impl Testbed<'_> {
    /// Schedules the load, the failures and the periodic events of the run.
    pub fn schedule_run(&mut self) {
        if let Some(first) = self.plan.first() {
            self.events
                .push(first.at, Event::NextMessage { planned: 0 });
        }
        for (failure, told) in self.experiment.failures.iter().enumerate() {
            let first = match told.what {
                FailureKind::Replace => Event::ReplaceEndpoint { failure, turn: 0 },
                _ => Event::FailureStarts { failure },
            };
            self.events.push(told.start, first);
            self.events.push(told.end, Event::FaultBoundary);
        }
        self.events.push(0.0, Event::Sample);
        self.schedule_heartbeat(0.0);
    }

    /// Handles what is ready and what is due.
    pub fn run_once(&mut self, ready: Vec<usize>) {
        for key in ready {
            self.handle_ready(key);
        }
        self.handle_due_events();
        for sender in 0..self.senders.len() as u32 {
            self.check_started(sender);
        }
    }

    /// How long the sockets may be waited for.
    pub fn until_next_event(&self) -> Duration {
        let wait = self
            .events
            .next_at()
            .map_or(LONGEST_WAIT, |at| at - self.now());
        Duration::from_secs_f64(wait.clamp(0.0, LONGEST_WAIT) / 1e3)
    }

    /// Whether nothing is open any more, so that the rest of the time would only be waited out.
    pub fn is_settled(&self) -> bool {
        self.now() > self.experiment.length + SETTLE_TIME
            && self.open_messages == 0
            && self.calls.is_empty()
            && self.senders.iter().all(|sender| sender.up)
    }

    fn handle_ready(&mut self, key: usize) {
        match self.peers.get_mut(key) {
            Some(Peer::EndpointListener { endpoint, listener }) => {
                let endpoint = *endpoint;
                let listener = listener.clone();
                self.accept_calls(key, endpoint, &listener);
            }
            Some(Peer::AgentListener { sender, listener }) => {
                let sender = *sender;
                let listener = listener.clone();
                self.accept_agent_connections(sender, &listener);
            }
            Some(Peer::Endpoint(_)) => self.read_call(key),
            Some(Peer::Agent(_)) => self.read_agent_request(key),
            Some(Peer::Client(_)) => self.read_client_answer(key),
            None => {}
        }
    }

    /// Has the listener of an endpoint looked at as if a connection had come.
    pub fn recheck_endpoint_listeners(&mut self) {
        let listeners: Vec<usize> = self
            .peers
            .iter()
            .filter(|(_, peer)| matches!(peer, Peer::EndpointListener { .. }))
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
            self.late = self.late.max(self.now() - next.at);
            self.handle(next.event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::NextMessage { planned } => self.next_message(planned),
            Event::HandInAgain { origin } => self.hand_in(origin),
            Event::ClientTimeout { client, message } => self.client_timed_out(client, message),
            Event::CallArrived { call } => self.call_arrived(call),
            Event::WriteReply { call, reply } => self.write_reply(call, reply),
            Event::PartnerDue { partner } => self.advance_partner(partner),
            Event::FaultBoundary => self.apply_faults(),
            Event::FailureStarts { failure } => self.start_failure(failure),
            Event::ReplaceEndpoint { failure, turn } => self.replace_endpoint(failure, turn),
            Event::RetireEndpoint { endpoint } => self.retire_endpoint(endpoint),
            Event::NotifySender {
                sender,
                endpoint,
                state,
            } => self.notify_sender(sender, endpoint, state),
            Event::KillSender {
                sender,
                incarnation,
            } => self.kill_if_still_ending(sender, incarnation),
            Event::RestartSender { sender } => self.restart_sender(sender),
            Event::Sample => self.sample(),
            Event::Heartbeat => self.send_heartbeat(),
        }
    }

    fn sample(&mut self) {
        let now = self.now();
        self.metrics.record_held(now, self.open_messages);
        if self.measure_senders(now) {
            self.events.push(now + SAMPLE_INTERVAL, Event::Sample);
        }
    }
}
