//! Errors of the laboratory's runs, measurements and files.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

use martenlatch_clock::Millis;
use martenlatch_policy::interface::SettingsError;
use martenlatch_settings::text::FieldError;

/// How a sender's process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEnd {
    /// It exited with this code.
    Exited(i32),
    /// A signal terminated it.
    Signalled,
}

impl std::fmt::Display for ProcessEnd {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ProcessEnd::Exited(code) => write!(out, "with exit code {code}"),
            ProcessEnd::Signalled => out.write_str("by a signal"),
        }
    }
}

/// An error of the laboratory itself or of a program under test.
#[derive(Debug, thiserror::Error)]
pub enum LabError {
    /// The run was stopped from outside, for example by Ctrl-C.
    #[error("the run was stopped")]
    Stopped,
    /// The event loop cannot be created.
    #[error("cannot create the event loop: {0}")]
    EventLoop(#[source] calloop::Error),
    /// The event loop failed.
    #[error("the event loop failed: {0}")]
    Dispatch(#[source] calloop::Error),
    /// The text of an experiment is invalid.
    #[error("{0}")]
    Experiment(#[from] FieldError),
    /// The decision module rejects the settings of a variant.
    #[error("variant {variant:?}: {source}")]
    VariantSettings {
        /// The variant's name.
        variant: String,
        /// Why the settings are rejected.
        source: SettingsError,
    },
    /// The decision module rejects the settings of a measurement.
    #[error("{0}")]
    MeasurementSettings(#[source] SettingsError),
    /// The machine was too busy for the laboratory to act on time, in every attempt.
    #[error(
        "the machine is too busy: the laboratory itself was late in three attempts, in the last one by {late:.0} ms"
    )]
    MachineTooBusy {
        /// The lateness of the last attempt, in milliseconds.
        late: Millis,
    },
    /// A file or folder cannot be read or written.
    #[error("{}: {source}", .path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A file does not contain the expected JSON.
    #[error("{}: {source}", .path.display())]
    Json {
        /// The file.
        path: PathBuf,
        /// Why the text is invalid.
        source: serde_json::Error,
    },
    /// No temporary folder can be created.
    #[error("cannot create a temporary folder: {0}")]
    TemporaryFolder(#[source] io::Error),
    /// No port can be bound for an endpoint.
    #[error("cannot bind a port for an endpoint: {0}")]
    EndpointPort(#[source] io::Error),
    /// The library that makes system calls fail cannot be built.
    #[error("the library that makes system calls fail cannot be built: {0}")]
    BuildShim(String),
    /// The processes of a run use more than half of the machine's memory.
    #[error("the processes of the run use {used_kb} kB, more than half of the machine's memory")]
    TooMuchMemory {
        /// The memory that they use, in kB.
        used_kb: u64,
    },
    /// No port can be bound.
    #[error("cannot bind a port: {0}")]
    BindPort(#[source] io::Error),
    /// All ports of the range in which senders listen are in use.
    #[error("all ports for senders are in use at {0}")]
    NoFreePort(IpAddr),
    /// A socket cannot be registered with the event loop.
    #[error("cannot register a socket with the event loop: {0}")]
    RegisterSocket(#[source] io::Error),
    /// A sender wrote data to an endpoint that is not an HTTP request.
    #[error("a sender wrote data to endpoint {endpoint} that is not an HTTP request")]
    MalformedRequest {
        /// The endpoint's number.
        endpoint: u32,
    },
    /// An endpoint received a call for a message that no client submitted.
    #[error("endpoint {endpoint} received a call for a message that no client submitted")]
    UnknownMessage {
        /// The endpoint's number.
        endpoint: u32,
    },
    /// The body of a call differs from the body that the client submitted.
    #[error("endpoint {endpoint} received message {message} with a changed body")]
    AlteredMessage {
        /// The message's number.
        message: u64,
        /// The endpoint's number.
        endpoint: u32,
    },
    /// The platform cannot parse a status report.
    #[error("malformed status report: {line}")]
    MalformedReport {
        /// The line as received.
        line: String,
    },
    /// A status report is about a message that no client submitted.
    #[error("status report for a message that no client submitted: {line}")]
    UnknownReport {
        /// The line as received.
        line: String,
    },
    /// The program of a sender does not exist.
    #[error("{}: no such program; build it, or name another one in the variant", .0.display())]
    ProgramNotFound(PathBuf),
    /// A sender's process cannot be started.
    #[error("sender {name}: cannot start {}: {source}", .program.display())]
    StartSender {
        /// The sender's name.
        name: String,
        /// Its program.
        program: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A sender was started but did not become ready in time.
    #[error("sender {name} was not ready within {seconds} s{last_words}")]
    SenderNotReady {
        /// The sender's name.
        name: String,
        /// The time limit, in seconds.
        seconds: u64,
        /// The last line of its error output after a colon, or empty if there is none.
        last_words: String,
    },
    /// A sender's process ended without being asked to.
    #[error("sender {name} ended {end}{last_words}")]
    SenderEnded {
        /// The sender's name.
        name: String,
        /// How it ended.
        end: ProcessEnd,
        /// The last line of its error output after a colon, or empty if there is none.
        last_words: String,
    },
    /// The limit on a sender's file size cannot be set.
    #[error("cannot limit the file size of a sender: prlimit: {0}")]
    FileSizeLimit(String),
    /// The sender's process ended before its measurement.
    #[error("the sender ended before its measurement")]
    SenderEndedBeforeMeasurement,
    /// A program ended during its measurement.
    #[error("the program under test ended during its measurement")]
    ProgramEnded,
    /// The load generator cannot connect to the program under test.
    #[error("cannot connect to {to}: {source}")]
    Connect {
        /// The program's address.
        to: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The program under test closed a connection that was still in use.
    #[error("{0} closed a connection that was still in use")]
    ClosedUnderLoad(SocketAddr),
    /// A process cannot be bound to a core.
    #[error("process {process} cannot be bound to one core: {source}")]
    PinToCore {
        /// The process's number.
        process: u32,
        /// The error of the operating system.
        source: nix::Error,
    },
    /// The path of the laboratory's own program cannot be determined.
    #[error("cannot find the laboratory's own program: {0}")]
    OwnProgram(#[source] io::Error),
    /// The baseline relay cannot be started.
    #[error("cannot start the baseline relay: {0}")]
    StartRelay(#[source] io::Error),
    /// The baseline relay was started but does not listen.
    #[error("the baseline relay does not listen")]
    RelayNotListening,
    /// The baseline relay cannot serve at its address.
    #[error("the baseline relay cannot serve at {listen}: {source}")]
    Relay {
        /// The address.
        listen: SocketAddr,
        /// The error of the operating system.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}

impl LabError {
    /// Converts the error of reading or writing a file or folder.
    pub fn file(path: &Path) -> impl FnOnce(io::Error) -> LabError {
        let path = path.to_path_buf();
        move |source| LabError::File { path, source }
    }

    /// Converts the error of parsing or writing the JSON of a file.
    pub fn json(path: &Path) -> impl FnOnce(serde_json::Error) -> LabError {
        let path = path.to_path_buf();
        move |source| LabError::Json { path, source }
    }
}
