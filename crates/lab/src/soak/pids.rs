//! The ids of the senders' processes.

use std::sync::atomic::{AtomicBool, AtomicI32, Ordering};

/// The ids of the processes, for clients that kill one right behind a 202.
pub struct Pids {
    pids: Vec<AtomicI32>,
    kill_armed: Vec<AtomicBool>,
}

impl Pids {
    /// No process runs yet.
    pub fn new(senders: usize) -> Pids {
        Pids {
            pids: (0..senders).map(|_| AtomicI32::new(0)).collect(),
            kill_armed: (0..senders).map(|_| AtomicBool::new(false)).collect(),
        }
    }

    /// The process to kill, if one is to be killed right behind the next 202. It is given once.
    pub fn take_kill_target(&self, sender: usize) -> Option<i32> {
        let armed = self.kill_armed[sender].swap(false, Ordering::SeqCst);
        let pid = self.pids[sender].load(Ordering::SeqCst);
        (armed && pid > 0).then_some(pid)
    }

    /// Has the process killed right behind the next 202.
    pub fn arm_kill(&self, sender: usize) {
        self.kill_armed[sender].store(true, Ordering::SeqCst);
    }

    /// The process that runs now; 0 if none does.
    pub fn set(&self, sender: usize, pid: i32) {
        self.kill_armed[sender].store(false, Ordering::SeqCst);
        self.pids[sender].store(pid, Ordering::SeqCst);
    }
}
