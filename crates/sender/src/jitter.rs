//! Owns chance in the network code: how far this sender's waits lie from those of others that met the same. It must never
//! shorten a wait that somebody told, and equal seeds give equal spreads.

use std::cell::RefCell;
use std::rc::Rc;

use martenlatch_clock::Millis;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// Draws from the sender's own seed. Clones share them.
#[derive(Clone)]
pub struct Jitter(Rc<RefCell<Pcg32>>);

impl Jitter {
    pub fn new(seed: u64) -> Jitter {
        Jitter(Rc::new(RefCell::new(Pcg32::seed_from_u64(seed))))
    }

    /// Any part of a span: for what many begin together.
    pub fn up_to(&self, span: Millis) -> Millis {
        span * self.0.borrow_mut().random_range(0.0..1.0)
    }

    /// A span within a quarter of this one: for a back-off of our own.
    pub fn around(&self, span: Millis) -> Millis {
        span * self.0.borrow_mut().random_range(0.75..1.25)
    }
}
