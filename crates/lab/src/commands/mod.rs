//! What the commands do. Errors become one line each, at the edge of the program.

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

/// What a command has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conclusion {
    /// Every rule was kept, or none was judged.
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

/// An error as its text alone.
fn report(error: impl Display) -> Report {
    Report::msg(error.to_string())
}

/// The error of a file or folder.
fn file_report<E: Display>(path: &Path) -> impl FnOnce(E) -> Report {
    let path = path.to_path_buf();
    move |error| Report::msg(format!("{}: {error}", path.display()))
}

/// Where the shipped experiments are: beside the working folder, or where the laboratory was built.
fn shipped_experiments() -> PathBuf {
    let here = PathBuf::from("lab/experiments");
    if here.is_dir() {
        here
    } else {
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../../lab/experiments")
    }
}
