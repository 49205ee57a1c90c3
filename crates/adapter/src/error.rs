//! What can go wrong while the adapter serves. Every message is one line.

use std::io;

use martenlatch_policy::interface::SettingsError;

/// Why the adapter stopped.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// The input could not be read.
    #[error("line {number}: not readable: {source}")]
    Read {
        /// The line's number, from 1.
        number: usize,
        /// The system's error.
        source: io::Error,
    },
    /// A line was read that does not fit.
    #[error("line {number}: {source}: {excerpt}")]
    Line {
        /// The line's number, from 1.
        number: usize,
        /// What is wrong with it.
        source: LineError,
        /// The start of the line.
        excerpt: String,
    },
    /// The output could not be written.
    #[error("cannot write the reply: {0}")]
    Write(#[source] io::Error),
    /// The input ended before the batch did.
    #[error("the input ended inside a batch: expected end")]
    UnfinishedBatch,
}

/// What is wrong with an input line.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// A field or a keyword is missing, or the keyword is another one.
    #[error("expected {0}")]
    Missing(&'static str),
    /// The value of a field is not a number, or not one in range.
    #[error("expected a number for {0}")]
    NotANumber(&'static str),
    /// The value of a field is none of those that are allowed.
    #[error("expected {allowed} for {field}")]
    NotAllowed {
        /// The name of the field.
        field: &'static str,
        /// The allowed values.
        allowed: &'static str,
    },
    /// A line names an instance that was not opened, or that has been closed.
    #[error("no such instance was opened")]
    UnknownInstance,
    /// An announcement names an endpoint list that was never sent.
    #[error("no inventory has this Sheet")]
    UnknownList,
    /// A name does not occur in the settings.
    #[error("the settings name no {kind} {name:?}")]
    UnknownName {
        /// What is named: a zone, a kind or a class.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// The settings of an instance cannot be read.
    #[error("{0}")]
    UnreadableSettings(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The settings of an instance make it poll for the endpoint list, which the adapter cannot do.
    #[error("setting RegistryMode should be push: nothing here asks for the list")]
    PollingUnsupported,
    /// The decision module does not accept the settings of an instance.
    #[error("{0}")]
    InvalidSettings(#[source] SettingsError),
}
