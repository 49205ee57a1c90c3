//! Parsing of operators' lines.

use super::command::MAX_LINE_BYTES;
use super::*;

#[test]
fn a_command_is_parsed_with_any_line_ending_and_an_invalid_line_yields_the_reason() {
    let cordon = |id: &str| Ok(OperatorCommand::Cordon(id.into()));
    for (text, end_of_input, expected) in [
        ("health\n", false, Some(Ok(OperatorCommand::Health))),
        ("counters\r\n", false, Some(Ok(OperatorCommand::Counters))),
        ("health", false, None),
        ("health", true, Some(Ok(OperatorCommand::Health))),
        ("cordon s-1\nhealth\n", false, Some(cordon("s-1"))),
        (" cordon  s-1 \r\n", false, Some(cordon("s-1"))),
        (
            "uncordon s-1",
            true,
            Some(Ok(OperatorCommand::Uncordon("s-1".into()))),
        ),
    ] {
        let command = OperatorCommand::parse_first_line(text.as_bytes(), end_of_input);
        assert_eq!(command, expected, "{text:?}");
    }
    let long = "x".repeat(MAX_LINE_BYTES + 2);
    for (text, expected_words) in [
        (&b"\n"[..], "empty"),
        (b"HEALTH\n", "unknown call HEALTH"),
        (b"cordon\n", "wants the id"),
        (b"health now\n", "more than it takes"),
        (b"cordon a b\n", "more than it takes"),
        (b"\xff\xfe\n", "UTF-8"),
        (long.as_bytes(), "over 512 bytes"),
        (&[long.as_bytes(), b"\n"].concat(), "over 512 bytes"),
    ] {
        let reason = OperatorCommand::parse_first_line(text, false)
            .expect("the line is complete")
            .expect_err("the line is not a command")
            .to_string();
        assert!(
            reason.contains(expected_words) && !reason.contains('\n'),
            "{reason}"
        );
    }
}
