//! Owns the figures that operators are told: per class what became of transactions, and what is held and listed now. It
//! must never count an end twice, nor keep a second count of what is counted elsewhere.

use std::fmt::Write;
use std::rc::Rc;

/// What became of the transactions of one class, since the start of the process.
pub struct ClassCounts {
    name: Rc<str>,
    /// Delivered: a first line 200 was read while it was open.
    pub answered: u64,
    /// Refused at the door, or handed back by a notice that the platform has confirmed.
    pub deferred: u64,
    /// Failed: by a confirmed notice, called over by a region, or of a destination that nothing lists.
    pub errored: u64,
    /// Calls written whole to regions, copies and repeats too.
    pub sends: u64,
}

/// The figures of all classes, each there from the start.
pub struct ClassMetrics {
    groups: Vec<ClassCounts>,
}

/// What is computed when it is asked for.
pub struct Gauges {
    /// Transactions taken on whose end the platform does not have.
    pub current: usize,
    /// Regions in the service table, and those of them that get nothing now.
    pub cluster_size: usize,
    pub cluster_unhealthy: usize,
}

impl ClassMetrics {
    pub fn new(classes: &[String]) -> ClassMetrics {
        let group = |name: &String| ClassCounts {
            name: Rc::from(name.as_str()),
            answered: 0,
            deferred: 0,
            errored: 0,
            sends: 0,
        };
        ClassMetrics {
            groups: classes.iter().map(group).collect(),
        }
    }

    /// The counts of a class; none for one that the settings no longer have.
    pub fn of(&mut self, class: &str) -> Option<&mut ClassCounts> {
        self.groups.iter_mut().find(|g| *g.name == *class)
    }

    /// The answer to operators: a figure a line, then the line that ends them.
    pub fn text(&self, present: &Gauges) -> String {
        let mut text = String::new();
        for g in &self.groups {
            let states = [
                ("answered", g.answered),
                ("deferred", g.deferred),
                ("errored", g.errored),
            ];
            for (state, count) in states {
                let _ = writeln!(
                    text,
                    "sender_transactions{{group=\"{}\",state=\"{state}\"}} {count}",
                    g.name
                );
            }
            let _ = writeln!(text, "sender_sends{{group=\"{}\"}} {}", g.name, g.sends);
        }
        let Gauges {
            current,
            cluster_size,
            cluster_unhealthy,
        } = present;
        let _ = writeln!(
            text,
            "sender_current {current}\nsender_cluster_size {cluster_size}\n\
             sender_cluster_unhealthy {cluster_unhealthy}\n--"
        );
        text
    }

    /// The same figures for the log, a line a class.
    pub fn print(&self, present: &Gauges) {
        for g in &self.groups {
            let ClassCounts {
                name,
                answered,
                deferred,
                errored,
                sends,
            } = g;
            tracing::info!(
                "figures group={name} answered={answered} deferred={deferred} errored={errored} sends={sends}"
            );
        }
        let Gauges {
            current,
            cluster_size,
            cluster_unhealthy,
        } = present;
        tracing::info!(
            "figures current={current} cluster_size={cluster_size} cluster_unhealthy={cluster_unhealthy}"
        );
    }
}
