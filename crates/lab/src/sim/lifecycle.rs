//! Processes of simulated senders: start, shutdown and end; and messages that the decision module has not ended in
//! time.

use martenlatch_clock::{Millis, nanos};
use martenlatch_peers::partner_knowledge::{Bounds, PartnerKnowledge};
use martenlatch_policy::Policy;
use martenlatch_policy::interface::{EndpointEntry, EndpointId, EndpointState, Event, MessageId};

use super::CLOCK_ORIGIN;
use super::event::{SimEvent, StatusReport};
use super::simulation::Simulation;
use super::variant_settings::TURN_INTERVAL;
use crate::event_log::{CallFailure, EventKind};

/// The sender itself ends a message that the decision module has not ended by this time after the deadline.
pub(super) const OVERDUE_AFTER: Millis = 120.0;
/// How long a sender may take to shut down.
const SHUTDOWN_TIME: Millis = 3_300.0;
/// Time from the end of `SHUTDOWN_TIME` until a sender that still runs is killed.
const KILL_AFTER: Millis = 100.0;
/// One-way latency of a status report to the platform.
const REPORT_LATENCY: Millis = 1.0;

impl Simulation<'_> {
    /// Starts a sender's process with the messages of its state folder and the endpoint list of its agent.
    pub(super) fn start_sender(&mut self, sender: u32) {
        let incarnation = self.senders[sender as usize].incarnation;
        let seed = self.seed ^ (u64::from(sender) << 32) ^ u64::from(incarnation);
        let Ok(policy) = Policy::new(self.settings.clone(), seed) else {
            return;
        };
        let listed: Vec<EndpointEntry> = self.senders[sender as usize]
            .known_endpoints
            .values()
            .cloned()
            .collect();
        for entry in &listed {
            self.record(EventKind::Listed {
                sender,
                endpoint: entry.endpoint.0,
                partner: entry.destination.0 as u32,
                in_service: entry.state == EndpointState::Active,
            });
        }
        let mut events = vec![Event::EndpointList(listed)];
        events.extend(self.gossip_events(sender));
        events.extend(self.resumed_events(sender));
        self.senders[sender as usize].begin_process(policy, events, self.now);
        self.record(EventKind::SenderReady { sender });
        self.schedule_turn(sender);
    }

    /// The events with the gossip that a process receives when it starts.
    fn gossip_events(&mut self, sender: u32) -> Vec<Event> {
        let known = match self.senders[sender as usize].collected_gossip.take() {
            Some(collected) => collected,
            None if self.receives_gossip && self.now > 0.0 => self.gossip_for(sender),
            None => PartnerKnowledge::default(),
        };
        let endpoint_number = |_, name: Option<&str>| match name {
            Some(name) => name.parse().ok().map(|number| Some(EndpointId(number))),
            None => Some(None),
        };
        known
            .priors(self.now, &Bounds::default(), endpoint_number)
            .into_iter()
            .map(Event::Gossip)
            .collect()
    }

    /// The events with the open messages that a sender's state folder has kept over a restart.
    fn resumed_events(&self, sender: u32) -> Vec<Event> {
        self.senders[sender as usize]
            .held
            .iter()
            .filter(|(_, message)| message.open)
            .map(|(id, message)| {
                message.resumed(*id, &self.clients.message(message.origin).planned)
            })
            .collect()
    }

    /// Schedules the next turn of a sender's decision module, unless one is scheduled already.
    pub(super) fn schedule_turn(&mut self, sender: u32) {
        let state = &mut self.senders[sender as usize];
        if !state.is_up() || state.turn_scheduled {
            return;
        }
        state.turn_scheduled = true;
        let at = self.now.max(state.last_turn + TURN_INTERVAL);
        let incarnation = state.incarnation;
        self.schedule(
            at,
            SimEvent::Turn {
                sender,
                incarnation,
            },
        );
    }

    /// Passes an event to a sender's decision module at its next turn.
    pub(super) fn notify(&mut self, sender: u32, event: Event) {
        self.senders[sender as usize].events.push(event);
        self.schedule_turn(sender);
    }

    /// Gives up a message, and sends a status report to the platform.
    pub(super) fn give_up(
        &mut self,
        sender: u32,
        id: u64,
        deferred: bool,
        retry_after: Option<Millis>,
    ) {
        if !self.senders[sender as usize].close_message(id) {
            return;
        }
        let report = StatusReport {
            sender,
            id,
            deferred,
            retry_after,
        };
        let at = self.now + REPORT_LATENCY;
        self.schedule(at, SimEvent::StatusReport(report));
    }

    /// Ends a message that the decision module should have ended, as the real sender does. If the sender is down or has
    /// started less than `OVERDUE_AFTER` ago, checks the message again after that time.
    pub(super) fn message_overdue(&mut self, sender: u32, id: u64) {
        let state = &self.senders[sender as usize];
        if state.held.get(&id).is_none_or(|message| !message.open) {
            return;
        }
        if !state.is_up() || self.now < state.started_at + OVERDUE_AFTER {
            let next_check = SimEvent::MessageOverdue { sender, id };
            return self.schedule(self.now + OVERDUE_AFTER, next_check);
        }
        self.give_up(sender, id, false, None);
        self.notify(sender, Event::ClientLeft(MessageId(id)));
    }

    /// Asks a sender to shut down. A new process starts `restart_after` milliseconds after the old one has ended.
    pub(super) fn shut_down(&mut self, sender: u32, restart_after: Millis) {
        let state = &mut self.senders[sender as usize];
        if !state.is_up() || state.shutdown_at.is_some() {
            return;
        }
        state.shutdown_at = Some(self.now);
        state.restart_after = restart_after;
        let incarnation = state.incarnation;
        let deadline = self.now + SHUTDOWN_TIME;
        self.record(EventKind::ShutdownRequested { sender });
        let shutdown = Event::ShutdownDeadline(nanos(CLOCK_ORIGIN + self.now + SHUTDOWN_TIME));
        self.notify(sender, shutdown);
        self.schedule(
            deadline + KILL_AFTER,
            SimEvent::ShutdownTimeout {
                sender,
                incarnation,
            },
        );
    }

    /// Kills a sender that has not ended within its time for the shutdown.
    pub(super) fn shutdown_timeout(&mut self, sender: u32, incarnation: u32) {
        if self.senders[sender as usize].incarnation == incarnation {
            self.end_process(sender);
        }
    }

    /// Kills a sender. A new process starts `restart_after` milliseconds later.
    pub(super) fn kill(&mut self, sender: u32, restart_after: Millis) {
        self.senders[sender as usize].restart_after = restart_after;
        self.end_process(sender);
    }

    /// Ends a sender's process for any reason. Its calls end with it, and only its state folder is kept.
    pub(super) fn end_process(&mut self, sender: u32) {
        let state = &mut self.senders[sender as usize];
        if state.policy.take().is_none() {
            return;
        }
        let calls = state.end_process();
        let restart_after = state.restart_after;
        for (endpoint, idle) in state.idle_connections.drain() {
            self.connections[endpoint as usize] -= idle.len() as u32;
        }
        for call in calls {
            let cause = CallFailure::SenderEnded;
            self.record(EventKind::CallFailed { call, cause });
            if let Some(ended) = self.calls.remove(&call) {
                self.connections[ended.endpoint as usize] -= 1;
            }
        }
        self.record(EventKind::SenderEnded { sender });
        let at = self.now + restart_after;
        self.schedule(at, SimEvent::StartSender { sender });
    }
}
