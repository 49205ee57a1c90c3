//! The lines that the two processes exchange.
//!
//! The successor sends `martenlatch VERSION LISTEN`. The serving process answers `no REASON`, or `yes BYTES
//! DESCRIPTORS` followed by the state. The successor commits with `taken`. Every line ends with a newline.

use std::net::SocketAddr;

/// Version of the protocol and of the transferred state. A process can only be replaced by one with the same version.
pub const VERSION: u32 = 1;

/// Maximum length of a line in bytes.
pub(crate) const MAX_LINE_BYTES: usize = 256;
/// Maximum size of a state in bytes.
pub(crate) const MAX_STATE_BYTES: usize = 256 << 20;
/// Maximum number of descriptors of a state.
pub(crate) const MAX_DESCRIPTORS: usize = 4_096;
/// The line that commits a transfer.
pub(crate) const COMMIT: &[u8] = b"taken\n";

/// The first word of a request.
const PROGRAM: &str = "martenlatch";
const REFUSED_PREFIX: &str = "no ";
const ACCEPTED_PREFIX: &str = "yes ";

/// A successor's request to replace the serving process.
#[derive(Clone, Debug, PartialEq)]
pub struct TakeoverRequest {
    /// The protocol version of the successor.
    pub version: u32,
    /// The address where the successor's clients connect.
    pub listen: SocketAddr,
}

impl TakeoverRequest {
    pub(crate) fn encode(&self) -> String {
        format!("{PROGRAM} {} {}\n", self.version, self.listen)
    }

    /// Decodes a line that includes its newline. `None` if it is not a request.
    pub(crate) fn decode(line: &[u8]) -> Option<TakeoverRequest> {
        let line = std::str::from_utf8(line).ok()?.strip_suffix('\n')?;
        let mut words = line.split(' ');
        let program = words.next()?;
        let version = words.next()?.parse().ok()?;
        let listen = words.next()?.parse().ok()?;
        let well_formed = program == PROGRAM && words.next().is_none();
        well_formed.then_some(TakeoverRequest { version, listen })
    }
}

/// The serving process's answer to a request.
#[derive(Debug, PartialEq)]
pub(crate) enum Answer {
    /// The process refuses to be replaced, for this reason.
    Refused(String),
    /// The state follows, with these sizes.
    Accepted { bytes: usize, descriptors: usize },
}

impl Answer {
    pub(crate) fn encode(&self) -> String {
        match self {
            Answer::Refused(reason) => format!("{REFUSED_PREFIX}{reason}\n"),
            Answer::Accepted { bytes, descriptors } => {
                format!("{ACCEPTED_PREFIX}{bytes} {descriptors}\n")
            }
        }
    }

    /// Decodes a line without its newline. `None` if it is not an answer, or announces a state that is too large.
    pub(crate) fn decode(line: &[u8]) -> Option<Answer> {
        let line = String::from_utf8_lossy(line);
        if let Some(reason) = line.strip_prefix(REFUSED_PREFIX) {
            return Some(Answer::Refused(reason.to_string()));
        }
        let (bytes, descriptors) = line.strip_prefix(ACCEPTED_PREFIX)?.split_once(' ')?;
        let bytes: usize = bytes.parse().ok()?;
        let descriptors: usize = descriptors.parse().ok()?;
        let within_limits = bytes <= MAX_STATE_BYTES && descriptors <= MAX_DESCRIPTORS;
        within_limits.then_some(Answer::Accepted { bytes, descriptors })
    }
}

#[cfg(test)]
mod tests;
