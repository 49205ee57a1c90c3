//! The metrics that operators read: per class what became of its messages, and gauges of the present state.
//!
//! The names in [`ClassMetrics::format_answer`] are a public interface; monitoring systems read them.

use std::fmt::Write;
use std::rc::Rc;

/// What became of the messages of one class since the start of the process. Each message is counted once.
pub struct ClassCounts {
    name: Rc<str>,
    /// Delivered: an endpoint answered 200 while the message was open.
    pub answered: u64,
    /// Rejected on arrival, or returned to the client by a confirmed status report.
    pub deferred: u64,
    /// Failed: by a confirmed status report, by an endpoint's 410, or for an unknown destination.
    pub errored: u64,
    /// Attempts whose last byte was sent, retries and hedged requests included.
    pub sends: u64,
}

impl ClassCounts {
    fn new(name: &str) -> ClassCounts {
        ClassCounts {
            name: Rc::from(name),
            answered: 0,
            deferred: 0,
            errored: 0,
            sends: 0,
        }
    }
}

/// The counts of all classes of the settings, in their order.
pub struct ClassMetrics {
    classes: Vec<ClassCounts>,
}

/// The state at one instant, computed when it is asked for.
pub struct Gauges {
    /// Accepted messages whose end the platform has not confirmed.
    pub current: usize,
    /// Endpoints in the endpoint list.
    pub cluster_size: usize,
    /// Endpoints in the endpoint list that get no messages now.
    pub cluster_unhealthy: usize,
    /// Steps since the start of the process that would have broken a safety rule; each is a defect.
    pub violations: u64,
}

impl ClassMetrics {
    /// Zero counts for classes of these names.
    pub fn new(classes: &[String]) -> ClassMetrics {
        ClassMetrics {
            classes: classes.iter().map(|name| ClassCounts::new(name)).collect(),
        }
    }

    /// The counts of a class; none for a class that the settings no longer have.
    pub fn get_mut(&mut self, class: &str) -> Option<&mut ClassCounts> {
        self.classes
            .iter_mut()
            .find(|counts| *counts.name == *class)
    }

    /// Counts a message that is returned to its client.
    pub fn count_deferred(&mut self, class: &str) {
        if let Some(counts) = self.get_mut(class) {
            counts.deferred += 1;
        }
    }

    /// Counts a message that has failed.
    pub fn count_errored(&mut self, class: &str) {
        if let Some(counts) = self.get_mut(class) {
            counts.errored += 1;
        }
    }

    /// Counts a message that is delivered.
    pub fn count_answered(&mut self, class: &str) {
        if let Some(counts) = self.get_mut(class) {
            counts.answered += 1;
        }
    }

    /// Counts an attempt that was sent.
    pub fn count_sent(&mut self, class: &str) {
        if let Some(counts) = self.get_mut(class) {
            counts.sends += 1;
        }
    }

    /// The answer to an operator: one metric a line, then the line `--`.
    pub fn format_answer(&self, gauges: &Gauges) -> String {
        let mut text = String::new();
        for counts in &self.classes {
            write_class(&mut text, counts);
        }
        let Gauges {
            current,
            cluster_size,
            cluster_unhealthy,
            violations,
        } = gauges;
        let _ = writeln!(
            text,
            "sender_current {current}\nsender_cluster_size {cluster_size}\n\
             sender_cluster_unhealthy {cluster_unhealthy}\nsender_violations {violations}\n--"
        );
        text
    }

    /// Writes the same metrics to the log, a line per class.
    pub fn log(&self, gauges: &Gauges) {
        for counts in &self.classes {
            let ClassCounts {
                name,
                answered,
                deferred,
                errored,
                sends,
            } = counts;
            tracing::info!(
                "metrics class={name} answered={answered} deferred={deferred} errored={errored} sends={sends}"
            );
        }
        let Gauges {
            current,
            cluster_size,
            cluster_unhealthy,
            violations,
        } = gauges;
        tracing::info!(
            "metrics current={current} cluster_size={cluster_size} cluster_unhealthy={cluster_unhealthy} violations={violations}"
        );
    }
}

/// Writes the lines of one class. Writing to a string cannot fail.
fn write_class(text: &mut String, counts: &ClassCounts) {
    let name = &counts.name;
    let by_state = [
        ("answered", counts.answered),
        ("deferred", counts.deferred),
        ("errored", counts.errored),
    ];
    for (state, count) in by_state {
        let _ = writeln!(
            text,
            "sender_transactions{{group=\"{name}\",state=\"{state}\"}} {count}"
        );
    }
    let _ = writeln!(text, "sender_sends{{group=\"{name}\"}} {}", counts.sends);
}
