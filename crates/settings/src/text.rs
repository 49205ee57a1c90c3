//! Owns the reading of protobuf text files: whole or not at all, every fault with file, line, field and reason, an
//! unknown name with the nearest known one. It must never guess at what a file means, or take a part of one.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::LazyLock;

use miette::Diagnostic;
use prost_reflect::{DescriptorPool, DynamicMessage, Kind, MessageDescriptor};

static POOL: LazyLock<DescriptorPool> = LazyLock::new(|| {
    let bytes = include_bytes!(concat!(env!("OUT_DIR"), "/descriptors.bin"));
    DescriptorPool::decode(&bytes[..]).expect("the build wrote these descriptors")
});

/// What is wrong with a file: one line of text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The file's name, as it was given.
    pub file: String,
    /// Its line, from 1.
    pub line: usize,
    /// The field, by its path from the top; empty where no field has begun.
    pub field: String,
    /// What is wrong, and what would not be.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault {
            file,
            line,
            field,
            reason,
        } = self;
        if field.is_empty() {
            return write!(f, "{file}:{line}: {reason}");
        }
        write!(f, "{file}:{line}: {field}: {reason}")
    }
}

impl std::error::Error for Fault {}

/// One field in the text: its path with the place among its like (`failure[1].part[0]`), and where it begins.
#[derive(Debug)]
struct Place {
    path: String,
    at: usize,
}

/// A message that has been read, with the places of its fields for what is checked afterwards.
#[derive(Debug)]
pub struct Read<T> {
    /// The message.
    pub message: T,
    file: String,
    text: String,
    places: Vec<Place>,
}

impl<T> Read<T> {
    /// A fault of a field that was read, named by its path (`clients.idle_ms`, `failure[1].part`). One that is
    /// absent is placed at its nearest parent.
    pub fn fault(&self, field: &str, reason: impl Into<String>) -> Fault {
        let mut path = indexed(field);
        let at = loop {
            if let Some(place) = self.places.iter().find(|p| p.path == path) {
                break place.at;
            }
            match path.rfind('.') {
                Some(end) => path.truncate(end),
                None => break 0,
            }
        };
        fault(&self.file, &self.text, at, field, reason.into())
    }

    /// Checks that a number lies within bounds, ends included.
    ///
    /// # Errors
    /// The fault that names the field and the bounds.
    pub fn within(&self, field: &str, value: f64, least: f64, most: f64) -> Result<f64, Fault> {
        if (least..=most).contains(&value) {
            return Ok(value);
        }
        Err(self.fault(field, format!("{value} is not within {least} and {most}")))
    }
}

/// `a.b[1]` with every place written out: `a[0].b[1]`.
fn indexed(field: &str) -> String {
    let part = |p: &str| {
        if p.ends_with(']') {
            p.to_string()
        } else {
            format!("{p}[0]")
        }
    };
    field.split('.').map(part).collect::<Vec<_>>().join(".")
}

/// A path as a person writes it: first places are not named.
fn plain(path: &str) -> String {
    path.replace("[0]", "")
}

fn fault(file: &str, text: &str, at: usize, field: &str, reason: String) -> Fault {
    let line = 1 + text.bytes().take(at).filter(|b| *b == b'\n').count();
    Fault {
        file: file.into(),
        line,
        field: field.into(),
        reason,
    }
}

/// Reads a file's text as a message of the schemas, by its full name (`martenlatch.settings.Settings`).
///
/// # Errors
/// The first fault of the text.
///
/// # Panics
/// Where no schema has a message of that name.
pub fn read<T: prost::Message + Default>(
    file: &str,
    text: &str,
    name: &str,
) -> Result<Read<T>, Fault> {
    let descriptor = POOL
        .get_message_by_name(name)
        .expect("a message of the schemas");
    let places = places(text);
    match DynamicMessage::parse_text_format(descriptor.clone(), text) {
        Ok(dynamic) => {
            let message = dynamic.transcode_to().expect("one schema made both types");
            Ok(Read {
                message,
                file: file.into(),
                text: text.into(),
                places,
            })
        }
        Err(e) => {
            let spans = e.labels().and_then(|mut labels| labels.next());
            let at = spans.map_or(text.len(), |label| label.offset());
            let path = places
                .iter()
                .rev()
                .find(|p| p.at <= at)
                .map_or("", |p| p.path.as_str());
            let reason = match unknown(&descriptor, path, &text[at.min(text.len())..]) {
                Some(reason) => reason,
                None => e.to_string(),
            };
            Err(fault(file, text, at, &plain(path), reason))
        }
    }
}

/// The reason for a name that the schema does not have, with the nearest one that it has.
fn unknown(top: &MessageDescriptor, path: &str, rest: &str) -> Option<String> {
    let word: String = rest
        .chars()
        .take_while(|c| c.is_alphanumeric() || *c == '_')
        .collect();
    if word.is_empty() {
        return None;
    }
    let mut names = path
        .split('.')
        .map(|p| p.split('[').next().unwrap_or(p))
        .peekable();
    let mut message = top.clone();
    while let Some(name) = names.next() {
        let Some(field) = message.get_field_by_name(name) else {
            let known: Vec<String> = message.fields().map(|f| f.name().to_string()).collect();
            return Some(format!("no such field{}", nearest(&word, &known)));
        };
        match field.kind() {
            Kind::Message(inner) if names.peek().is_some() => message = inner,
            Kind::Enum(kind) if kind.get_value_by_name(&word).is_none() && word != name => {
                let known: Vec<String> = kind.values().map(|v| v.name().to_string()).collect();
                return Some(format!("{word:?} is not one of {}", known.join(", ")));
            }
            _ => return None,
        }
    }
    None
}

fn nearest(word: &str, known: &[String]) -> String {
    let near = known
        .iter()
        .min_by_key(|k| strsim::damerau_levenshtein(word, k));
    near.map_or(String::new(), |n| format!("; the nearest is {n:?}"))
}

/// Every field in a text, in its order. Text that cannot be read ends the list: its reader says so.
fn places(text: &str) -> Vec<Place> {
    let bytes = text.as_bytes();
    let (mut found, mut at) = (Vec::new(), 0);
    // The open messages, each with how many of a name it has had so far.
    let mut open: Vec<(String, BTreeMap<&str, usize>)> = vec![(String::new(), BTreeMap::new())];
    let (mut last, mut value) = (String::new(), false);
    while at < bytes.len() {
        match bytes[at] {
            b'#' => at += text[at..].find('\n').unwrap_or(text.len() - at),
            quote @ (b'"' | b'\'') => {
                at += 1;
                while at < bytes.len() && bytes[at] != quote {
                    at += 1 + usize::from(bytes[at] == b'\\');
                }
                (at, value) = (at + 1, false);
            }
            b'{' | b'<' => {
                open.push((last.clone(), BTreeMap::new()));
                (at, value) = (at + 1, false);
            }
            b'}' | b'>' => {
                if open.len() > 1 {
                    open.pop();
                }
                at += 1;
            }
            b':' => (at, value) = (at + 1, true),
            b'[' => at += text[at..].find(']').unwrap_or(text.len() - at),
            b if b.is_ascii_alphabetic() || b == b'_' => {
                let length = text[at..].find(|c: char| !c.is_alphanumeric() && c != '_');
                let word = &text[at..at + length.unwrap_or(text.len() - at)];
                if !value && let Some((parent, seen)) = open.last_mut() {
                    let count = seen.entry(word).or_insert(0);
                    let dot = if parent.is_empty() { "" } else { "." };
                    last = format!("{parent}{dot}{word}[{count}]");
                    *count += 1;
                    found.push(Place {
                        path: last.clone(),
                        at,
                    });
                }
                (at, value) = (at + word.len(), false);
            }
            b if b.is_ascii_digit() || b == b'-' || b == b'.' => {
                let length = text[at..].find(|c: char| !c.is_alphanumeric() && !".-+".contains(c));
                (at, value) = (at + length.unwrap_or(text.len() - at), false);
            }
            _ => at += 1,
        }
        while at < bytes.len() && !text.is_char_boundary(at) {
            at += 1;
        }
    }
    found
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::schema::settings::Settings;

    fn fault_of(text: &str) -> String {
        read::<Settings>("f", text, "martenlatch.settings.Settings")
            .unwrap_err()
            .to_string()
    }

    #[test]
    fn faults_name_file_line_field_and_the_nearest_known_name() {
        let cases = [
            (
                "log {\n  levle: INFO\n}",
                "f:2: log.levle: no such field; the nearest is \"level\"",
            ),
            (
                "\n\nclientz {}",
                "f:3: clientz: no such field; the nearest is \"clients\"",
            ),
            (
                "log {\n level: LOUD }",
                "f:2: log.level: \"LOUD\" is not one of UNSET, ERROR, WARN, INFO, DEBUG",
            ),
            (
                "# a \"{\nclients {\n idle_ms: \"x\" }",
                "f:3: clients.idle_ms: expected",
            ),
            (
                "log { level: INFO\n level: WARN }",
                "f:2: log.level[1]: 'level' is already set",
            ),
            ("log {\n level: INFO\n", "f:3: log.level: expected"),
            (
                "log { lines_per_second: -1 }",
                "f:1: log.lines_per_second: expected",
            ),
            ("log: \u{e9}", "f:1: log: "),
        ];
        for (text, want) in cases {
            let got = fault_of(text);
            assert!(got.starts_with(want), "{text:?} gave {got}");
        }
    }

    #[test]
    fn what_is_checked_later_is_placed_too() {
        let text = "log { }\nclients {\n  request_ms: 5\n}";
        let read = read::<Settings>("f", text, "martenlatch.settings.Settings").unwrap();
        let fault = read
            .within("clients.request_ms", 5.0, 100.0, 2900.0)
            .unwrap_err();
        assert_eq!(
            fault.to_string(),
            "f:3: clients.request_ms: 5 is not within 100 and 2900"
        );
        assert_eq!(
            read.fault("clients.idle_ms", "absent").line,
            2,
            "at its parent"
        );
    }
}
