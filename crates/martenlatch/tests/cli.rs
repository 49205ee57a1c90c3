//! The command line without a network: what each command prints about valid, invalid and damaged files, and its exit
//! code.

use std::path::PathBuf;
use std::process::{Command, Output};

use rstest::rstest;

fn folder(name: &str) -> PathBuf {
    let folder =
        std::env::temp_dir().join(format!("martenlatch-cli-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn run(args: &[&str]) -> (Option<i32>, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_martenlatch"));
    for variable in ["PROXY_CONFIG", "PROXY_STATE", "MARTENLATCH_SETTINGS"] {
        command.env_remove(variable);
    }
    let Output {
        status,
        stdout,
        stderr,
    } = command.args(args).output().unwrap();
    (
        status.code(),
        String::from_utf8(stdout).unwrap(),
        String::from_utf8(stderr).unwrap(),
    )
}

#[rstest]
#[case::unknown(
    "log {\n  levle: INFO\n}",
    ":2: log.levle: no such field; the nearest is \"level\""
)]
#[case::bounds(
    "clients {\n  request_ms: 9000\n}",
    ":2: clients.request_ms: 9000 is not within 100 and 2900"
)]
#[case::half("clients {\n  idle_ms: 600", ":2: clients.idle_ms: expected")]
fn settings_are_read_completely_or_rejected(#[case] text: &str, #[case] want: &str) {
    let file = folder(&format!("settings-{}", text.len())).join("own.textproto");
    std::fs::write(&file, text).unwrap();
    let (code, out, err) = run(&["check", "--settings", file.to_str().unwrap()]);
    assert_eq!((code, out.as_str()), (Some(1), ""));
    assert!(
        err.contains(&format!("{}{want}", file.display())) && err.lines().count() == 1,
        "{err}"
    );
}

#[rstest]
#[case::name("wal")]
#[case::alias("ledger")]
fn a_write_ahead_log_is_shown_and_verified_without_being_changed_and_damage_has_its_own_exit_code(
    #[case] command: &str,
) {
    let state = folder(command);
    let (code, out, _) = run(&[command, "verify", state.to_str().unwrap()]);
    assert_eq!(
        (code, out.starts_with("whole bytes=0")),
        (Some(0), true),
        "never written to"
    );
    let file = state.join("ledger");
    std::fs::write(&file, b"mlatch1\n\x05\x00\x00\x00torn").unwrap();
    let before = std::fs::read(&file).unwrap();
    let (code, out, _) = run(&[command, "verify", state.to_str().unwrap()]);
    assert_eq!(
        (code, out.trim_end().ends_with("damaged_bytes=8")),
        (Some(3), true),
        "{out}"
    );
    let (code, out, _) = run(&[command, "show", state.to_str().unwrap()]);
    assert_eq!((code, out.as_str()), (Some(0), ""));
    assert_eq!(std::fs::read(&file).unwrap(), before);
    let (code, _, err) = run(&[command, "show", "/no/such/folder"]);
    assert!(code == Some(1) && err.contains("/no/such/folder"), "{err}");
}

#[test]
fn an_invalid_command_line_does_not_start_the_sender() {
    assert_eq!(run(&["srve"]).0, Some(2));
    let (code, out, _) = run(&["--help"]);
    assert!(
        code == Some(0) && out.contains("Exit codes:") && out.contains("PROXY_STATE"),
        "{out}"
    );
    assert!(run(&["check"]).2.contains("PROXY_CONFIG"));
}
