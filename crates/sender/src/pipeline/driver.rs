//! The driver: owns the stages of the pipeline and runs each of them once per round of the event loop.

use std::net::SocketAddr;

use martenlatch_clock::{Clock, Millis};
use martenlatch_http::buffer_pool::BufferPool;
use martenlatch_policy::interface::{Event, MessageId, Outcome};
use martenlatch_wal::FinalStatus;
use tracing::error;

use super::admission::{Admission, AdmissionDecision};
use super::completion;
use super::decision::Decision;
use super::ingress::{IncomingMessage, Ingress};
use super::known_list::DeferredList;
use super::message_store::MessageStore;
use super::poll_history::PollHistory;
use super::process_state::{DiscoveryReload, SettingsNames};
use super::send_gate::RetryAfterTable;
use super::settlement::ClosedMessages;
use super::status_reports::StatusReporter;
use crate::discovery::EndpointDirectory;
use crate::egress::{AttemptResult, Egress};
use crate::event_source::{EventLoopHandle, EventSource};
use crate::operator::OperatorService;
use crate::peer_service::PeerService;
use crate::safety::ViolationCounter;

/// How long after its deadline a message that is still open is ended by the driver. The decision module should have
/// ended it by then; this ensures that its status report is sent before the platform counts the message as lost.
pub(super) const OVERDUE_AFTER: Millis = 120.0;
/// How long the loop sleeps when there is more to read but no buffer to read it into.
const BUFFER_WAIT: Millis = 3.0;
/// The longest sleep of the loop. Two sleeps bound the uncertainty about the age of a request that an idle sender
/// reads.
const MAX_SLEEP: Millis = 50.0;
/// The longest sleep during shutdown, so that no step of the shutdown runs late.
const MAX_SLEEP_IN_SHUTDOWN: Millis = 20.0;

/// Runs the pipeline, one round at a time.
pub struct Driver {
    pub(super) names: SettingsNames,
    /// The address on which clients connect.
    pub(super) listen: SocketAddr,
    /// The largest number of descriptors that the process may have open.
    pub(super) descriptor_limit: usize,
    pub(super) clock: Clock,
    pub(super) poll_history: PollHistory,
    /// The configured endpoint list after a delayed start, until it is used or discovery answers.
    pub(super) deferred_list: Option<DeferredList>,
    /// The Retry-After times that endpoints have requested.
    pub(super) retry_after_table: RetryAfterTable,
    /// Counts the violations of the safety rules.
    pub(super) violations: ViolationCounter,
    pub(super) handle: EventLoopHandle,
    /// Buffers for the watch and the status reports. They have their own pool, so that attempts cannot exhaust it.
    pub(super) control_buffers: BufferPool,
    pub(super) ingress: Ingress,
    pub(super) admission: Admission,
    pub(super) decision: Decision,
    pub(super) status_reporter: StatusReporter,
    pub(super) store: MessageStore,
    /// The messages that were closed by responses that had been uncertain.
    pub(super) closed_in_doubt: ClosedMessages,
    pub(super) egress: Egress,
    pub(super) directory: EndpointDirectory,
    /// The address of discovery in the configuration file when this process or a predecessor has read it last. `None` if
    /// the file had no valid one.
    pub(super) discovery_in_file: Option<SocketAddr>,
    /// The latest address of discovery that this process or a predecessor has read while it served.
    pub(super) discovery_reload: Option<DiscoveryReload>,
    /// The operators' connections, if the configuration has an address for them.
    pub(super) operators: Option<OperatorService>,
    /// The exchange with other senders, if peers are configured.
    pub(super) peers: Option<PeerService>,
    /// Sockets that had more to read than one round reads.
    pub(super) unfinished_sources: Vec<EventSource>,
    /// When the shutdown began, or `None` if it has not begun.
    pub(super) shutdown_started: Option<Millis>,
}

impl Driver {
    /// Sets the service for operators' connections. `None` if the configuration has no address for them.
    pub fn set_operators(&mut self, operators: Option<OperatorService>) {
        self.operators = operators;
    }

    /// The clock of the process.
    pub fn clock(&self) -> Clock {
        self.clock.clone()
    }

    /// The address on which clients connect.
    pub fn listen_address(&self) -> SocketAddr {
        self.listen
    }

    /// Runs one round: reads the ready sources, runs the due timers, runs the decision module and performs its actions.
    /// Returns false once the process may exit.
    pub fn round(&mut self, ready: Vec<EventSource>) -> bool {
        let now = self.clock.now();
        self.store.counters.rounds += 1;
        self.ingress.readable_since = self.poll_history.readable_since();
        let messages = self.read_ready_sources(ready, now);
        self.egress.expire_timeouts(now);
        self.unfinished_sources.extend(self.ingress.sweep(now));
        let accepting_stopped = self.stop_ingress_when_due(now);
        self.admit_messages(messages, accepting_stopped, now);
        self.process_attempt_results(now);
        // After the results have been processed: a Retry-After among them holds back attempts that have not begun.
        self.send_ready(now);
        self.end_unsettled(now);
        self.end_overdue_messages(now);
        self.directory
            .run_due(now, &self.handle, &self.control_buffers);
        self.apply_deferred_list(now);
        self.decide(now);
        self.check_attempt_owners();
        self.status_reporter.run_due(&self.store, now);
        completion::compact_log(&mut self.store, now);
        self.run_due_peers(now);
        self.run_due_operators(now);
        self.measure_round(now);
        let keep_running = !self.may_exit(now);
        self.poll_history.record_poll_start(self.clock.now());
        keep_running
    }

    /// Reads every source that is ready or had more to read in the last round. Returns the messages of clients.
    fn read_ready_sources(
        &mut self,
        mut ready: Vec<EventSource>,
        now: Millis,
    ) -> Vec<IncomingMessage> {
        let mut messages = Vec::new();
        ready.append(&mut self.unfinished_sources);
        ready.sort_unstable();
        ready.dedup();
        if self.ingress.accept_retry_at.is_some_and(|at| at <= now) {
            ready.push(EventSource::ClientListener);
        }
        for source in ready {
            if self.read_source(source, &mut messages, now) {
                self.unfinished_sources.push(source);
            }
        }
        for source in self.ingress.take_accepted_ready() {
            if self.read_source(source, &mut messages, now) {
                self.unfinished_sources.push(source);
            }
        }
        messages
    }

    /// Reads one source. Returns true if there is more to read.
    fn read_source(
        &mut self,
        source: EventSource,
        messages: &mut Vec<IncomingMessage>,
        now: Millis,
    ) -> bool {
        let counters = &mut self.store.counters;
        match source {
            EventSource::OperatorListener => match &mut self.operators {
                Some(operators) => operators.accept(now),
                None => false,
            },
            EventSource::Operator(index) => {
                self.answer_operator(index, now);
                false
            }
            EventSource::ClientListener => self.ingress.accept(now, counters),
            EventSource::Client(index) => self.ingress.on_ready(index, now, messages, counters),
            EventSource::Endpoint(index) => self.egress.on_ready(index, now),
            EventSource::Watch => self.read_watch(now),
            EventSource::PeerDatagrams
            | EventSource::PeerListener
            | EventSource::PeerConnection(_)
            | EventSource::SeedQuery(_) => match &mut self.peers {
                Some(peers) => peers.on_ready(source, now),
                None => false,
            },
            EventSource::SuccessorListener | EventSource::Successor | EventSource::Predecessor => {
                false
            }
            EventSource::StatusReports => {
                self.read_report_confirmations(now);
                false
            }
        }
    }

    fn read_report_confirmations(&mut self, now: Millis) {
        for number in self.status_reporter.on_ready(now) {
            completion::confirm_report(number, &mut self.store);
        }
    }

    /// Decides on the messages of this round, latest deadline first: a flood of messages with no time left, which the
    /// decision module ends in the same round, must not displace messages with the usual time left.
    fn admit_messages(
        &mut self,
        mut messages: Vec<IncomingMessage>,
        accepting_stopped: bool,
        now: Millis,
    ) {
        messages.sort_by(|a, b| b.deadline.total_cmp(&a.deadline));
        for message in messages {
            let event = self.admit(message, accepting_stopped, now);
            self.decision.events.extend(event);
        }
    }

    /// Decides on a message and answers its client. An accepted message is recorded in the log, then its client is
    /// answered, then the message is added to the store.
    pub(super) fn admit(
        &mut self,
        message: IncomingMessage,
        accepting_stopped: bool,
        now: Millis,
    ) -> Option<Event> {
        let client = message.client;
        let decision =
            self.admission
                .decide(message, &mut self.store, &self.directory, accepting_stopped);
        let answered = self.ingress.answer_decision(client, &decision, now);
        match decision {
            AdmissionDecision::Accepted(message) if answered => {
                Some(message.insert_into(&mut self.store, now))
            }
            AdmissionDecision::Accepted(message) => {
                message.revoke(&mut self.store);
                None
            }
            AdmissionDecision::EndedDuplicate(message) if answered => {
                message.report_again(&mut self.store, &mut self.status_reporter);
                None
            }
            AdmissionDecision::EndedDuplicate(message) => {
                message.revoke(&mut self.store);
                None
            }
            AdmissionDecision::Duplicate
            | AdmissionDecision::Undeliverable
            | AdmissionDecision::Rejected
            | AdmissionDecision::UnknownDestination => None,
        }
    }

    /// Turns the results of attempts into events. After a Retry-After, the destination's attempts that have not begun
    /// are cancelled.
    pub(super) fn process_attempt_results(&mut self, now: Millis) {
        self.count_metrics();
        let held_back = self.held_back_destinations();
        if !held_back.is_empty() {
            self.egress
                .cancel_unsent(|destination, _| held_back.contains(&destination), now);
        }
        while !self.egress.results.is_empty() {
            for result in std::mem::take(&mut self.egress.results) {
                self.process_attempt_result(&result, now);
            }
            self.process_settlements(now);
        }
        self.process_settlements(now);
    }

    fn process_attempt_result(&mut self, result: &AttemptResult, now: Millis) {
        self.record_retry_after(result, now);
        // The clock is read again, as the process may have been delayed since the round began.
        let read_by = self.clock.now();
        let event =
            completion::record_outcome(result, &mut self.store, &mut self.status_reporter, read_by);
        self.decision.events.extend(event);
        if !self.store.is_open(result.id.0) {
            self.withdraw_incomplete(result.id, now);
        }
    }

    fn record_retry_after(&mut self, result: &AttemptResult, now: Millis) {
        let (Some(record), Some(endpoint)) = (self.store.record(result.id.0), result.endpoint)
        else {
            return;
        };
        if !self.is_first_reading(result) {
            return;
        }
        let kind = self.directory.kind(endpoint);
        self.retry_after_table
            .record(result, record.destination, kind, now);
    }

    /// Whether a result is new to the decision module. It is not if a predecessor process has read the response, too: a
    /// Retry-After in it counts from then.
    fn is_first_reading(&self, result: &AttemptResult) -> bool {
        self.decision.policy.is_in_flight(result.id, result.attempt)
    }

    /// The destinations of which an endpoint has just answered with a Retry-After. All unsent attempts to such a
    /// destination are cancelled, even where each endpoint is a route of its own: the next turn decides on them again.
    fn held_back_destinations(&self) -> Vec<u64> {
        self.egress
            .results
            .iter()
            .filter(|result| {
                matches!(result.outcome, Outcome::Overloaded { retry_after } if retry_after > 0)
            })
            .filter(|result| self.is_first_reading(result))
            .filter_map(|result| self.store.record(result.id.0))
            .map(|record| record.destination)
            .collect()
    }

    /// Ends messages that are still open well after their deadlines, so that their status reports are sent even if
    /// another stage fails.
    fn end_overdue_messages(&mut self, now: Millis) {
        while let Some(number) = self.store.pop_overdue(now - OVERDUE_AFTER) {
            error!(number, "message ended after its deadline");
            self.store.counters.ended_late += 1;
            self.give_up(MessageId(number), FinalStatus::Undeliverable, now);
            self.decision
                .events
                .push(Event::ClientLeft(MessageId(number)));
        }
    }

    /// Runs the decision module and performs its actions.
    fn decide(&mut self, now: Millis) {
        let actions = self.decision.turn(now);
        if !actions.is_empty() {
            self.store.counters.turns += 1;
        }
        self.perform(actions, now);
    }

    fn run_due_peers(&mut self, now: Millis) {
        if let Some(peers) = &mut self.peers {
            let directory = &self.directory;
            let endpoint_name = |endpoint| directory.endpoint_name(endpoint);
            peers.run_due(now, Some((&self.decision.policy, &endpoint_name)));
        }
    }

    fn run_due_operators(&mut self, now: Millis) {
        if let Some(operators) = &mut self.operators {
            operators.run_due(now);
        }
    }

    fn measure_round(&mut self, started: Millis) {
        let took_ms = (self.clock.now() - started) as u64;
        let longest = &mut self.store.counters.longest_round_ms;
        *longest = took_ms.max(*longest);
    }

    /// How long the event loop may wait for a socket to become ready.
    pub fn poll_timeout(&self) -> Millis {
        let has_unprocessed = !self.decision.events.is_empty() || self.egress.has_findings();
        let has_unfinished = !self.unfinished_sources.is_empty();
        if has_unfinished && !has_unprocessed && self.lacks_buffers() {
            return BUFFER_WAIT;
        }
        if has_unfinished || has_unprocessed {
            return 0.0;
        }
        let longest = if self.shutdown_started.is_some() {
            MAX_SLEEP_IN_SHUTDOWN
        } else {
            MAX_SLEEP
        };
        (self.next_deadline() - self.clock.now()).clamp(0.0, longest)
    }

    /// Whether any buffer pool is exhausted, so that unfinished sources have to wait for a buffer.
    fn lacks_buffers(&self) -> bool {
        self.ingress.pool.is_exhausted()
            || self.egress.buffers.is_exhausted()
            || self.control_buffers.is_exhausted()
    }

    /// When the next timer of any stage is due.
    fn next_deadline(&self) -> Millis {
        let deadlines = [
            self.egress.next_deadline(),
            self.directory.next_deadline(),
            self.status_reporter.next_deadline(),
            self.ingress.next_deadline(),
        ];
        deadlines
            .into_iter()
            .chain(self.decision.wake_at)
            .chain([self.unsettled_deadline()])
            .chain(self.deferred_list_deadline())
            .chain(self.operators.as_ref().map(OperatorService::next_deadline))
            .chain(self.peers.as_ref().map(PeerService::next_deadline))
            .fold(f64::INFINITY, f64::min)
    }
}
