//! Errors of the adapter. Every error message is one line.

use std::io;

use martenlatch_policy::interface::SettingsError;

/// Reason why the adapter stops.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// The input could not be read.
    #[error("line {number}: cannot be read: {source}")]
    Read {
        /// The line's number, from 1.
        number: usize,
        /// The system's error.
        source: io::Error,
    },
    /// An input line is invalid.
    #[error("line {number}: {source}: {excerpt}")]
    Line {
        /// The line's number, from 1.
        number: usize,
        /// The error in the line.
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

/// Error in an input line.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// A field is missing, or the line has another keyword than the expected one.
    #[error("expected {0}")]
    Missing(&'static str),
    /// The value of a field is not a number, or is out of range.
    #[error("expected a number for {0}")]
    NotANumber(&'static str),
    /// The value of a field is not one of the allowed values.
    #[error("expected {allowed} for {field}")]
    NotAllowed {
        /// The name of the field.
        field: &'static str,
        /// The allowed values.
        allowed: &'static str,
    },
    /// A line refers to an instance that was not opened, or that has been closed.
    #[error("no such instance is open")]
    UnknownInstance,
    /// An announcement refers to an endpoint list that was not received.
    #[error("no inventory with this Sheet was received")]
    UnknownList,
    /// A name is not in the settings.
    #[error("the settings have no {kind} {name:?}")]
    UnknownName {
        /// What the name refers to: a zone, a kind or a class.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// The settings of an instance cannot be read.
    #[error("{0}")]
    UnreadableSettings(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The settings of an instance make it poll for the endpoint list, which the adapter does not support.
    #[error("setting RegistryMode should be push: the adapter does not poll for the endpoint list")]
    PollingUnsupported,
    /// The decision module rejects the settings of an instance.
    #[error("{0}")]
    InvalidSettings(#[source] SettingsError),
}
