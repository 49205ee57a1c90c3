//! Tests of splitting a text into JSON objects.

use super::super::object_framer::JsonObjectFramer;

/// The objects of a text that comes in pieces of a size.
fn objects(text: &str, size: usize) -> Vec<String> {
    let mut framer = JsonObjectFramer::default();
    let mut objects = Vec::new();
    for piece in text.as_bytes().chunks(size) {
        framer.push(piece, &mut objects);
    }
    let text = |bytes| String::from_utf8(bytes).unwrap();
    objects.into_iter().map(text).collect()
}

#[test]
fn objects_end_with_their_last_bracket_or_at_an_empty_line_however_the_text_is_cut() {
    let text = "{\"a\":1}\n{\n \"b\": \"}\\\"\"\n}\n\n{\"cut off\"\n\n[2]\nrest";
    let expected = [
        "{\"a\":1}\n",
        "{\n \"b\": \"}\\\"\"\n}\n",
        "\n",
        "{\"cut off\"\n\n",
        "[2]\n",
    ];
    for size in 1..=text.len() {
        assert_eq!(objects(text, size), expected, "in pieces of {size}");
    }
}
