//! Readings of the system's clocks, and the clock state that earlier processes recorded.
//!
//! The wall clock may be stepped at any time, by seconds or by hours. The clock that counts from the machine's boot is
//! not affected by that: within one boot, the difference of two readings is the time that has passed. After a reboot
//! only the wall clock is left, which does not prove how much time has passed.

use std::time::{SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

use crate::Millis;

/// The file in which Linux provides the id of the current boot.
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";
const MILLIS_PER_SECOND: f64 = 1e3;
const NANOS_PER_MILLI: f64 = 1e6;

/// The id of a boot of the machine: a random number that the system chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BootId(pub u128);

impl BootId {
    /// The id of the current boot. `None` if the system does not provide it.
    pub fn current() -> Option<BootId> {
        let text = std::fs::read_to_string(BOOT_ID_FILE).ok()?;
        let digits: String = text.trim().split('-').collect();
        u128::from_str_radix(&digits, 16).ok().map(BootId)
    }
}

/// The system's clocks at one instant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClockReading {
    /// The current boot. `None` if the system does not provide its id.
    pub boot: Option<BootId>,
    /// Time since that boot, in milliseconds, including the time for which the system was suspended.
    pub since_boot: Millis,
    /// The wall clock, in milliseconds of Unix time.
    pub wall: Millis,
}

impl ClockReading {
    /// Reads the system's clocks.
    pub fn read() -> ClockReading {
        let since_boot = clock_gettime(ClockId::CLOCK_BOOTTIME);
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        ClockReading {
            boot: since_boot.ok().and_then(|_| BootId::current()),
            since_boot: since_boot.map_or(0.0, |time| {
                time.tv_sec() as f64 * MILLIS_PER_SECOND + time.tv_nsec() as f64 / NANOS_PER_MILLI
            }),
            wall: wall.as_secs_f64() * MILLIS_PER_SECOND,
        }
    }
}

/// The record of a process's clock, from which the next process continues.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Anchor {
    /// The boot during which the process ran.
    pub boot: BootId,
    /// The time since that boot at which the process's clock showed `clock`, in milliseconds.
    pub since_boot: Millis,
    /// The instant of the process's clock at `since_boot`.
    pub clock: Millis,
}

/// The clock state that earlier processes recorded.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClockHistory {
    /// The latest anchor. `None` if no process recorded one.
    pub anchor: Option<Anchor>,
    /// The latest instant that any of them recorded, or 0 if none did.
    pub latest_instant: Millis,
}

/// The start of a clock, and how its instants relate to those of earlier processes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClockStart {
    /// The instant at which it starts.
    pub instant: Millis,
    /// Whether the difference between an instant of this clock and one of an earlier process is the time that has
    /// passed. Otherwise it is only known that this time was not negative.
    pub is_continuous: bool,
}

impl ClockHistory {
    /// The start of the next process's clock, from the system's clocks at that time.
    pub fn continue_with(&self, reading: &ClockReading) -> ClockStart {
        let same_boot = self.anchor.filter(|anchor| {
            Some(anchor.boot) == reading.boot && reading.since_boot >= anchor.since_boot
        });
        match same_boot {
            Some(anchor) => ClockStart {
                instant: anchor.clock + (reading.since_boot - anchor.since_boot),
                is_continuous: true,
            },
            None => ClockStart {
                instant: reading.wall.max(self.latest_instant),
                is_continuous: *self == ClockHistory::default(),
            },
        }
    }
}
