//! The log: its format, its level, and a limit on the lines per second.
//!
//! The limit keeps a repeated fault from filling the pipe and stalling the sender. A line that cannot be written is
//! dropped, so that the sender keeps running if nobody reads the log.

use std::io::Write;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use martenlatch_settings::program::LogSettings;
use martenlatch_settings::schema::settings::log::Level;
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Prefix of the names of this workspace's crates.
const OWN_CRATE_PREFIX: &str = "martenlatch";

/// Limits the lines that are written per second.
struct RateLimit {
    lines_per_second: u32,
    start: Instant,
    window: Mutex<Window>,
}

/// The counts of the current second.
#[derive(Default)]
struct Window {
    /// Seconds since the start.
    second: u64,
    /// Lines that were written in this second.
    written: u32,
    /// Lines that were held back in this second.
    held_back: u32,
}

/// Whether a line is written, and what has to be written before it.
#[derive(Debug, PartialEq)]
struct Admission {
    /// Whether the line is written.
    admitted: bool,
    /// Lines that were held back in an earlier second, to be reported before this line.
    held_back_before: u32,
}

impl RateLimit {
    fn new(lines_per_second: u32) -> RateLimit {
        RateLimit {
            lines_per_second,
            start: Instant::now(),
            window: Mutex::new(Window::default()),
        }
    }

    /// Decides whether to write a line that is logged in the given second since the start.
    fn admit(&self, second: u64) -> Admission {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let mut held_back_before = 0;
        if window.second != second {
            held_back_before = window.held_back;
            *window = Window {
                second,
                ..Window::default()
            };
        }
        let admitted = window.written < self.lines_per_second;
        if admitted {
            window.written += 1;
        } else {
            window.held_back += 1;
        }
        Admission {
            admitted,
            held_back_before,
        }
    }
}

impl<'a> MakeWriter<'a> for RateLimit {
    type Writer = LineWriter;

    fn make_writer(&'a self) -> LineWriter {
        let admission = self.admit(self.start.elapsed().as_secs());
        if admission.held_back_before > 0 {
            let line = format!("log held back lines={}\n", admission.held_back_before);
            let _ = std::io::stdout().write_all(line.as_bytes());
        }
        LineWriter {
            admitted: admission.admitted,
        }
    }
}

/// Writes one line to the standard output, or drops it if it is over the limit.
struct LineWriter {
    admitted: bool,
}

impl Write for LineWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if self.admitted {
            // One write per line, so that the lines of two threads are not interleaved.
            let _ = std::io::stdout().write_all(bytes);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Starts the log for the life of the process. A second call changes nothing.
pub fn start(log: &LogSettings) {
    let builder = tracing_subscriber::fmt()
        .with_max_level(level_filter(log.level))
        .with_target(false)
        .with_ansi(false)
        .with_writer(RateLimit::new(log.lines_per_second));
    let targets = targets(log.level);
    // The only possible error is that the log has already been started.
    let _ = if log.json {
        builder
            .json()
            .flatten_event(true)
            .with_current_span(false)
            .finish()
            .with(targets)
            .try_init()
    } else {
        builder.finish().with(targets).try_init()
    };
}

/// The level for each crate. Libraries are not logged at TRACE, as the event loop alone would fill the log.
fn targets(level: Level) -> Targets {
    let level = level_filter(level);
    Targets::new()
        .with_default(level.min(LevelFilter::DEBUG))
        .with_target(OWN_CRATE_PREFIX, level)
}

fn level_filter(level: Level) -> LevelFilter {
    match level {
        Level::Error => LevelFilter::ERROR,
        Level::Warn => LevelFilter::WARN,
        Level::Debug => LevelFilter::DEBUG,
        Level::Trace => LevelFilter::TRACE,
        Level::Info | Level::Unset => LevelFilter::INFO,
    }
}

#[cfg(test)]
mod tests;
