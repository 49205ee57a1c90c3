//! Tests of splitting text into JSON objects.

use super::super::object_framer::JsonObjectFramer;

/// Splits a text that is received in pieces of `piece_size` bytes into objects.
fn split_objects(text: &str, piece_size: usize) -> Vec<String> {
    let mut framer = JsonObjectFramer::default();
    let mut objects = Vec::new();
    for piece in text.as_bytes().chunks(piece_size) {
        framer.push(piece, &mut objects);
    }
    let to_text = |bytes| String::from_utf8(bytes).unwrap();
    objects.into_iter().map(to_text).collect()
}

#[test]
fn objects_end_at_their_last_bracket_or_at_an_empty_line_for_any_piece_size() {
    let text = "{\"a\":1}\n{\n \"b\": \"}\\\"\"\n}\n\n{\"cut off\"\n\n[2]\nrest";
    let expected = [
        "{\"a\":1}\n",
        "{\n \"b\": \"}\\\"\"\n}\n",
        "\n",
        "{\"cut off\"\n\n",
        "[2]\n",
    ];
    for piece_size in 1..=text.len() {
        assert_eq!(
            split_objects(text, piece_size),
            expected,
            "in pieces of {piece_size}"
        );
    }
}
