//! Reads files in the protobuf text format. A file is accepted as a whole or rejected. An error names the file, the
//! line and the field, and for an unknown name the nearest known one.

mod field_positions;
mod parse_errors;
#[cfg(test)]
mod tests;

use std::sync::LazyLock;

use field_positions::{FieldPosition, field_positions};
use prost_reflect::{DescriptorPool, DynamicMessage};

static SCHEMAS: LazyLock<DescriptorPool> = LazyLock::new(|| {
    let bytes = include_bytes!(concat!(env!("OUT_DIR"), "/descriptors.bin"));
    DescriptorPool::decode(&bytes[..]).expect("the build script encoded these descriptors")
});

/// An error in a file. `Display` is one line of text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}: {}{reason}", field_prefix(field))]
pub struct FieldError {
    /// The file's name, as the caller gave it.
    pub file: String,
    /// The line in the file, from 1.
    pub line: usize,
    /// The path of the field from the top level; empty if the error is before the first field.
    pub field: String,
    /// Why the file is rejected there, and which values are expected.
    pub reason: String,
}

fn field_prefix(field: &str) -> String {
    if field.is_empty() {
        String::new()
    } else {
        format!("{field}: ")
    }
}

/// A file that was read, with the positions of its fields for the errors of later checks.
#[derive(Debug)]
pub struct ParsedFile<T> {
    /// The message that the file contains.
    pub message: T,
    file: String,
    text: String,
    positions: Vec<FieldPosition>,
}

impl<T> ParsedFile<T> {
    /// An error of the field with this path (`clients.idle_ms`, `failure[1].part`). If the field is absent, the error
    /// is placed at its nearest parent in the file.
    pub fn field_error(&self, field: &str, reason: impl Into<String>) -> FieldError {
        FieldError {
            file: self.file.clone(),
            line: line_at(&self.text, self.offset_of(field)),
            field: field.into(),
            reason: reason.into(),
        }
    }

    /// The offset at which a field, or its nearest parent in the file, begins.
    fn offset_of(&self, field: &str) -> usize {
        let mut path = with_all_indices(field);
        loop {
            if let Some(position) = self.positions.iter().find(|p| p.path == path) {
                return position.offset;
            }
            match path.rfind('.') {
                Some(parent_end) => path.truncate(parent_end),
                None => return 0,
            }
        }
    }

    /// Checks that a field's value is within inclusive bounds.
    ///
    /// # Errors
    /// An error that names the field and the bounds.
    pub fn check_bounds(
        &self,
        field: &str,
        value: f64,
        min: f64,
        max: f64,
    ) -> Result<f64, FieldError> {
        if (min..=max).contains(&value) {
            return Ok(value);
        }
        Err(self.field_error(field, format!("{value} is not between {min} and {max}")))
    }
}

/// Adds the index `[0]` to each part of a path that has none: `a.b[1]` becomes `a[0].b[1]`.
fn with_all_indices(path: &str) -> String {
    let with_index = |part: &str| {
        if part.ends_with(']') {
            part.to_string()
        } else {
            format!("{part}[0]")
        }
    };
    let parts: Vec<String> = path.split('.').map(with_index).collect();
    parts.join(".")
}

/// Removes the indices that are 0 from a path, as a user would write it.
fn without_first_indices(path: &str) -> String {
    path.replace("[0]", "")
}

/// The line, from 1, of an offset into a text.
fn line_at(text: &str, offset: usize) -> usize {
    let before = text.bytes().take(offset);
    1 + before.filter(|byte| *byte == b'\n').count()
}

/// Reads the text of a file as the message of the schemas that has this full name (`martenlatch.settings.Settings`).
///
/// # Errors
/// The first error in the text.
///
/// # Panics
/// If the schemas have no message of that name, or it is not the message `T`.
pub fn read<T: prost::Message + Default>(
    file: &str,
    text: &str,
    message_name: &str,
) -> Result<ParsedFile<T>, FieldError> {
    let descriptor = SCHEMAS
        .get_message_by_name(message_name)
        .expect("the caller names a message of the schemas");
    let positions = field_positions(text);
    let dynamic = DynamicMessage::parse_text_format(descriptor.clone(), text)
        .map_err(|error| parse_errors::field_error(file, text, &descriptor, &positions, &error))?;
    let message = dynamic
        .transcode_to()
        .expect("the type and the descriptor are generated from one schema");
    Ok(ParsedFile {
        message,
        file: file.into(),
        text: text.into(),
        positions,
    })
}
