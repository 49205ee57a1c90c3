//! What happens to the processes of senders: their outages, their stops, and how they end.

use martenlatch_clock::Millis;

use super::super::history::{ProcessEvent, Record};
use super::{KILL_AFTER_TERMINATE, Oracle, Rule, USUAL_DELAY};

impl Oracle<'_> {
    /// Takes in, before anything is judged, when a sender could do nothing.
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
            ProcessEvent::Pause => state.pauses.push((record.at, record.at)),
            ProcessEvent::Continue => {
                if let Some(last) = state.pauses.last_mut() {
                    last.1 = record.at;
                }
            }
            _ => {}
        }
    }

    /// For how long a sender may have been held up when it did something at an instant.
    pub(super) fn possible_delay(&self, sender: usize, at: Millis) -> Millis {
        let state = self.senders.get(&sender);
        state.map_or(USUAL_DELAY, |state| {
            state.recent_pause_time(at).max(USUAL_DELAY)
        })
    }

    /// Judges the end of a process.
    pub(super) fn judge_process_event(&mut self, record: &Record, event: ProcessEvent) {
        let state = self.senders.entry(record.sender).or_default();
        match event {
            ProcessEvent::Terminate => {
                state.terminated_at.get_or_insert(record.at);
            }
            ProcessEvent::Kill => {
                // A process that was stopped for long as it was told to end, or since, may take as much longer.
                let late = state.terminated_at.is_some_and(|at| {
                    record.at >= at + KILL_AFTER_TERMINATE && !state.had_long_pause_since(at)
                });
                state.killed = true;
                if late {
                    self.add_violation(Rule::ExitedLate, record);
                }
            }
            ProcessEvent::Exited(code) => {
                let asked = state.killed || (state.terminated_at.is_some() && code == Some(0));
                if !asked {
                    self.add_violation(Rule::Crashed, record);
                }
            }
            ProcessEvent::Started => {
                state.terminated_at = None;
                state.killed = false;
                // A restart ends the waits.
                state.retry_waits.clear();
            }
            ProcessEvent::NotReady => self.add_violation(Rule::NotReady, record),
            ProcessEvent::Ready
            | ProcessEvent::Reload
            | ProcessEvent::Pause
            | ProcessEvent::Continue
            | ProcessEvent::WallStep => {}
        }
    }
}
