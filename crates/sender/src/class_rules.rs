//! The rules of message classes: those of the current settings, followed by those of earlier settings under which
//! messages were accepted that are still held. A message keeps the rules under which it was accepted, even if the
//! current settings give a class of the same name other rules.

use std::rc::Rc;

use martenlatch_clock::{Millis, millis};
use martenlatch_policy::interface::{Idempotency, MessageClass, Settings};
use serde::{Deserialize, Serialize};

/// A class: its name, and its rules as the write-ahead log stores them. Serialized by field order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassEntry {
    /// The name of the class.
    pub name: Rc<str>,
    /// The [`MessageClass`] in postcard form.
    pub encoded_rules: Rc<[u8]>,
    /// Messages must not be sent again once an attempt may have run.
    non_idempotent: bool,
}

impl ClassEntry {
    fn new(name: Rc<str>, class: &MessageClass) -> ClassEntry {
        let encoded_rules = postcard::to_allocvec(class)
            .map(Rc::from)
            .unwrap_or_default();
        ClassEntry {
            name,
            encoded_rules,
            non_idempotent: class.idempotency == Idempotency::NonIdempotent,
        }
    }
}

/// All classes, in the order in which the decision module numbers them.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ClassRules(Vec<ClassEntry>);

impl ClassRules {
    /// Creates the rules from the classes of the current settings.
    pub fn new(names: &[String], classes: &[MessageClass]) -> ClassRules {
        let named = names.iter().zip(classes);
        ClassRules(
            named
                .map(|(name, class)| ClassEntry::new(Rc::from(name.as_str()), class))
                .collect(),
        )
    }

    /// Returns the classes of a predecessor, and adds those of them that come from earlier settings to `settings`.
    /// `None` if the predecessor's current classes differ from these.
    pub fn restore(self, predecessor: ClassRules, settings: &mut Settings) -> Option<ClassRules> {
        let (current, earlier) = predecessor.0.split_at_checked(self.0.len())?;
        if current != self.0 {
            return None;
        }
        let earlier = earlier
            .iter()
            .map(|entry| postcard::from_bytes::<MessageClass>(&entry.encoded_rules).ok())
            .collect::<Option<Vec<_>>>()?;
        settings.classes.extend(earlier);
        Some(predecessor)
    }

    /// Adds the class of a recovered message here and to `settings`, unless it is already here or the settings would
    /// become invalid. A message that was recorded without rules follows the first class of the same name.
    pub fn add_recovered(
        &mut self,
        name: &Rc<str>,
        encoded_rules: &Rc<[u8]>,
        settings: &mut Settings,
    ) {
        let Ok(class) = postcard::from_bytes::<MessageClass>(encoded_rules) else {
            return;
        };
        let known = self.index_of(name, encoded_rules);
        if known.is_some_and(|index| self.0[index].encoded_rules == *encoded_rules) {
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
        self.0.push(ClassEntry {
            name: name.clone(),
            encoded_rules: encoded_rules.clone(),
            non_idempotent: class.idempotency == Idempotency::NonIdempotent,
        });
    }

    /// The index of the class with this name and these rules; if there is none, of the first class with this name.
    pub fn index_of(&self, name: &str, encoded_rules: &[u8]) -> Option<usize> {
        let same_rules =
            |entry: &ClassEntry| *entry.name == *name && *entry.encoded_rules == *encoded_rules;
        let same_name = |entry: &ClassEntry| *entry.name == *name;
        self.0
            .iter()
            .position(same_rules)
            .or_else(|| self.0.iter().position(same_name))
    }

    /// Whether messages of a class must not be sent again once an attempt may have run. True for an unknown class.
    pub fn is_non_idempotent(&self, name: &str, encoded_rules: &[u8]) -> bool {
        self.index_of(name, encoded_rules)
            .is_none_or(|index| self.0[index].non_idempotent)
    }

    /// Whether messages of a class may be repeated at any endpoint of their destination although an attempt may have
    /// run. False for an unknown class.
    pub fn may_repeat_anywhere(&self, name: &str, encoded_rules: &[u8]) -> bool {
        let class = self.index_of(name, encoded_rules).and_then(|index| {
            postcard::from_bytes::<MessageClass>(&self.0[index].encoded_rules).ok()
        });
        class.is_some_and(|class| match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotencyKey { per_zone, .. } => !per_zone,
            Idempotency::NonIdempotent => false,
        })
    }

    /// The time in milliseconds for which endpoints remember the idempotency keys of a class. `None` if the class has
    /// no keys or is unknown.
    pub fn idempotency_window(&self, name: &str, encoded_rules: &[u8]) -> Option<Millis> {
        let index = self.index_of(name, encoded_rules)?;
        let class = postcard::from_bytes::<MessageClass>(&self.0[index].encoded_rules).ok()?;
        match class.idempotency {
            Idempotency::IdempotencyKey { window, .. } => Some(millis(window)),
            Idempotency::Idempotent | Idempotency::NonIdempotent => None,
        }
    }

    /// The class at an index from [`ClassRules::index_of`].
    pub fn get(&self, index: usize) -> &ClassEntry {
        &self.0[index]
    }
}
