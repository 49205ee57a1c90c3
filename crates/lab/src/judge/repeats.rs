//! [`Rule::NoSecondEffect`] and [`Rule::KeyWindow`]: what may have run is repeated only where its class allows that.

use std::collections::HashSet;

use martenlatch_clock::Millis;

use super::state::{Call, PossibleRuns, RepeatScope};
use super::{Judge, Rule, SLACK};
use crate::experiment::Effect;

impl Judge {
    /// What a repeat of a class's messages does.
    pub(super) fn effect_of(&self, class: u32) -> Option<Effect> {
        self.classes.get(class as usize).map(|rule| rule.effect)
    }

    fn repeat_scope(&self, call: &Call) -> RepeatScope {
        match self.effect_of(call.class) {
            Some(Effect::Unsafe) => RepeatScope::Origin(call.origin),
            _ => RepeatScope::Message(call.message),
        }
    }

    /// A call may run from now on; another one of the same message may have run before.
    pub(super) fn check_repeat(&mut self, number: u64, call: &Call, at: Millis) {
        let Some(rule) = self.classes.get(call.class as usize).copied() else {
            return;
        };
        let scope = self.repeat_scope(call);
        let id = Some(call.message);
        if let Some(first) = self.earlier_run(scope, number) {
            match rule.effect {
                Effect::Unsafe => {
                    let text = format!("sent again though the call of {first:.1} ms may have run");
                    self.breach(Rule::NoSecondEffect, id, at, text);
                }
                Effect::Keyed if at > first + rule.window + SLACK => {
                    let text = format!(
                        "repeated {:.1} ms after its first call, its key lasts {:.1}",
                        at - first,
                        rule.window
                    );
                    self.breach(Rule::KeyWindow, id, at, text);
                }
                _ => {}
            }
        }
        let runs = self.may_have_run.entry(scope).or_insert(PossibleRuns {
            since: call.since,
            calls: HashSet::new(),
        });
        runs.calls.insert(number);
    }

    /// When the first call left that may have run, where one besides a call may have.
    fn earlier_run(&self, scope: RepeatScope, besides: u64) -> Option<Millis> {
        let runs = self.may_have_run.get(&scope)?;
        let other = runs.calls.iter().any(|call| *call != besides);
        other.then_some(runs.since)
    }

    /// A call has ended that cannot have run.
    pub(super) fn note_never_ran(&mut self, number: u64, call: &Call) {
        let scope = self.repeat_scope(call);
        if let Some(runs) = self.may_have_run.get_mut(&scope) {
            runs.calls.remove(&number);
            if runs.calls.is_empty() {
                self.may_have_run.remove(&scope);
            }
        }
    }
}
