//! Processor time and memory of a process, read from `/proc`.

/// Indices of fields of `/proc/PID/stat`, from zero after the parenthesis that closes the process's name.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;
const RESIDENT_PAGES_FIELD: usize = 21;
/// The system counts processor time in hundredths of a second.
const MILLISECONDS_PER_TICK: f64 = 10.0;
const KIB_PER_PAGE: u64 = 4;

/// The resources that a process uses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceUsage {
    /// Total processor time so far, in milliseconds.
    pub cpu_ms: f64,
    /// Current resident memory, in KiB.
    pub memory_kb: u64,
}

impl ResourceUsage {
    /// The resource usage of a process; `None` if the process does not exist.
    pub fn of_process(process: u32) -> Option<ResourceUsage> {
        let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
        // The name may contain parentheses and spaces, so the fields are counted after the last closing parenthesis.
        let (_, after_name) = stat.rsplit_once(')')?;
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let user: f64 = fields.get(USER_TIME_FIELD)?.parse().ok()?;
        let system: f64 = fields.get(SYSTEM_TIME_FIELD)?.parse().ok()?;
        let pages: u64 = fields.get(RESIDENT_PAGES_FIELD)?.parse().ok()?;
        Some(ResourceUsage {
            cpu_ms: (user + system) * MILLISECONDS_PER_TICK,
            memory_kb: pages * KIB_PER_PAGE,
        })
    }
}
