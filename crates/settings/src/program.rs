//! Owns the sender's own settings: their defaults and their bounds. It must never take a file in part.

use crate::schema::settings::{Settings, log};
use crate::text::{self, Fault};

/// How the log is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Log {
    /// JSON objects in place of `key=value` lines.
    pub json: bool,
    /// What is less grave is not written.
    pub level: log::Level,
    /// Most lines a second.
    pub lines_per_second: u32,
}

/// How long clients may take, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Clients {
    /// For a whole request, the first counted from its connection.
    pub request_ms: f64,
    /// Between two requests.
    pub idle_ms: f64,
}

/// The sender's own settings, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Program {
    /// How the log is written.
    pub log: Log,
    /// How long clients may take.
    pub clients: Clients,
}

impl Default for Program {
    fn default() -> Program {
        Program {
            log: Log { json: false, level: log::Level::Info, lines_per_second: 100 },
            clients: Clients { request_ms: 2_400.0, idle_ms: 6_000.0 },
        }
    }
}

/// Reads the text of a settings file; `file` names it in faults.
///
/// # Errors
/// The first fault, of form or of bounds.
pub fn read(file: &str, text: &str) -> Result<Program, Fault> {
    let read = text::read::<Settings>(file, text, "martenlatch.settings.Settings")?;
    let mut program = Program::default();
    if let Some(log) = &read.message.log {
        program.log.json = log.format() == log::Format::Json;
        if log.level() != log::Level::Unset {
            program.log.level = log.level();
        }
        if let Some(lines) = log.lines_per_second {
            read.within("log.lines_per_second", lines.into(), 1.0, 10_000.0)?;
            program.log.lines_per_second = lines;
        }
    }
    if let Some(clients) = &read.message.clients {
        // An error or a close is owed within 3 s of connecting.
        if let Some(ms) = clients.request_ms {
            program.clients.request_ms = read.within("clients.request_ms", ms, 100.0, 2_900.0)?;
        }
        if let Some(ms) = clients.idle_ms {
            program.clients.idle_ms = read.within("clients.idle_ms", ms, 500.0, 3_600_000.0)?;
        }
    }
    Ok(program)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_shipped_file_says_the_defaults_and_bounds_hold() {
        let shipped = include_str!("../../../deploy/settings.textproto");
        assert_eq!(read("shipped", shipped), Ok(Program::default()));
        assert_eq!(read("empty", ""), Ok(Program::default()));
        let fault = read("f", "clients { request_ms: nan }").unwrap_err();
        assert_eq!(fault.to_string(), "f:1: clients.request_ms: NaN is not within 100 and 2900");
    }
}
