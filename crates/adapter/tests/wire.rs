//! Tests of the adapter's process: input batches and their replies.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"Areas":["a","b"],"Zone":"a","Balancers":1,"Kinds":["k"],"NewKey":3,"Categories":[{"Name":"c","Target":1000000000,"Deadline":8000000000,"Effect":"pure","Worth":1,"LateWorth":0.1}],"FamilyInfo":{"CallsOut":4,"LosesWorth":"halving"},"Limits":{"OpenCap":20,"AttemptsCap":4,"Cancel":true,"SecondCopies":true,"ConnectTimeout":1000000000},"Guarantees":{"StopSendingWithin":250000000,"GraceToAnswer":20000000,"OverloadFactor":2,"OverloadFor":2000000000,"ColdFrom":0.2,"Cold":10000000000}}"#;

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_martenlatch-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child
        .stdin
        .take()
        .unwrap()
        .write_all(input.as_bytes())
        .unwrap();
    child.wait_with_output().unwrap()
}

fn first_batch_lines() -> String {
    let list = "inventory 0 1\nentry r1 a k 7 on 1 -\nannounce 0 0 cached 1\n";
    format!("frame 1000 1\nopen_instance 0 5 {SETTINGS}\n{list}")
}

#[test]
fn a_message_is_sent_and_its_outcome_is_accepted() {
    let request = "new_request 0 c:1 0 7 0 - c 8000001000 -\nend\n";
    let outcome = "frame 50001000 2\nfinished 0 c:1 0 r1 success 50000000 1 - -\nend\n";
    let output = run(&format!(
        "frame 5 0\nend\n{}{request}{outcome}",
        first_batch_lines()
    ));
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success());
    assert!(text.starts_with("eor 0\ndeliver 0 c:1 "), "{text}");
    assert!(
        text.contains(" r1\n") && text.ends_with("eor 2\n"),
        "{text}"
    );
}

#[test]
fn an_invalid_line_ends_the_process_with_an_error_that_names_the_line() {
    for (invalid_line, expected) in [
        ("reminder x 1\n", "Who"),
        ("nonsense 0\n", "expected an event"),
        ("finished 0 c:1 0 r1 odd 5 1 - -\n", "expected an outcome"),
        ("reminder 4 1\n", "no such instance"),
        ("announce 0 9 full 1\n", "Sheet"),
    ] {
        let output = run(&format!("{}{invalid_line}end\n", first_batch_lines()));
        let text = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success(), "{invalid_line}");
        assert!(
            text.contains("line 6") && text.contains(expected) && text.lines().count() == 1,
            "{text}"
        );
    }
}

#[test]
fn a_missing_setting_ends_the_process_with_an_error_that_names_the_setting() {
    let output = run(&first_batch_lines().replace("\"OpenCap\":20,", ""));
    assert!(!output.status.success());
    assert!(
        String::from_utf8(output.stderr)
            .unwrap()
            .contains("Limits.OpenCap is missing")
    );
}
