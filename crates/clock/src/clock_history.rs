//! The system's clocks, and what an earlier process wrote of them.
//!
//! The wall clock may be stepped at any time, by seconds or by hours. The clock that counts from the machine's boot runs
//! on: on the same boot its difference is the time that has passed. After a reboot only the wall clock is left, which
//! proves nothing.

use std::time::{SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

use crate::Millis;

/// Where Linux gives the id of the present boot.
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";
const MILLIS_PER_SECOND: f64 = 1e3;
const NANOS_PER_MILLI: f64 = 1e6;

/// The id of a boot of the machine: a random number that the system chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BootId(pub u128);

impl BootId {
    /// The id of the present boot; none where the system does not tell.
    pub fn current() -> Option<BootId> {
        let text = std::fs::read_to_string(BOOT_ID_FILE).ok()?;
        let digits: String = text.trim().split('-').collect();
        u128::from_str_radix(&digits, 16).ok().map(BootId)
    }
}

/// What the system's clocks say at one instant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClockReading {
    /// The present boot; none where the system does not tell.
    pub boot: Option<BootId>,
    /// Time since that boot, in milliseconds; suspended time counts.
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

/// What a process writes down of its clock, so that the next process can go on with it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Anchor {
    /// The boot.
    pub boot: BootId,
    /// Time since that boot, in milliseconds...
    pub since_boot: Millis,
    /// ...when the process's clock stood at this instant.
    pub clock: Millis,
}

/// What earlier processes left of their clock.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClockHistory {
    /// The anchor of the latest of them; none if none wrote any.
    pub anchor: Option<Anchor>,
    /// The latest instant that any of them wrote; 0 if there is none.
    pub latest_instant: Millis,
}

/// Where a clock starts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClockStart {
    /// The instant at which it starts.
    pub instant: Millis,
    /// Its instants are as far from those of earlier processes as the time that has passed. Otherwise nothing is known
    /// of that time but that it was not negative.
    pub is_continuous: bool,
}

impl ClockHistory {
    /// Where the clock of the next process starts.
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
