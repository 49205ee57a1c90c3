//! Finds the position of each field in a text in the protobuf text format. The parser itself reports positions only for
//! its own errors.

use std::collections::BTreeMap;

/// The position at which a field begins.
#[derive(Debug)]
pub(super) struct FieldPosition {
    /// The field's path, in which each part has its index among the fields of that name: `failure[1].part[0]`.
    pub(super) path: String,
    /// The offset of the field's name in the text, in bytes.
    pub(super) offset: usize,
}

/// The positions of all fields in their order. If the text cannot be parsed, the list may be incomplete or wrong after
/// the error; the parser reports that error.
pub(super) fn field_positions(text: &str) -> Vec<FieldPosition> {
    let mut scanner = Scanner::new(text);
    while let Some(byte) = text.as_bytes().get(scanner.offset) {
        scanner.skip_token(*byte);
        scanner.skip_to_character();
    }
    scanner.positions
}

/// A message whose end has not been reached yet.
struct OpenMessage<'a> {
    /// Empty for the message of the whole text.
    path: String,
    /// The number of fields found so far, by name.
    counts: BTreeMap<&'a str, usize>,
}

impl OpenMessage<'_> {
    fn new(path: String) -> Self {
        OpenMessage {
            path,
            counts: BTreeMap::new(),
        }
    }
}

struct Scanner<'a> {
    text: &'a str,
    offset: usize,
    /// The messages that contain the offset, from the message of the whole text to the innermost one.
    open_messages: Vec<OpenMessage<'a>>,
    /// The path of the field found last.
    latest_path: String,
    /// Whether the next word is the value of a field.
    expects_value: bool,
    positions: Vec<FieldPosition>,
}

impl<'a> Scanner<'a> {
    fn new(text: &'a str) -> Scanner<'a> {
        Scanner {
            text,
            offset: 0,
            open_messages: vec![OpenMessage::new(String::new())],
            latest_path: String::new(),
            expects_value: false,
            positions: Vec::new(),
        }
    }

    /// Skips the token at the offset, which begins with this byte.
    fn skip_token(&mut self, first_byte: u8) {
        match first_byte {
            b'#' => self.skip_until(|c| c == '\n'),
            b'"' | b'\'' => self.skip_string(first_byte),
            b'{' | b'<' => self.open_message(),
            b'}' | b'>' => self.close_message(),
            b':' => {
                self.offset += 1;
                self.expects_value = true;
            }
            b'[' => self.skip_until(|c| c == ']'),
            _ if first_byte.is_ascii_alphabetic() || first_byte == b'_' => self.skip_word(),
            _ if first_byte.is_ascii_digit() || first_byte == b'-' || first_byte == b'.' => {
                self.skip_until(|c| !c.is_alphanumeric() && !".-+".contains(c));
                self.expects_value = false;
            }
            _ => self.offset += 1,
        }
    }

    /// Skips to the next character for which `is_end` is true, or to the end of the text.
    fn skip_until(&mut self, is_end: impl Fn(char) -> bool) {
        let rest = &self.text[self.offset..];
        self.offset += rest.find(is_end).unwrap_or(rest.len());
    }

    fn skip_string(&mut self, quote: u8) {
        let bytes = self.text.as_bytes();
        self.offset += 1;
        while let Some(byte) = bytes.get(self.offset)
            && *byte != quote
        {
            let is_escape = *byte == b'\\';
            self.offset += if is_escape { 2 } else { 1 };
        }
        self.offset += 1;
        self.expects_value = false;
    }

    fn open_message(&mut self) {
        self.open_messages
            .push(OpenMessage::new(self.latest_path.clone()));
        self.offset += 1;
        self.expects_value = false;
    }

    fn close_message(&mut self) {
        if self.open_messages.len() > 1 {
            self.open_messages.pop();
        }
        self.offset += 1;
    }

    /// Skips a word: the name of a field, unless it is the value of one.
    fn skip_word(&mut self) {
        let start = self.offset;
        self.skip_until(|c| !c.is_alphanumeric() && c != '_');
        if !self.expects_value {
            self.record_field(&self.text[start..self.offset], start);
        }
        self.expects_value = false;
    }

    fn record_field(&mut self, name: &'a str, offset: usize) {
        let Some(parent) = self.open_messages.last_mut() else {
            return;
        };
        let count = parent.counts.entry(name).or_insert(0);
        let separator = if parent.path.is_empty() { "" } else { "." };
        self.latest_path = format!("{}{separator}{name}[{count}]", parent.path);
        *count += 1;
        self.positions.push(FieldPosition {
            path: self.latest_path.clone(),
            offset,
        });
    }

    /// Moves the offset to the start of the next character if it is inside one.
    fn skip_to_character(&mut self) {
        while self.offset < self.text.len() && !self.text.is_char_boundary(self.offset) {
            self.offset += 1;
        }
    }
}
