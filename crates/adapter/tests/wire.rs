//! The adapter as a process: batches in, replies out.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const BOOT: &str = r#"{"Areas":["a","b"],"Zone":"a","Balancers":1,"Kinds":["k"],"NewKey":3,"Categories":[{"Name":"c","Target":1000000000,"Deadline":8000000000,"Effect":"pure","Worth":1,"LateWorth":0.1}],"FamilyInfo":{"CallsOut":4,"LosesWorth":"halving"},"Limits":{"OpenCap":20,"AttemptsCap":4,"Cancel":true,"SecondCopies":true,"ConnectTimeout":1000000000},"Guarantees":{"StopSendingWithin":250000000,"GraceToAnswer":20000000,"OverloadFactor":2,"OverloadFor":2000000000,"ColdFrom":0.2,"Cold":10000000000}}"#;

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

fn opening() -> String {
    let list = "inventory 0 1\nentry r1 a k 7 on 1 -\nannounce 0 0 cached 1\n";
    format!("frame 1000 1\nopen_instance 0 5 {BOOT}\n{list}")
}

#[test]
fn a_message_is_sent_and_its_outcome_taken() {
    let request = "new_request 0 c:1 0 7 0 - c 8000001000 -\nend\n";
    let outcome = "frame 50001000 2\nfinished 0 c:1 0 r1 success 50000000 1 - -\nend\n";
    let out = run(&format!("frame 5 0\nend\n{}{request}{outcome}", opening()));
    let text = String::from_utf8(out.stdout).unwrap();
    assert!(out.status.success());
    assert!(text.starts_with("eor 0\ndeliver 0 c:1 "), "{text}");
    assert!(
        text.contains(" r1\n") && text.ends_with("eor 2\n"),
        "{text}"
    );
}

#[test]
fn malformed_lines_are_named_and_end_the_run() {
    for (bad, want) in [
        ("reminder x 1\n", "Who"),
        ("nonsense 0\n", "expected an event"),
        ("finished 0 c:1 0 r1 odd 5 1 - -\n", "expected an outcome"),
        ("reminder 4 1\n", "no such instance"),
        ("announce 0 9 full 1\n", "Sheet"),
    ] {
        let out = run(&format!("{}{bad}end\n", opening()));
        let text = String::from_utf8(out.stderr).unwrap();
        assert!(!out.status.success(), "{bad}");
        assert!(
            text.contains("line 6") && text.contains(want) && text.lines().count() == 1,
            "{text}"
        );
    }
}

#[test]
fn a_missing_setting_is_named() {
    let out = run(&opening().replace("\"OpenCap\":20,", ""));
    assert!(!out.status.success());
    assert!(
        String::from_utf8(out.stderr)
            .unwrap()
            .contains("Limits.OpenCap is missing")
    );
}
