//! Splits the text of a watch into JSON objects, each of which may be indented over several lines.

/// Collects the lines of an object until all its brackets are closed, or an empty line says that nothing more of it
/// will come.
#[derive(Default)]
pub(super) struct JsonObjectFramer {
    /// What has come of the current object.
    text: Vec<u8>,
    nesting: Nesting,
}

/// How deep the bytes so far end within an object.
#[derive(Default)]
struct Nesting {
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl Nesting {
    fn push(&mut self, byte: u8) {
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' if self.in_string => self.escaped = true,
            b'"' => self.in_string = !self.in_string,
            _ if self.in_string => {}
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
    }
}

impl JsonObjectFramer {
    /// Takes the next bytes, and adds the objects that they complete, empty lines included. An object that an empty
    /// line cuts off is added as far as it came.
    pub fn push(&mut self, bytes: &[u8], objects: &mut Vec<Vec<u8>>) {
        for part in bytes.split_inclusive(|byte| *byte == b'\n') {
            let at_line_start = self.text.last().is_none_or(|byte| *byte == b'\n');
            let empty_line = at_line_start && part.trim_ascii().is_empty();
            self.text.extend(part);
            part.iter().for_each(|byte| self.nesting.push(*byte));
            if part.ends_with(b"\n") && (self.nesting.depth == 0 || empty_line) {
                self.nesting = Nesting::default();
                objects.push(std::mem::take(&mut self.text));
            }
        }
    }

    /// The size of the object that is not complete yet, in bytes.
    pub fn pending_bytes(&self) -> usize {
        self.text.len()
    }
}
