//! Splits the text of a watch into JSON objects, each of which may span several lines.

/// Collects the lines of an object until all its brackets are closed or an empty line ends it.
#[derive(Default)]
pub(super) struct JsonObjectFramer {
    /// The bytes of the current object so far.
    text: Vec<u8>,
    nesting: Nesting,
}

/// The bracket nesting at the end of the bytes read so far.
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
    /// Reads the next bytes and adds the objects that they complete to `objects`. An empty line between objects is
    /// added as an object of its own. An incomplete object that an empty line ends is added as it is.
    pub fn push(&mut self, bytes: &[u8], objects: &mut Vec<Vec<u8>>) {
        for line in bytes.split_inclusive(|byte| *byte == b'\n') {
            let at_line_start = self.text.last().is_none_or(|byte| *byte == b'\n');
            let empty_line = at_line_start && line.trim_ascii().is_empty();
            self.text.extend(line);
            line.iter().for_each(|byte| self.nesting.push(*byte));
            if line.ends_with(b"\n") && (self.nesting.depth == 0 || empty_line) {
                self.nesting = Nesting::default();
                objects.push(std::mem::take(&mut self.text));
            }
        }
    }

    /// The size of the current, incomplete object, in bytes.
    pub fn pending_bytes(&self) -> usize {
        self.text.len()
    }
}
