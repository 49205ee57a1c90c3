//! Owns the log: its form, its levels and how much of it may be written. It must never stall the sender because
//! nobody reads it, and never bring it down.

use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

use martenlatch_settings::program::Log;
use martenlatch_settings::schema::settings::log::Level;
use tracing_subscriber::filter::LevelFilter;
use tracing_subscriber::fmt::MakeWriter;

/// What may be written in a second: a fault that repeats must not stall the loop on a full pipe.
struct Bound {
    most: u32,
    start: Instant,
    /// The present second, lines in it, and lines held back.
    state: Mutex<(u64, u32, u32)>,
}

impl Bound {
    /// Whether a line may be written now, and how many were held back before it.
    fn pass(&self, second: u64) -> (bool, u32) {
        let mut state = self.state.lock().unwrap_or_else(|e| e.into_inner());
        let mut told = 0;
        if state.0 != second {
            told = std::mem::take(&mut state.2);
            (state.0, state.1) = (second, 0);
        }
        let pass = state.1 < self.most;
        state.1 += u32::from(pass);
        state.2 += u32::from(!pass);
        (pass, told)
    }
}

struct Line {
    pass: bool,
}

impl Write for Line {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if self.pass {
            // One write a line, so that the lines of two writers do not mix. One that fails is dropped.
            let _ = std::io::stdout().write_all(bytes);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Bound {
    type Writer = Line;

    fn make_writer(&'a self) -> Line {
        let (pass, held) = self.pass(self.start.elapsed().as_secs());
        if held > 0 {
            let _ = std::io::stdout().write_all(format!("log held back lines={held}\n").as_bytes());
        }
        Line { pass }
    }
}

/// Starts the log for the life of the process.
pub fn start(log: &Log) {
    let level = match log.level {
        Level::Error => LevelFilter::ERROR,
        Level::Warn => LevelFilter::WARN,
        Level::Debug => LevelFilter::DEBUG,
        Level::Info | Level::Unset => LevelFilter::INFO,
    };
    let bound = Bound {
        most: log.lines_per_second,
        start: Instant::now(),
        state: Mutex::new((0, 0, 0)),
    };
    let lines = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_target(false)
        .with_ansi(false);
    let lines = lines.with_writer(bound);
    // A second start in one process keeps the first log.
    let _ = if log.json {
        lines
            .json()
            .flatten_event(true)
            .with_current_span(false)
            .try_init()
    } else {
        lines.try_init()
    };
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_over_the_bound_are_held_back_and_told_in_the_next_second() {
        let bound = Bound {
            most: 2,
            start: Instant::now(),
            state: Mutex::new((0, 0, 0)),
        };
        let passed: Vec<(bool, u32)> = (0..5).map(|_| bound.pass(7)).collect();
        assert_eq!(passed.iter().filter(|(pass, _)| *pass).count(), 2);
        assert_eq!((bound.pass(8), bound.pass(8)), ((true, 3), (true, 0)));
    }
}
