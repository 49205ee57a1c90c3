//! The rules of message classes: those of the settings, followed by those of earlier settings under which a message
//! that is still held was accepted. A message keeps the rules under which it was accepted, also where the current
//! settings give another class the same name.

use std::rc::Rc;

use martenlatch_clock::{Millis, millis};
use martenlatch_policy::interface::{Idempotency, MessageClass, Settings};
use serde::{Deserialize, Serialize};

/// A class: its name, and its rules in the form that the write-ahead log keeps. Serialized by field order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassRule {
    /// The name of the class.
    pub name: Rc<str>,
    /// The [`MessageClass`] in postcard form.
    pub rules: Rc<[u8]>,
    /// Messages must not be sent again once an attempt may have run.
    non_idempotent: bool,
}

impl ClassRule {
    fn new(name: Rc<str>, class: &MessageClass) -> ClassRule {
        let rules = postcard::to_allocvec(class)
            .map(Rc::from)
            .unwrap_or_default();
        ClassRule {
            name,
            rules,
            non_idempotent: class.idempotency == Idempotency::NonIdempotent,
        }
    }
}

/// All classes, in the order by which the decision module numbers them.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ClassRules(Vec<ClassRule>);

impl ClassRules {
    /// The classes of the settings alone.
    pub fn new(names: &[String], classes: &[MessageClass]) -> ClassRules {
        let named = names.iter().zip(classes);
        ClassRules(
            named
                .map(|(name, class)| ClassRule::new(Rc::from(name.as_str()), class))
                .collect(),
        )
    }

    /// The classes of a predecessor, whose classes of earlier settings are added to `settings`. None if its own
    /// classes differ from these.
    pub fn restore(self, predecessor: ClassRules, settings: &mut Settings) -> Option<ClassRules> {
        let (current, earlier) = predecessor.0.split_at_checked(self.0.len())?;
        if current != self.0 {
            return None;
        }
        let earlier = earlier
            .iter()
            .map(|rule| postcard::from_bytes::<MessageClass>(&rule.rules).ok())
            .collect::<Option<Vec<_>>>()?;
        settings.classes.extend(earlier);
        Some(predecessor)
    }

    /// Adds the class of a recovered message, here and in `settings`, unless it is there already. A message that was
    /// recorded without rules goes by the class of its name.
    pub fn add_recovered(&mut self, name: &Rc<str>, rules: &Rc<[u8]>, settings: &mut Settings) {
        let Ok(class) = postcard::from_bytes::<MessageClass>(rules) else {
            return;
        };
        let known = self.index_of(name, rules);
        if known.is_some_and(|index| self.0[index].rules == *rules) {
            return;
        }
        settings.classes.push(MessageClass {
            ordered: false,
            ..class
        });
        if settings.check().is_err() {
            settings.classes.pop();
            return;
        }
        self.0.push(ClassRule {
            name: name.clone(),
            rules: rules.clone(),
            non_idempotent: class.idempotency == Idempotency::NonIdempotent,
        });
    }

    /// The number of a class: of the one with these rules, else of the first one of this name.
    pub fn index_of(&self, name: &str, rules: &[u8]) -> Option<usize> {
        let same_rules = |rule: &ClassRule| *rule.name == *name && *rule.rules == *rules;
        let same_name = |rule: &ClassRule| *rule.name == *name;
        self.0
            .iter()
            .position(same_rules)
            .or_else(|| self.0.iter().position(same_name))
    }

    /// Whether messages of a class must not be sent again once an attempt may have run. True for an unknown class.
    pub fn is_non_idempotent(&self, name: &str, rules: &[u8]) -> bool {
        self.index_of(name, rules)
            .is_none_or(|index| self.0[index].non_idempotent)
    }

    /// How long endpoints remember the keys of a class, in milliseconds; none if it has none, or it is unknown.
    pub fn idempotency_window(&self, name: &str, rules: &[u8]) -> Option<Millis> {
        let index = self.index_of(name, rules)?;
        let class = postcard::from_bytes::<MessageClass>(&self.0[index].rules).ok()?;
        match class.idempotency {
            Idempotency::IdempotencyKey { window, .. } => Some(millis(window)),
            Idempotency::Idempotent | Idempotency::NonIdempotent => None,
        }
    }

    /// The class of a number that [`ClassRules::index_of`] gave.
    pub fn get(&self, index: usize) -> &ClassRule {
        &self.0[index]
    }
}
