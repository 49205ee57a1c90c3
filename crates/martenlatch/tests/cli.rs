//! The commands that need no network: their output and exit codes for valid, invalid and damaged files.

use std::path::PathBuf;
use std::process::{Command, Output};

use rstest::rstest;

/// Creates an empty folder for a test.
fn create_folder(name: &str) -> PathBuf {
    let folder =
        std::env::temp_dir().join(format!("martenlatch-cli-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// Runs the program and returns its exit code, its output and its errors.
fn run_program(args: &[&str]) -> (Option<i32>, String, String) {
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
#[case::unknown_field(
    "log {\n  levle: INFO\n}",
    ":2: log.levle: no such field; the nearest is \"level\""
)]
#[case::out_of_bounds(
    "clients {\n  request_ms: 9000\n}",
    ":2: clients.request_ms: 9000 is not between 100 and 2900"
)]
#[case::incomplete("clients {\n  idle_ms: 600", ":2: clients.idle_ms: expected")]
fn invalid_settings_are_rejected_with_one_line_that_names_file_line_and_field(
    #[case] text: &str,
    #[case] expected: &str,
) {
    let file = create_folder(&format!("settings-{}", text.len())).join("own.textproto");
    std::fs::write(&file, text).unwrap();
    let (code, stdout, stderr) = run_program(&["check", "--settings", file.to_str().unwrap()]);
    assert_eq!((code, stdout.as_str()), (Some(1), ""));
    assert!(
        stderr.contains(&format!("{}{expected}", file.display())) && stderr.lines().count() == 1,
        "{stderr}"
    );
}

#[rstest]
#[case::name("wal")]
#[case::alias("ledger")]
fn inspecting_a_damaged_write_ahead_log_does_not_change_it_and_verify_exits_with_code_3(
    #[case] command: &str,
) {
    let state = create_folder(command);
    let (code, stdout, _) = run_program(&[command, "verify", state.to_str().unwrap()]);
    assert_eq!(
        (code, stdout.starts_with("whole bytes=0")),
        (Some(0), true),
        "a folder without a log file is valid"
    );
    let file = state.join("ledger");
    std::fs::write(&file, b"mlatch1\n\x05\x00\x00\x00torn").unwrap();
    let before = std::fs::read(&file).unwrap();
    let (code, stdout, _) = run_program(&[command, "verify", state.to_str().unwrap()]);
    assert_eq!(
        (code, stdout.trim_end().ends_with("damaged_bytes=8")),
        (Some(3), true),
        "{stdout}"
    );
    let (code, stdout, _) = run_program(&[command, "show", state.to_str().unwrap()]);
    assert_eq!((code, stdout.as_str()), (Some(0), ""));
    assert_eq!(std::fs::read(&file).unwrap(), before);
    let (code, _, stderr) = run_program(&[command, "show", "/no/such/folder"]);
    assert!(
        code == Some(1) && stderr.contains("/no/such/folder"),
        "{stderr}"
    );
}

#[test]
fn an_unknown_command_exits_with_code_2_and_the_help_lists_exit_codes_and_variables() {
    assert_eq!(run_program(&["srve"]).0, Some(2));
    let (code, stdout, _) = run_program(&["--help"]);
    assert!(
        code == Some(0) && stdout.contains("Exit codes:") && stdout.contains("PROXY_STATE"),
        "{stdout}"
    );
    assert!(run_program(&["check"]).2.contains("PROXY_CONFIG"));
}
