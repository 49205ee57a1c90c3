//! Owns what the stages share: the transactions that are not over, by number and by id. It must never lose one that
//! the ledger holds, nor keep one that is over and has no routed task out.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use martenlatch_ledger::{Ledger, Taken};

use crate::counters::Counters;

#[derive(Clone, Copy, PartialEq)]
pub enum State {
    Open,
    /// Its notice is on the way.
    Ending,
    Over,
}

/// A transaction that we have taken on.
pub struct Transaction {
    pub(super) taken: Taken,
    pub(super) state: State,
    /// Routed tasks without an outcome.
    pub(super) out: u32,
}

/// What the stages share: the transactions that are not over.
pub struct Desk {
    pub(super) held: BTreeMap<u64, Transaction>,
    pub(super) numbers: HashMap<Rc<str>, u64>,
    pub(super) open: usize,
    pub(super) next: u64,
    pub(super) ledger: Ledger,
    pub(super) counters: Counters,
}

impl Desk {
    pub(super) fn insert(&mut self, taken: Taken, state: State) {
        self.numbers.insert(taken.id.clone(), taken.no);
        self.open += usize::from(state == State::Open);
        self.held.insert(taken.no, Transaction { taken, state, out: 0 });
    }

    /// Takes a transaction from one state to the next.
    pub(super) fn pass(&mut self, no: u64, to: State) {
        let Some(t) = self.held.get_mut(&no) else { return };
        self.open -= usize::from(t.state == State::Open);
        t.state = to;
        if to == State::Over {
            self.ledger.over(no, &t.taken.id);
        }
        self.forget(no);
    }

    pub(super) fn forget(&mut self, no: u64) {
        if self.held.get(&no).is_some_and(|t| t.state == State::Over && t.out == 0)
            && let Some(t) = self.held.remove(&no)
        {
            self.numbers.remove(&t.taken.id);
        }
    }
}
