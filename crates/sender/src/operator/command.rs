//! The operators' line protocol: one command and one answer per connection.

use std::fmt::Display;

/// Maximum length of a line in bytes, without its line ending.
pub(super) const MAX_LINE_BYTES: usize = 512;
/// Length of the longest line ending, `\r\n`, in bytes.
const MAX_LINE_END_BYTES: usize = 2;
/// Maximum number of characters of an unknown command that the answer repeats.
const MAX_ECHOED_CHARACTERS: usize = 40;

/// A command of an operator.
#[derive(Debug, PartialEq)]
pub enum OperatorCommand {
    /// Reports whether this process accepts clients.
    Health,
    /// Returns the metrics.
    Counters,
    /// Takes the endpoint that discovery lists under this id out of service.
    Cordon(String),
    /// Puts an endpoint back into service.
    Uncordon(String),
}

/// Why a line is not a command. The operator receives the text.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum CommandError {
    /// The line is longer than [`MAX_LINE_BYTES`].
    #[error("the line is over {MAX_LINE_BYTES} bytes")]
    TooLong,
    /// The line is not valid UTF-8.
    #[error("the line is not UTF-8")]
    NotUtf8,
    /// The line contains no word.
    #[error("an empty line; health, counters, cordon ID and uncordon ID are known")]
    Empty,
    /// The first word is not a command. Contains the start of the word, escaped.
    #[error("unknown call {0}; health, counters, cordon ID and uncordon ID are known")]
    Unknown(String),
    /// The command needs the id of an endpoint.
    #[error("{0} wants the id of an endpoint")]
    MissingId(String),
    /// The command is followed by more words than it takes.
    #[error("{0} was given more than it takes")]
    ExtraWords(String),
}

impl OperatorCommand {
    /// Parses the first line of `input`. Returns `None` while it is incomplete; at the end of the input it is complete
    /// without a line ending.
    pub(super) fn parse_first_line(
        input: &[u8],
        end_of_input: bool,
    ) -> Option<Result<OperatorCommand, CommandError>> {
        let max_length = MAX_LINE_BYTES + MAX_LINE_END_BYTES;
        let line_feed = input
            .iter()
            .take(max_length)
            .position(|byte| *byte == b'\n');
        let line = match line_feed {
            Some(end) => &input[..end],
            None if input.len() >= max_length => return Some(Err(CommandError::TooLong)),
            None if end_of_input => input,
            None => return None,
        };
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.len() > MAX_LINE_BYTES {
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
        let command = match name {
            "health" => OperatorCommand::Health,
            "counters" => OperatorCommand::Counters,
            "cordon" => OperatorCommand::Cordon(endpoint_id()?),
            "uncordon" => OperatorCommand::Uncordon(endpoint_id()?),
            other => return Err(CommandError::Unknown(escaped_start(other))),
        };
        if words.next().is_some() {
            return Err(CommandError::ExtraWords(name.to_string()));
        }
        Ok(command)
    }
}

fn escaped_start(text: &str) -> String {
    text.chars()
        .take(MAX_ECHOED_CHARACTERS)
        .flat_map(char::escape_default)
        .collect()
}

/// Formats the answer to a command: the text of a success, which includes its line ending, or the reason for a failure.
pub fn format_answer(answer: Result<String, impl Display>) -> String {
    match answer {
        Ok(text) => format!("ACK {text}"),
        Err(reason) => format!("NAK {reason}\n"),
    }
}
