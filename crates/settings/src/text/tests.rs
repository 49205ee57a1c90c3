//! The errors that the text reader reports.

use super::*;
use crate::schema::settings::Settings;

fn error_of(text: &str) -> String {
    read::<Settings>("f", text, "martenlatch.settings.Settings")
        .unwrap_err()
        .to_string()
}

#[test]
fn errors_name_file_line_field_and_the_nearest_known_name() {
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
            "f:2: log.level: \"LOUD\" is not one of UNSET, ERROR, WARN, INFO, DEBUG, TRACE",
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
    for (text, expected) in cases {
        let error = error_of(text);
        assert!(error.starts_with(expected), "{text:?} gave {error}");
    }
}

#[test]
fn errors_of_later_checks_name_the_line_of_the_field() {
    let text = "log { }\nclients {\n  request_ms: 5\n}";
    let file = read::<Settings>("f", text, "martenlatch.settings.Settings").unwrap();
    let error = file
        .check_bounds("clients.request_ms", 5.0, 100.0, 2900.0)
        .unwrap_err();
    assert_eq!(
        error.to_string(),
        "f:3: clients.request_ms: 5 is not between 100 and 2900"
    );
    assert_eq!(
        file.field_error("clients.idle_ms", "absent").line,
        2,
        "an absent field's error is at its parent"
    );
}
