//! What can go wrong in the laboratory's runs, measurements and files.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

use martenlatch_clock::Millis;
use martenlatch_policy::interface::SettingsError;
use martenlatch_settings::text::FieldError;

/// How a sender's process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEnd {
    /// By itself, with an exit code.
    Exited(i32),
    /// On a signal.
    Signalled,
}

impl std::fmt::Display for ProcessEnd {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ProcessEnd::Exited(code) => write!(out, "with exit code {code}"),
            ProcessEnd::Signalled => out.write_str("on a signal"),
        }
    }
}

/// A failure of the laboratory itself, or of a program under test.
#[derive(Debug, thiserror::Error)]
pub enum LabError {
    /// The run was stopped from outside.
    #[error("stopped")]
    Stopped,
    /// The event loop could not be made.
    #[error("no event loop: {0}")]
    EventLoop(#[source] calloop::Error),
    /// The event loop broke off.
    #[error("the loop failed: {0}")]
    Dispatch(#[source] calloop::Error),
    /// An experiment's text is wrong.
    #[error("{0}")]
    Experiment(#[from] FieldError),
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
    /// A file's text is not the JSON that was expected.
    #[error("{}: {source}", .path.display())]
    Json {
        /// The file.
        path: PathBuf,
        /// What is wrong with the text.
        source: serde_json::Error,
    },
    /// No temporary folder can be made.
    #[error("no temporary folder: {0}")]
    TemporaryFolder(#[source] io::Error),
    /// No port can be bound for an endpoint.
    #[error("no port for an endpoint: {0}")]
    EndpointPort(#[source] io::Error),
    /// The library that makes system calls fail cannot be built.
    #[error("the library that makes system calls fail cannot be built: {0}")]
    BuildShim(String),
    /// The processes of a run take too much memory.
    #[error("the processes take {used_kb} kB, over half of the machine's memory")]
    TooMuchMemory {
        /// What they take.
        used_kb: u64,
    },
    /// No port can be bound.
    #[error("no port: {0}")]
    Port(#[source] io::Error),
    /// All ports of the range that senders listen in are taken.
    #[error("no free port at {0}")]
    NoFreePort(IpAddr),
    /// The event loop does not take a socket.
    #[error("no socket: {0}")]
    Register(#[source] io::Error),
    /// A sender wrote what is no HTTP request to an endpoint.
    #[error("a sender wrote what is no request to endpoint {endpoint}")]
    NoRequest {
        /// The endpoint's number.
        endpoint: u32,
    },
    /// An endpoint was called for a message that no client handed in.
    #[error("a call for a message that nobody handed in came to endpoint {endpoint}")]
    UnknownMessage {
        /// The endpoint's number.
        endpoint: u32,
    },
    /// A call does not carry the bytes that its message was handed in with.
    #[error("message {message} came changed to endpoint {endpoint}")]
    AlteredMessage {
        /// The message's number.
        message: u64,
        /// The endpoint's number.
        endpoint: u32,
    },
    /// The platform cannot read a status report.
    #[error("a notice that cannot be read: {line}")]
    MalformedReport {
        /// The line as it came.
        line: String,
    },
    /// A status report is about a message that no client handed in.
    #[error("a notice for a message that nobody handed in: {line}")]
    UnknownReport {
        /// The line as it came.
        line: String,
    },
    /// The program of a sender is not there.
    #[error("{}: no such program; build it, or name one in the variant", .0.display())]
    NoProgram(PathBuf),
    /// A sender's process cannot be started.
    #[error("sender {name}: {}: {source}", .program.display())]
    StartSender {
        /// The sender's name.
        name: String,
        /// Its program.
        program: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A sender was started and does not serve.
    #[error("sender {name} was not ready within {seconds} s{last_words}")]
    SenderNotReady {
        /// The sender's name.
        name: String,
        /// How long it had.
        seconds: u64,
        /// The last line of its error output, behind a colon, if there is one.
        last_words: String,
    },
    /// A sender's process ended unasked.
    #[error("sender {name} ended {end}{last_words}")]
    SenderEnded {
        /// The sender's name.
        name: String,
        /// How it ended.
        end: ProcessEnd,
        /// The last line of its error output, behind a colon, if there is one.
        last_words: String,
    },
    /// The limit on a sender's file size cannot be set.
    #[error("prlimit: {0}")]
    FileSizeLimit(String),
    /// The sender's process is gone before its measurement.
    #[error("the sender has ended")]
    SenderGone,
    /// A program ended while it was measured.
    #[error("the program under test has ended")]
    ProgramEnded,
    /// The load has no connection to the program under test.
    #[error("no connection to {to}: {source}")]
    Connect {
        /// The program's address.
        to: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The program under test closed a connection that still had work.
    #[error("{0} closed a connection under load")]
    ClosedUnderLoad(SocketAddr),
    /// A process cannot be bound to a core.
    #[error("process {process} cannot be put on one core: {source}")]
    PinToCore {
        /// The process's number.
        process: u32,
        /// What the system said.
        source: nix::Error,
    },
    /// The laboratory's own program cannot be found.
    #[error("{0}")]
    OwnProgram(#[source] io::Error),
    /// The baseline relay cannot be started.
    #[error("relay: {0}")]
    StartRelay(#[source] io::Error),
    /// The baseline relay was started and does not listen.
    #[error("relay: it does not listen")]
    RelayNotListening,
    /// The baseline relay cannot serve at its address.
    #[error("relay: {listen}: {source}")]
    Relay {
        /// The address.
        listen: SocketAddr,
        /// What the system said.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}

impl LabError {
    /// The error of a file or folder that cannot be read or written.
    pub fn file(path: &Path) -> impl FnOnce(io::Error) -> LabError {
        let path = path.to_path_buf();
        move |source| LabError::File { path, source }
    }

    /// The error of a file whose text is not the JSON that was expected.
    pub fn json(path: &Path) -> impl FnOnce(serde_json::Error) -> LabError {
        let path = path.to_path_buf();
        move |source| LabError::Json { path, source }
    }
}
