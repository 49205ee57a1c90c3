//! Random variation of wait times, so that senders that are affected by the same fault do not all retry at the same
//! time.
//!
//! Only the waits that the sender chooses itself may be varied in both directions; a wait that the other side requested
//! (Retry-After) must never be shortened. Equal seeds give equal sequences.

use std::cell::RefCell;
use std::rc::Rc;

use martenlatch_clock::Millis;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// A seeded random source of wait times. Clones share the same sequence.
#[derive(Clone)]
pub struct Jitter(Rc<RefCell<Pcg32>>);

impl Jitter {
    /// Starts the sequence of this seed.
    pub fn new(seed: u64) -> Jitter {
        Jitter(Rc::new(RefCell::new(Pcg32::seed_from_u64(seed))))
    }

    /// A uniformly distributed duration from 0 to the given one: for actions that many senders begin at the same time.
    pub fn up_to(&self, duration: Millis) -> Millis {
        duration * self.0.borrow_mut().random_range(0.0..1.0)
    }

    /// A uniformly distributed duration within 25% of the given one: for backoff.
    pub fn around(&self, duration: Millis) -> Millis {
        duration * self.0.borrow_mut().random_range(0.75..1.25)
    }
}
