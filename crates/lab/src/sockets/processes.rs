//! The senders' processes during a run: their starts, readiness, ends and resource usage.

use std::time::Duration;

use martenlatch_clock::Millis;

use super::event::Event;
use super::resource_usage::ResourceUsage;
use super::testbed::Testbed;
use crate::error::{LabError, ProcessEnd};
use crate::event_log::EventKind;
use crate::model::environment::ListedState;

/// Time between two checks whether a sender is ready, before the run begins.
const START_POLL: Duration = Duration::from_millis(5);

impl Testbed<'_> {
    /// Starts every sender except those that join later, waits until all of them serve, and begins the run.
    ///
    /// # Errors
    /// If a sender does not start, or ends.
    pub fn start_senders(&mut self) -> Result<(), LabError> {
        let initial: Vec<u32> = (0..self.senders.len() as u32)
            .filter(|sender| self.experiment.join_time(*sender).is_none())
            .collect();
        for sender in &initial {
            self.launch(*sender)?;
        }
        self.start_clock();
        for sender in &initial {
            let process = &mut self.senders[*sender as usize].process;
            process.wait_until_ready(START_POLL)?;
        }
        self.start_clock();
        for sender in initial {
            self.sender_ready(sender);
        }
        Ok(())
    }

    /// Starts a sender's process, with the endpoint list that was last sent to the sender.
    pub fn launch(&mut self, sender: u32) -> Result<(), LabError> {
        let endpoint_list = self.endpoint_list(sender);
        let process = &mut self.senders[sender as usize].process;
        process.configure(endpoint_list)?;
        process.start()?;
        if self.disks_full {
            process.set_disk_full(true)?;
        }
        Ok(())
    }

    /// Starts a sender again after its end.
    pub fn restart_sender(&mut self, sender: u32) {
        if let Err(error) = self.launch(sender) {
            self.fail(error);
        }
    }

    /// Checks whether a sender that was started has become ready.
    pub fn check_ready(&mut self, sender: u32) {
        match self.senders[sender as usize].process.poll_ready() {
            Ok(true) => self.sender_ready(sender),
            Ok(false) => {}
            Err(error) => self.fail(error),
        }
    }

    fn sender_ready(&mut self, sender: u32) {
        let slot = &mut self.senders[sender as usize];
        slot.up = true;
        slot.restart_after = None;
        let listed = slot.listed_endpoints.clone();
        for (endpoint, state) in listed {
            let partner = self.environment.partner_of(endpoint);
            self.record(EventKind::Listed {
                sender,
                endpoint,
                partner,
                in_service: state == ListedState::Active,
            });
        }
        self.record(EventKind::SenderReady { sender });
    }

    /// Samples the resource usage of all senders, and detects those that have ended; false if one has crashed.
    pub fn sample_senders(&mut self, now: Millis) -> bool {
        let mut total = ResourceUsage::default();
        for sender in 0..self.senders.len() as u32 {
            let usage = self.senders[sender as usize].process.usage();
            total.cpu_ms += usage.cpu_ms;
            total.memory_kb += usage.memory_kb;
            if let Err(crash) = self.check_ended(sender) {
                self.fail(crash);
                return false;
            }
        }
        if now >= self.resource_usage.len() as f64 * 1e3 {
            self.resource_usage.push(total);
        }
        true
    }

    /// Checks whether a sender's process has ended. An end that the run did not cause, or with an exit code other than 0,
    /// is an error.
    fn check_ended(&mut self, sender: u32) -> Result<(), LabError> {
        let slot = &mut self.senders[sender as usize];
        let Some(end) = slot.process.poll_end() else {
            return Ok(());
        };
        if slot.restart_after.is_none() || end != ProcessEnd::Exited(0) {
            return Err(slot.process.unexpected_end(end));
        }
        self.sender_ended(sender);
        Ok(())
    }

    /// Records the expected end of a sender's process, and schedules its restart.
    pub fn sender_ended(&mut self, sender: u32) {
        let slot = &mut self.senders[sender as usize];
        let restart_after = slot.restart_after.unwrap_or(0.0);
        slot.up = false;
        slot.incarnation += 1;
        self.record(EventKind::SenderEnded { sender });
        self.events
            .push(self.now() + restart_after, Event::RestartSender { sender });
    }

    /// Kills a sender that was asked to shut down, if that process is still running.
    pub fn kill_if_still_running(&mut self, sender: u32, incarnation: u32) {
        let slot = &mut self.senders[sender as usize];
        if slot.incarnation == incarnation && slot.restart_after.is_some() {
            slot.process.kill();
            self.sender_ended(sender);
        }
    }
}
