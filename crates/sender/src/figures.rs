//! Owns the figures that operators are told: per class what became of transactions, and what is held and listed now. It
//! must never count an end twice, nor keep a second count of what is counted elsewhere.

use std::fmt::Write;
use std::rc::Rc;

/// What became of the transactions of one class, since the start of the process.
pub struct Group {
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
pub struct Figures {
    groups: Vec<Group>,
}

/// What is computed when it is asked for.
pub struct Present {
    /// Transactions taken on whose end the platform does not have.
    pub current: usize,
    /// Regions in the service table, and those of them that get nothing now.
    pub cluster_size: usize,
    pub cluster_unhealthy: usize,
}

impl Figures {
    pub fn new(classes: &[String]) -> Figures {
        let group = |name: &String| Group {
            name: Rc::from(name.as_str()),
            answered: 0,
            deferred: 0,
            errored: 0,
            sends: 0,
        };
        Figures {
            groups: classes.iter().map(group).collect(),
        }
    }

    /// The counts of a class; none for one that the settings no longer have.
    pub fn of(&mut self, class: &str) -> Option<&mut Group> {
        self.groups.iter_mut().find(|g| *g.name == *class)
    }

    /// The answer to operators: a figure a line, then the line that ends them.
    pub fn text(&self, present: &Present) -> String {
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
        let Present {
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
    pub fn print(&self, present: &Present) {
        for g in &self.groups {
            let Group {
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
        let Present {
            current,
            cluster_size,
            cluster_unhealthy,
        } = present;
        tracing::info!(
            "figures current={current} cluster_size={cluster_size} cluster_unhealthy={cluster_unhealthy}"
        );
    }
}
