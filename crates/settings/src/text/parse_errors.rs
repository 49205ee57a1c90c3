//! Converts an error of the protobuf text parser to one that names the field, and that suggests a known name for an
//! unknown one.

use miette::Diagnostic;
use prost_reflect::text_format::ParseError;
use prost_reflect::{Kind, MessageDescriptor};

use super::field_positions::FieldPosition;
use super::{FieldError, line_at, without_first_indices};

/// Converts the error that the parser found in a text.
pub(super) fn field_error(
    file: &str,
    text: &str,
    descriptor: &MessageDescriptor,
    positions: &[FieldPosition],
    error: &ParseError,
) -> FieldError {
    let label = error.labels().and_then(|mut labels| labels.next());
    let offset = label.map_or(text.len(), |label| label.offset());
    let mut preceding = positions.iter().rev();
    let path = preceding
        .find(|position| position.offset <= offset)
        .map_or("", |position| position.path.as_str());
    let rest = &text[offset.min(text.len())..];
    let reason = unknown_name_reason(descriptor, path, rest).unwrap_or_else(|| error.to_string());
    FieldError {
        file: file.into(),
        line: line_at(text, offset),
        field: without_first_indices(path),
        reason,
    }
}

/// The reason, if the error is a field or an enum value that the schema does not define. `path` is the path of the
/// field at the error, and `rest` is the text from the error on.
fn unknown_name_reason(descriptor: &MessageDescriptor, path: &str, rest: &str) -> Option<String> {
    let word = first_word(rest);
    if word.is_empty() {
        return None;
    }
    let mut names = path.split('.').map(without_index).peekable();
    let mut message = descriptor.clone();
    while let Some(name) = names.next() {
        let Some(field) = message.get_field_by_name(name) else {
            return Some(unknown_field_reason(word, &message));
        };
        match field.kind() {
            Kind::Message(inner) if names.peek().is_some() => message = inner,
            Kind::Enum(kind) if kind.get_value_by_name(word).is_none() && word != name => {
                let known: Vec<String> = kind.values().map(|v| v.name().to_string()).collect();
                return Some(format!("{word:?} is not one of {}", known.join(", ")));
            }
            _ => return None,
        }
    }
    None
}

/// The name in a part of a path: `part` for `part[1]`.
fn without_index(part: &str) -> &str {
    part.split('[').next().unwrap_or(part)
}

fn first_word(text: &str) -> &str {
    let end = text.find(|c: char| !c.is_alphanumeric() && c != '_');
    &text[..end.unwrap_or(text.len())]
}

fn unknown_field_reason(word: &str, message: &MessageDescriptor) -> String {
    let known = message.fields().map(|field| field.name().to_string());
    let nearest = known.min_by_key(|name| strsim::damerau_levenshtein(word, name));
    match nearest {
        Some(nearest) => format!("no such field; the nearest is {nearest:?}"),
        None => "no such field".to_string(),
    }
}
