//! The commands of the program. Each error is reported as one line.

pub mod compare;
pub mod judge;
pub mod list;
pub mod members;
pub mod relay;
pub mod roof;
pub mod run;
pub mod soak;
pub mod turns;

use std::fmt::Display;
use std::path::{Path, PathBuf};

use miette::Report;

/// The conclusion of a command, which determines the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conclusion {
    /// Every rule was kept, or the command does not judge rules.
    RulesKept,
    /// A rule was broken.
    RuleBroken,
}

impl Conclusion {
    fn of(rules_kept: bool) -> Conclusion {
        if rules_kept {
            Conclusion::RulesKept
        } else {
            Conclusion::RuleBroken
        }
    }
}

/// Converts an error to a report of its text alone.
fn report(error: impl Display) -> Report {
    Report::msg(error.to_string())
}

/// Converts the error of a file or folder to a report that starts with its path.
fn file_report<E: Display>(path: &Path) -> impl FnOnce(E) -> Report {
    let path = path.to_path_buf();
    move |error| Report::msg(format!("{}: {error}", path.display()))
}

/// The folder of the shipped experiments: `lab/experiments` in the working folder if it exists, otherwise in the source
/// tree from which the laboratory was built.
fn shipped_experiments() -> PathBuf {
    let local = PathBuf::from("lab/experiments");
    if local.is_dir() {
        local
    } else {
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../../lab/experiments")
    }
}
