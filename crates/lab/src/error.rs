//! What can go wrong in the laboratory's runs, measurements and files.

use std::io;
use std::path::{Path, PathBuf};

use martenlatch_clock::Millis;
use martenlatch_policy::interface::SettingsError;
use martenlatch_settings::text::Fault;

/// A failure of the laboratory itself, or of a program under test.
#[derive(Debug, thiserror::Error)]
pub enum LabError {
    /// The run was stopped from outside.
    #[error("stopped")]
    Stopped,
    /// An experiment's text is wrong.
    #[error("{0}")]
    Experiment(#[from] Fault),
    /// The decision module rejects the settings that a variant leads to.
    #[error("variant {variant:?}: {source}")]
    VariantSettings {
        /// The variant's name.
        variant: String,
        /// What is wrong with the settings.
        source: SettingsError,
    },
    /// The decision module rejects the settings of a measurement.
    #[error("{0}")]
    MeasurementSettings(#[source] SettingsError),
    /// The machine was too busy for the laboratory to keep its own times, however often it tried.
    #[error(
        "the machine is too busy: three times the laboratory itself was late, at last by {late:.0} ms"
    )]
    MachineTooBusy {
        /// How late the laboratory was the last time, in milliseconds.
        late: Millis,
    },
    /// A file or folder cannot be read or written.
    #[error("{}: {source}", .path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A failure of a part that reports by its text alone.
    #[error("{0}")]
    Other(String),
}

impl LabError {
    /// The error of a file or folder that cannot be read or written.
    pub fn file(path: &Path) -> impl FnOnce(io::Error) -> LabError {
        let path = path.to_path_buf();
        move |source| LabError::File { path, source }
    }
}
