//! Owns what the stages share: the transactions that are not over, by number and by id. It must never lose one that
//! the wal holds, nor keep one that is over and has no routed task out.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

use martenlatch_clock::Millis;
use martenlatch_wal::{MessageRecord, WriteAheadLog};

use crate::class_metrics::ClassMetrics;
use crate::counters::Counters;

#[derive(Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum State {
    Open,
    /// Its notice is on the way.
    Ending,
    Over,
}

/// A transaction that we have taken on.
pub struct StoredMessage {
    pub(super) taken: MessageRecord,
    pub(super) state: State,
    /// Routed tasks without an outcome.
    pub(super) out: u32,
    /// An earlier life took it on, and none has called yet.
    pub(super) untried: bool,
}

/// What the stages share: the transactions that are not over.
pub struct MessageStore {
    pub(super) held: BTreeMap<u64, StoredMessage>,
    pub(super) numbers: HashMap<Rc<str>, u64>,
    /// The open ones by deadline: positive numbers keep their order as bits.
    pub(super) by_deadline: BTreeSet<(u64, u64)>,
    pub(super) open: usize,
    pub(super) next: u64,
    pub(super) wal: WriteAheadLog,
    pub(super) counters: Counters,
    pub(super) class_metrics: ClassMetrics,
}

impl MessageStore {
    pub(super) fn insert(&mut self, taken: MessageRecord, state: State) {
        self.numbers.insert(taken.id.clone(), taken.no);
        if state == State::Open {
            self.open += 1;
            self.by_deadline
                .insert((taken.deadline.max(0.0).to_bits(), taken.no));
        }
        self.held.insert(
            taken.no,
            StoredMessage {
                taken,
                state,
                out: 0,
                untried: false,
            },
        );
    }

    /// Takes a transaction from one state to the next.
    pub(super) fn pass(&mut self, no: u64, to: State) {
        let Some(t) = self.held.get_mut(&no) else {
            return;
        };
        if t.state == State::Open {
            self.open -= 1;
            self.by_deadline
                .remove(&(t.taken.deadline.max(0.0).to_bits(), no));
        }
        t.state = to;
        if to == State::Over {
            self.wal.append_closed(no, &t.taken.id);
        }
        self.forget(no);
    }

    /// Takes the open transaction whose deadline is first out of the order, if that is before an instant.
    pub(super) fn take_due(&mut self, before: Millis) -> Option<u64> {
        let first = *self.by_deadline.first()?;
        (f64::from_bits(first.0) < before && self.by_deadline.remove(&first)).then_some(first.1)
    }

    pub(super) fn forget(&mut self, no: u64) {
        if self
            .held
            .get(&no)
            .is_some_and(|t| t.state == State::Over && t.out == 0)
            && let Some(t) = self.held.remove(&no)
        {
            self.numbers.remove(&t.taken.id);
        }
    }
}
