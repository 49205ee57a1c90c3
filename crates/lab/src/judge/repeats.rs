//! [`Rule::NoSecondEffect`] and [`Rule::KeyWindow`]: a message that may have run is repeated only if its class allows
//! that.

use std::collections::HashSet;

use martenlatch_clock::Millis;

use super::state::{Call, PossibleRuns, RepeatScope};
use super::{Judge, Rule, SLACK};
use crate::experiment::Effect;

impl Judge {
    /// The effect of repeating a message of a class.
    pub(super) fn effect_of(&self, class: u32) -> Option<Effect> {
        self.classes.get(class as usize).map(|rule| rule.effect)
    }

    fn repeat_scope(&self, call: &Call) -> RepeatScope {
        match self.effect_of(call.class) {
            Some(Effect::Unsafe) => RepeatScope::Origin(call.origin),
            _ => RepeatScope::Message(call.message),
        }
    }

    /// Checks, when a call arrives and may run, whether another call of the same message may have run before.
    pub(super) fn check_repeat(&mut self, number: u64, call: &Call, at: Millis) {
        let Some(rule) = self.classes.get(call.class as usize).copied() else {
            return;
        };
        let scope = self.repeat_scope(call);
        let id = Some(call.message);
        if let Some(first) = self.earlier_run(scope, number) {
            match rule.effect {
                Effect::Unsafe => {
                    let text =
                        format!("sent again although the call of {first:.1} ms may have run");
                    self.record_breach(Rule::NoSecondEffect, id, at, text);
                }
                Effect::Keyed if at > first + rule.window + SLACK => {
                    let text = format!(
                        "repeated {:.1} ms after its first call, its idempotency window is {:.1} ms",
                        at - first,
                        rule.window
                    );
                    self.record_breach(Rule::KeyWindow, id, at, text);
                }
                _ => {}
            }
        }
        let runs = self.may_have_run.entry(scope).or_insert(PossibleRuns {
            first_started_at: call.started_at,
            calls: HashSet::new(),
        });
        runs.calls.insert(number);
    }

    /// The start of the first call that may have run, if a call other than `excluded` may have run.
    fn earlier_run(&self, scope: RepeatScope, excluded: u64) -> Option<Millis> {
        let runs = self.may_have_run.get(&scope)?;
        let other = runs.calls.iter().any(|call| *call != excluded);
        other.then_some(runs.first_started_at)
    }

    /// A call has ended that cannot have run.
    pub(super) fn record_never_ran(&mut self, number: u64, call: &Call) {
        let scope = self.repeat_scope(call);
        if let Some(runs) = self.may_have_run.get_mut(&scope) {
            runs.calls.remove(&number);
            if runs.calls.is_empty() {
                self.may_have_run.remove(&scope);
            }
        }
    }
}
