//! Owns what classes promise: those of the settings, and behind them those of earlier settings under which something held was
//! taken on. It must never let one configuration's rules stand for another's that shares a name.

use std::rc::Rc;

use martenlatch_policy::interface::{Idempotency, MessageClass, Settings};
use serde::{Deserialize, Serialize};

/// A class by its name, with its rules as the wal keeps them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassRule {
    pub name: Rc<str>,
    pub rules: Rc<[u8]>,
    /// What may have run must not be repeated.
    once: bool,
}

/// The classes, in the places by which the module knows them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClassRules(Vec<ClassRule>);

impl ClassRules {
    /// Those of the settings alone.
    pub fn new(names: &[String], classes: &[MessageClass]) -> ClassRules {
        let named = names.iter().zip(classes);
        ClassRules(
            named
                .map(|(name, class)| ClassRule::new(Rc::from(name.as_str()), class))
                .collect(),
        )
    }

    /// Those of the settings, with what an earlier process had behind its own. None where that had other classes.
    pub fn restore(self, passed: ClassRules, set: &mut Settings) -> Option<ClassRules> {
        let (own, earlier) = passed.0.split_at_checked(self.0.len())?;
        if own != self.0 {
            return None;
        }
        let classes = earlier
            .iter()
            .map(|p| postcard::from_bytes::<MessageClass>(&p.rules).ok());
        set.classes.extend(classes.collect::<Option<Vec<_>>>()?);
        Some(passed)
    }

    /// Where a class stands that something was taken on under; the settings get it behind theirs where they lack it. What was
    /// taken on by a version that kept no rules goes by the class that has its name, if any.
    pub fn keep(&mut self, name: &Rc<str>, rules: &Rc<[u8]>, set: &mut Settings) -> Option<usize> {
        let known = self.place(name, rules);
        let Ok(class) = postcard::from_bytes::<MessageClass>(rules) else {
            return known;
        };
        if known.is_some_and(|at| self.0[at].rules == *rules) {
            return known;
        }
        set.classes.push(MessageClass {
            ordered: false,
            ..class
        });
        if set.check().is_err() {
            set.classes.pop();
            return known;
        }
        self.0.push(ClassRule {
            name: name.clone(),
            rules: rules.clone(),
            once: class.idempotency == Idempotency::NonIdempotent,
        });
        Some(self.0.len() - 1)
    }

    /// Where a class stands: the one of these rules, else the one of this name in the settings.
    pub fn place(&self, name: &str, rules: &[u8]) -> Option<usize> {
        let same = self
            .0
            .iter()
            .position(|p| *p.name == *name && *p.rules == *rules);
        same.or_else(|| self.0.iter().position(|p| *p.name == *name))
    }

    /// Whether what may have run must not be repeated; so it is where nothing is known of the class.
    pub fn once(&self, name: &str, rules: &[u8]) -> bool {
        self.place(name, rules).is_none_or(|at| self.0[at].once)
    }

    /// A class by its place.
    pub fn at(&self, place: usize) -> &ClassRule {
        &self.0[place]
    }
}

impl ClassRule {
    fn new(name: Rc<str>, class: &MessageClass) -> ClassRule {
        let rules = postcard::to_allocvec(class)
            .map(Rc::from)
            .unwrap_or_default();
        ClassRule {
            name,
            rules,
            once: class.idempotency == Idempotency::NonIdempotent,
        }
    }
}
