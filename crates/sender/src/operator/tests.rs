//! How lines are read as calls.

use super::command::MAX_LINE;
use super::*;

#[test]
fn every_line_has_one_meaning_however_it_ends_and_bad_ones_are_told_why() {
    let cordon = |id: &str| Ok(OperatorCommand::Cordon(id.into()));
    for (text, end_of_input, want) in [
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
        let call = OperatorCommand::parse_first_line(text.as_bytes(), end_of_input);
        assert_eq!(call, want, "{text:?}");
    }
    let long = "x".repeat(MAX_LINE + 2);
    for (text, word) in [
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
            .expect_err("the line is no call")
            .to_string();
        assert!(reason.contains(word) && !reason.contains('\n'), "{reason}");
    }
}
