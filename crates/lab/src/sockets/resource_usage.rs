//! What a process has used of the machine, from the system's tables.

/// The place of a field of `/proc/PID/stat` behind the bracket that ends the process's name.
const USER_TIME: usize = 11;
const SYSTEM_TIME: usize = 12;
const RESIDENT_PAGES: usize = 21;
/// The system counts processor time in hundredths of a second.
const MILLISECONDS_PER_TICK: f64 = 10.0;
const KIB_PER_PAGE: u64 = 4;

/// What a process has used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceUsage {
    /// Processor time in milliseconds, in all.
    pub cpu_ms: f64,
    /// Memory now, in KiB.
    pub memory_kb: u64,
}

impl ResourceUsage {
    /// What a process has used; none where it is gone.
    pub fn of_process(process: u32) -> Option<ResourceUsage> {
        let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
        // The name may hold anything; what is behind its bracket does not.
        let (_, behind_name) = stat.rsplit_once(')')?;
        let fields: Vec<&str> = behind_name.split_whitespace().collect();
        let user: f64 = fields.get(USER_TIME)?.parse().ok()?;
        let system: f64 = fields.get(SYSTEM_TIME)?.parse().ok()?;
        let pages: u64 = fields.get(RESIDENT_PAGES)?.parse().ok()?;
        Some(ResourceUsage {
            cpu_ms: (user + system) * MILLISECONDS_PER_TICK,
            memory_kb: pages * KIB_PER_PAGE,
        })
    }
}
