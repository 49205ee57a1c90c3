//! The process ids of the senders.

use std::sync::atomic::{AtomicBool, AtomicI32, Ordering};

/// The process ids of the senders, for clients that kill a sender immediately after a 202.
pub struct Pids {
    pids: Vec<AtomicI32>,
    kill_armed: Vec<AtomicBool>,
}

impl Pids {
    /// The state before any process runs.
    pub fn new(senders: usize) -> Pids {
        Pids {
            pids: (0..senders).map(|_| AtomicI32::new(0)).collect(),
            kill_armed: (0..senders).map(|_| AtomicBool::new(false)).collect(),
        }
    }

    /// The process to kill, if [`Pids::arm_kill`] was called for its sender. Returned only once.
    pub fn take_kill_target(&self, sender: usize) -> Option<i32> {
        let armed = self.kill_armed[sender].swap(false, Ordering::SeqCst);
        let pid = self.pids[sender].load(Ordering::SeqCst);
        (armed && pid > 0).then_some(pid)
    }

    /// Makes the client that receives the sender's next 202 kill its process.
    pub fn arm_kill(&self, sender: usize) {
        self.kill_armed[sender].store(true, Ordering::SeqCst);
    }

    /// Sets the running process of a sender, 0 for none, and cancels a kill that was armed.
    pub fn set(&self, sender: usize, pid: i32) {
        self.kill_armed[sender].store(false, Ordering::SeqCst);
        self.pids[sender].store(pid, Ordering::SeqCst);
    }
}
