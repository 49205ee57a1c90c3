//! Events of the senders' processes: outages, pauses and exits.

use martenlatch_clock::Millis;

use super::super::history::{ProcessEvent, Record};
use super::{KILL_AFTER_TERMINATE, MessageProgress, Oracle, Rule, USUAL_DELAY};

/// The longest time for which a connection rests before its answers are settled.
const LONGEST_REST: Millis = 3_000.0;

impl Oracle<'_> {
    /// Collects the outages, kills and pauses of the senders, before any record is judged.
    pub(super) fn collect_process_event(&mut self, record: &Record, event: ProcessEvent) {
        let state = self.senders.entry(record.sender).or_default();
        match event {
            ProcessEvent::Kill | ProcessEvent::Terminate | ProcessEvent::Exited(_) => {
                if event == ProcessEvent::Kill {
                    state.kills.push(record.at);
                }
                if state.outages.last().is_none_or(|last| last.1.is_finite()) {
                    state.outages.push((record.at, f64::INFINITY));
                }
            }
            ProcessEvent::Ready => {
                if let Some(last) = state.outages.last_mut() {
                    last.1 = last.1.min(record.at);
                }
            }
            ProcessEvent::Started => self.starts += 1,
            // A pause that begins in another one does not end that one.
            ProcessEvent::Pause if state.is_paused() => {}
            ProcessEvent::Pause => state.pauses.push((record.at, record.at)),
            ProcessEvent::Continue => {
                if let Some(last) = state.pauses.last_mut() {
                    last.1 = record.at;
                }
            }
            _ => {}
        }
    }

    /// How long a sender may have been delayed before an action at an instant.
    pub(super) fn possible_delay(&self, sender: usize, at: Millis) -> Millis {
        let state = self.senders.get(&sender);
        state.map_or(USUAL_DELAY, |state| {
            state.recent_pause_time(at).max(USUAL_DELAY)
        })
    }

    /// Judges a signal to a process, its start or its exit.
    pub(super) fn judge_process_event(&mut self, record: &Record, event: ProcessEvent) {
        let state = self.senders.entry(record.sender).or_default();
        match event {
            ProcessEvent::Terminate => {
                state.terminated_at.get_or_insert(record.at);
            }
            ProcessEvent::Kill => {
                // A process that was paused for long when it received SIGTERM, or afterwards, may exit that much later.
                let late = state.terminated_at.is_some_and(|at| {
                    record.at >= at + KILL_AFTER_TERMINATE && !state.had_long_pause_since(at)
                });
                state.killed = true;
                if late {
                    self.add_violation(Rule::ExitedLate, record);
                }
            }
            ProcessEvent::Exited(code) => {
                let exited_on_signal =
                    state.killed || (state.terminated_at.is_some() && code == Some(0));
                if !exited_on_signal {
                    self.add_violation(Rule::Crashed, record);
                }
            }
            ProcessEvent::Started => {
                state.terminated_at = None;
                state.killed = false;
                // A sender does not keep waits across a restart.
                state.retry_waits.clear();
            }
            ProcessEvent::NotReady => self.add_violation(Rule::NotReady, record),
            ProcessEvent::SuccessorExited(_) => self.add_violation(Rule::Crashed, record),
            ProcessEvent::Replaced => self.doubt_unsettled_answers(record),
            // A successor keeps all that its predecessor owes, waits included.
            ProcessEvent::SuccessorStarted
            | ProcessEvent::Ready
            | ProcessEvent::Reload
            | ProcessEvent::Pause
            | ProcessEvent::Continue
            | ProcessEvent::WallStep => {}
        }
    }

    /// A successor reads the answers again that were not settled when it took over, and lets their connections rest for
    /// longer: it may report a message that they end.
    fn doubt_unsettled_answers(&mut self, record: &Record) {
        let since = record.at - LONGEST_REST;
        let of_sender = self
            .messages
            .values_mut()
            .filter(|message| message.sender == record.sender);
        let is_recent =
            |message: &&mut MessageProgress| message.delivered_at.is_some_and(|at| at >= since);
        of_sender
            .filter(is_recent)
            .for_each(|message| message.answer_uncertain = true);
    }
}
