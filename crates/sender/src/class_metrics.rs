//! The metrics for operators: message counts by outcome for each class, and gauges of the current state.
//!
//! The metric names in [`ClassMetrics::format`] are a public interface that monitoring systems rely on.

use std::fmt::Write;
use std::rc::Rc;

/// The outcomes of the messages of one class since the start of the process. Each message is counted once.
pub struct ClassCounts {
    name: Rc<str>,
    /// Messages delivered: an endpoint answered 200 while the message was open.
    pub answered: u64,
    /// Messages rejected on arrival, or returned to the client by a confirmed status report.
    pub deferred: u64,
    /// Messages failed: by a confirmed status report, by an endpoint's 410, or because of an unknown destination.
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

/// The counts of all classes of the settings, in the order of the settings.
pub struct ClassMetrics {
    classes: Vec<ClassCounts>,
}

/// The current state, computed on request.
pub struct Gauges {
    /// Accepted messages that are open, or whose status report the platform has not confirmed.
    pub current: usize,
    /// Endpoints in the endpoint list.
    pub cluster_size: usize,
    /// Endpoints in the endpoint list that currently receive no messages.
    pub cluster_unhealthy: usize,
    /// Safety rule violations since the start of the process; each is a defect.
    pub violations: u64,
}

impl ClassMetrics {
    /// Counts of zero for classes with these names.
    pub fn new(classes: &[String]) -> ClassMetrics {
        ClassMetrics {
            classes: classes.iter().map(|name| ClassCounts::new(name)).collect(),
        }
    }

    /// The counts of a class; `None` for a class that is no longer in the settings.
    pub fn get_mut(&mut self, class: &str) -> Option<&mut ClassCounts> {
        self.classes
            .iter_mut()
            .find(|counts| *counts.name == *class)
    }

    /// Counts a message that was returned to its client.
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

    /// Counts a message that was delivered.
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

    /// Formats the metrics for an operator: one metric per line, then the line `--`.
    pub fn format(&self, gauges: &Gauges) -> String {
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

    /// Writes the same metrics to the log: a line per class, and a line for the gauges.
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

/// Appends the lines of one class. Writing to a string cannot fail.
fn write_class(text: &mut String, counts: &ClassCounts) {
    let name = &counts.name;
    let counts_by_state = [
        ("answered", counts.answered),
        ("deferred", counts.deferred),
        ("errored", counts.errored),
    ];
    for (state, count) in counts_by_state {
        let _ = writeln!(
            text,
            "sender_transactions{{group=\"{name}\",state=\"{state}\"}} {count}"
        );
    }
    let _ = writeln!(text, "sender_sends{{group=\"{name}\"}} {}", counts.sends);
}
