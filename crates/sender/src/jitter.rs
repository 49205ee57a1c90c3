//! Random variation of wait times, so that senders that met the same fault do not all retry at the same time.
//!
//! Only waits that the sender chose itself are varied freely; one that a peer asked for (Retry-After) must never be
//! shortened. Equal seeds give equal sequences.

use std::cell::RefCell;
use std::rc::Rc;

use martenlatch_clock::Millis;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// A seeded source of wait times. Clones draw from the same sequence.
#[derive(Clone)]
pub struct Jitter(Rc<RefCell<Pcg32>>);

impl Jitter {
    /// Starts the sequence of a seed.
    pub fn new(seed: u64) -> Jitter {
        Jitter(Rc::new(RefCell::new(Pcg32::seed_from_u64(seed))))
    }

    /// A uniform part of a duration, from 0 up to all of it: for actions that many senders begin at the same time.
    pub fn up_to(&self, duration: Millis) -> Millis {
        duration * self.0.borrow_mut().random_range(0.0..1.0)
    }

    /// A duration within a quarter of the given one, to either side: for backoff.
    pub fn around(&self, duration: Millis) -> Millis {
        duration * self.0.borrow_mut().random_range(0.75..1.25)
    }
}
