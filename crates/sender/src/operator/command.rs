//! The operators' line protocol: one call a connection, one answer.

use std::fmt::Display;

/// Longest line in bytes, without its line end.
pub(super) const MAX_LINE: usize = 512;
/// Longest line end, `\r\n`, in bytes.
const MAX_LINE_END: usize = 2;
/// Most characters of an unknown call that are repeated in the answer.
const MAX_SHOWN: usize = 40;

/// What an operator asks for.
#[derive(Debug, PartialEq)]
pub enum OperatorCommand {
    /// Whether this process takes clients.
    Health,
    /// The counters.
    Counters,
    /// Take an endpoint out of use, by the id that discovery lists it by.
    Cordon(String),
    /// Put an endpoint back into use.
    Uncordon(String),
}

/// Why a line is no call. The text is sent to the caller.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum CommandError {
    /// The line is longer than [`MAX_LINE`].
    #[error("the line is over {MAX_LINE} bytes")]
    TooLong,
    /// The line is not text.
    #[error("the line is not UTF-8")]
    NotUtf8,
    /// The line holds no word.
    #[error("an empty line; health, counters, cordon ID and uncordon ID are known")]
    Empty,
    /// The first word is no call. Holds its start, escaped.
    #[error("unknown call {0}; health, counters, cordon ID and uncordon ID are known")]
    Unknown(String),
    /// The call needs the id of an endpoint.
    #[error("{0} wants the id of an endpoint")]
    MissingId(String),
    /// There are words behind the call.
    #[error("{0} was given more than it takes")]
    ExtraWords(String),
}

impl OperatorCommand {
    /// Parses the first line of `input`, or returns `None` while it is incomplete. At the end of the input, a line needs
    /// no line end.
    pub(super) fn parse_first_line(
        input: &[u8],
        end_of_input: bool,
    ) -> Option<Result<OperatorCommand, CommandError>> {
        let longest = MAX_LINE + MAX_LINE_END;
        let line_feed = input.iter().take(longest).position(|byte| *byte == b'\n');
        let line = match line_feed {
            Some(end) => &input[..end],
            None if input.len() >= longest => return Some(Err(CommandError::TooLong)),
            None if end_of_input => input,
            None => return None,
        };
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.len() > MAX_LINE {
            return Some(Err(CommandError::TooLong));
        }
        Some(OperatorCommand::parse(line))
    }

    fn parse(line: &[u8]) -> Result<OperatorCommand, CommandError> {
        let text = std::str::from_utf8(line).map_err(|_| CommandError::NotUtf8)?;
        let mut words = text.split_ascii_whitespace();
        let name = words.next().ok_or(CommandError::Empty)?;
        let mut endpoint_id = || match words.next() {
            Some(id) => Ok(id.to_string()),
            None => Err(CommandError::MissingId(name.to_string())),
        };
        let call = match name {
            "health" => OperatorCommand::Health,
            "counters" => OperatorCommand::Counters,
            "cordon" => OperatorCommand::Cordon(endpoint_id()?),
            "uncordon" => OperatorCommand::Uncordon(endpoint_id()?),
            other => return Err(CommandError::Unknown(escaped_start(other))),
        };
        if words.next().is_some() {
            return Err(CommandError::ExtraWords(name.to_string()));
        }
        Ok(call)
    }
}

fn escaped_start(text: &str) -> String {
    text.chars()
        .take(MAX_SHOWN)
        .flat_map(char::escape_default)
        .collect()
}

/// Formats the answer to a call: the text of a success, which brings its own line end, or the reason of a failure.
pub fn format_answer(answer: Result<String, impl Display>) -> String {
    match answer {
        Ok(text) => format!("ACK {text}"),
        Err(reason) => format!("NAK {reason}\n"),
    }
}
