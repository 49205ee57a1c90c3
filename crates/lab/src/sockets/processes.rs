//! The senders' processes during a run: their start, their readiness, their ends and what they use.

use std::time::Duration;

use martenlatch_clock::Millis;

use super::event::Event;
use super::resource_usage::ResourceUsage;
use super::testbed::Testbed;
use crate::error::{LabError, ProcessEnd};
use crate::event_log::EventKind;
use crate::model::environment::ListedState;

/// Between two looks at whether a sender has come up, before the run begins.
const START_POLL: Duration = Duration::from_millis(5);

impl Testbed<'_> {
    /// Starts every sender that is there from the beginning, waits until all serve, and has the run begin.
    ///
    /// # Errors
    /// Where one does not start, or ends.
    pub fn start_senders(&mut self) -> Result<(), LabError> {
        let first: Vec<u32> = (0..self.senders.len() as u32)
            .filter(|sender| self.experiment.join_time(*sender).is_none())
            .collect();
        for sender in &first {
            self.launch(*sender)?;
        }
        self.start_clock();
        for sender in &first {
            let process = &mut self.senders[*sender as usize].process;
            process.wait_until_up(START_POLL)?;
        }
        self.start_clock();
        for sender in first {
            self.came_up(sender);
        }
        Ok(())
    }

    /// Starts a sender's process with the endpoint list that it was last told.
    pub fn launch(&mut self, sender: u32) -> Result<(), LabError> {
        let known = self.endpoint_list(sender);
        let process = &mut self.senders[sender as usize].process;
        process.configure(known)?;
        process.start()?;
        if self.disks_full {
            process.set_disk_full(true)?;
        }
        Ok(())
    }

    /// Starts a sender again that has ended.
    pub fn restart_sender(&mut self, sender: u32) {
        if let Err(error) = self.launch(sender) {
            self.fail(error);
        }
    }

    /// Looks whether a sender has come to serve since it was started.
    pub fn check_started(&mut self, sender: u32) {
        match self.senders[sender as usize].process.has_come_up() {
            Ok(true) => self.came_up(sender),
            Ok(false) => {}
            Err(error) => self.fail(error),
        }
    }

    fn came_up(&mut self, sender: u32) {
        let slot = &mut self.senders[sender as usize];
        slot.up = true;
        slot.restart_after = None;
        let known = slot.known.clone();
        for (endpoint, state) in known {
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

    /// Measures what all senders use, and notes those that have ended; false where one has crashed.
    pub fn measure_senders(&mut self, now: Millis) -> bool {
        let mut sum = ResourceUsage::default();
        for sender in 0..self.senders.len() as u32 {
            let used = self.senders[sender as usize].process.usage();
            sum.cpu_ms += used.cpu_ms;
            sum.memory_kb += used.memory_kb;
            if let Err(crash) = self.check_ended(sender) {
                self.fail(crash);
                return false;
            }
        }
        if now >= self.used.len() as f64 * 1e3 {
            self.used.push(sum);
        }
        true
    }

    /// Looks whether a sender's process has ended; it is an error where it was not told to.
    fn check_ended(&mut self, sender: u32) -> Result<(), LabError> {
        let slot = &mut self.senders[sender as usize];
        let Some(end) = slot.process.poll_end() else {
            return Ok(());
        };
        if slot.restart_after.is_none() || end != ProcessEnd::Exited(0) {
            return Err(slot.process.ended_error(end));
        }
        self.sender_ended(sender);
        Ok(())
    }

    /// A sender's process has ended as it was meant to; it starts again after its pause.
    pub fn sender_ended(&mut self, sender: u32) {
        let slot = &mut self.senders[sender as usize];
        let pause = slot.restart_after.unwrap_or(0.0);
        slot.up = false;
        slot.incarnation += 1;
        self.record(EventKind::SenderEnded { sender });
        self.events
            .push(self.now() + pause, Event::RestartSender { sender });
    }

    /// Kills a sender that was told to end and has not.
    pub fn kill_if_still_ending(&mut self, sender: u32, incarnation: u32) {
        let slot = &mut self.senders[sender as usize];
        if slot.incarnation == incarnation && slot.restart_after.is_some() {
            slot.process.kill();
            self.sender_ended(sender);
        }
    }
}
