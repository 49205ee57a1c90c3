//! Complete runs in simulated time, and the commands that run, judge and compare them.

use std::path::{Path, PathBuf};
use std::process::Command;

use martenlatch_lab::event_log::EventKind;
use martenlatch_lab::experiment::Experiment;
use martenlatch_lab::sim;
use rstest::rstest;

fn shipped_experiment(name: &str) -> Experiment {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../lab/experiments");
    Experiment::open(&folder.join(name).with_extension("textproto"))
        .unwrap_or_else(|e| panic!("{e}"))
}

#[rstest]
#[case("calm")]
#[case("hang")]
#[case("cold-return")]
#[case("tight-limit")]
#[case("rolling-replacement")]
#[case("restart")]
#[case("discovery-lost")]
#[case("network")]
#[case("full-disk")]
#[case("rough")]
fn the_shipped_experiments_keep_every_rule(#[case] name: &str) {
    let experiment = shipped_experiment(name);
    let run = sim::run(&experiment, &experiment.variants[0], experiment.seed, None).unwrap();
    assert!(run.verdict.clean(), "{:#?}", run.verdict);
    assert!(
        run.figures.messages > 1_000 && run.figures.share > 0.5,
        "{:?}",
        run.figures.share
    );
}

#[test]
fn equal_seeds_give_equal_events_and_different_seeds_differ() {
    let experiment = shipped_experiment("network");
    let events_and_figures = |seed: u64| {
        let mut events = String::new();
        let sink =
            |event: &martenlatch_lab::event_log::LoggedEvent| events += &format!("{event:?}\n");
        let run = sim::run(
            &experiment,
            &experiment.variants[0],
            seed,
            Some(Box::new(sink)),
        )
        .unwrap();
        (events, serde_json::to_string(&run.figures).unwrap())
    };
    let (first, again, other) = (
        events_and_figures(5),
        events_and_figures(5),
        events_and_figures(6),
    );
    assert!(first == again, "two runs with seed 5 differ");
    assert!(first.0 != other.0);
}

#[test]
fn each_failure_of_an_experiment_takes_effect() {
    // Guards against an experiment that passes only because its failures never occur.
    let count = |name: &str, matching: fn(&EventKind) -> bool| {
        let (experiment, mut seen) = (shipped_experiment(name), 0);
        let sink = |event: &martenlatch_lab::event_log::LoggedEvent| {
            seen += usize::from(matching(&event.kind));
        };
        sim::run(
            &experiment,
            &experiment.variants[0],
            1,
            Some(Box::new(sink)),
        )
        .unwrap();
        seen
    };
    use martenlatch_lab::event_log::CallFailure::*;
    use martenlatch_lab::model::partner::Reply;
    assert_eq!(
        count("restart", |w| matches!(w, EventKind::SenderEnded { .. })),
        3
    );
    assert!(
        count("restart", |w| matches!(
            w,
            EventKind::CallFailed {
                cause: SenderEnded,
                ..
            }
        )) > 3
    );
    assert!(
        count("hang", |w| matches!(
            w,
            EventKind::CallFailed {
                cause: TimedOut,
                ..
            }
        )) > 20
    );
    assert!(
        count("network", |w| matches!(
            w,
            EventKind::CallFailed { cause: Reset, .. }
        )) > 20
    );
    assert!(
        count("network", |w| matches!(
            w,
            EventKind::CallFailed {
                cause: NeverSent,
                ..
            }
        )) > 20
    );
    assert!(
        count("network", |w| matches!(
            w,
            EventKind::CallAnswered {
                reply: Reply::Malformed,
                ..
            }
        )) > 5
    );
    assert!(
        count("rolling-replacement", |w| matches!(
            w,
            EventKind::Listed {
                in_service: false,
                ..
            }
        )) > 80
    );
    assert!(
        count("cold-return", |w| matches!(
            w,
            EventKind::CallAnswered {
                reply: Reply::Rejected(Some(_)),
                ..
            }
        )) > 20
    );
}

#[test]
fn a_stopped_run_ends_early_and_is_not_counted() {
    use std::sync::Arc;
    use std::sync::atomic::AtomicBool;
    let experiment = shipped_experiment("calm");
    let stop = Arc::new(AtomicBool::new(true));
    assert_eq!(
        sim::run_unless_stopped(&experiment, &experiment.variants[0], 1, None, &stop)
            .unwrap_err()
            .to_string(),
        "the run was stopped"
    );
    let (outcome, _) = martenlatch_lab::run::simulate(&experiment, &stop, true).unwrap();
    assert!(outcome.incomplete && outcome.variants.iter().all(|v| v.runs.is_empty()));
}

/// Runs the laboratory; its exit code, output and error output.
fn run_lab(args: &[&str]) -> (Option<i32>, String, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_martenlatch-lab"))
        .args(args)
        .output()
        .unwrap();
    (
        output.status.code(),
        String::from_utf8(output.stdout).unwrap(),
        String::from_utf8(output.stderr).unwrap(),
    )
}

/// A new empty folder, distinct for each call.
fn temporary_folder(name: &str) -> PathBuf {
    static CREATED: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let (number, pid) = (
        CREATED.fetch_add(1, std::sync::atomic::Ordering::Relaxed),
        std::process::id(),
    );
    let folder = std::env::temp_dir().join(format!("martenlatch-lab-{name}-{pid}-{number}"));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

#[test]
fn equal_runs_write_identical_results_that_can_be_judged_and_compared() {
    let out = temporary_folder("run");
    let text = "length_s: 5 repeats: 2 world { partners: 4 } load { level: 0.6 }
                variant { name: \"a\" } variant { name: \"<b>\" second_copies: false }";
    std::fs::write(out.join("small.textproto"), text).unwrap();
    let file = out.join("small.textproto");
    let dirs = [out.join("one"), out.join("two")];
    for dir in &dirs {
        let (code, text, errors) = run_lab(&[
            "run",
            file.to_str().unwrap(),
            "--quiet",
            "--facts",
            "--seed",
            "9",
            "--out",
            dir.to_str().unwrap(),
        ]);
        assert_eq!(code, Some(0), "{text}{errors}");
        assert!(text.contains("against a"), "{text}");
    }
    let read = |dir: &Path, name: &str| std::fs::read_to_string(dir.join(name)).unwrap();
    assert_eq!(read(&dirs[0], "result.json"), read(&dirs[1], "result.json"));
    assert_eq!(read(&dirs[0], "facts.jsonl"), read(&dirs[1], "facts.jsonl"));
    let page = read(&dirs[0], "report.html");
    assert!(
        page.matches("<svg").count() >= 5 && page.contains("&lt;b&gt;") && !page.contains("<b>"),
        "the report lacks a chart or does not escape a name"
    );
    assert!(
        !page.contains("src=") && !page.contains("href="),
        "the report refers to other files"
    );
    let (code, text, _) = run_lab(&["judge", dirs[0].to_str().unwrap()]);
    assert_eq!((code, text.as_str()), (Some(0), "0 breaches\n"));
    let (code, text, _) = run_lab(&[
        "compare",
        dirs[0].to_str().unwrap(),
        dirs[1].to_str().unwrap(),
    ]);
    assert!(
        code == Some(0) && text.contains("+0.0000") && !text.contains("+0.0001"),
        "{text}"
    );
    // A broken rule is reported in the exit code and the output.
    let facts_without_ends = read(&dirs[0], "facts.jsonl")
        .lines()
        .filter(|line| !line.contains("Notice") && !line.contains("Served"))
        .collect::<Vec<_>>()
        .join("\n");
    std::fs::write(dirs[0].join("facts.jsonl"), facts_without_ends).unwrap();
    let (code, text, _) = run_lab(&["judge", dirs[0].to_str().unwrap()]);
    assert!(
        code == Some(3)
            && text.contains("Lost at ")
            && text.contains("no final answer by its deadline"),
        "{text}"
    );
    let _ = std::fs::remove_dir_all(out);
}

#[rstest]
#[case::unknown_failure(
    "length_s: 5\nload { level: 1 }\nfailure { what: HNAG }",
    ":3: failure.what: \"HNAG\" is not one of"
)]
#[case::unknown_field(
    "length_s: 5\nworld { patners: 3 }",
    ":2: world.patners: no such field; the nearest is \"partners\""
)]
#[case::unused_field(
    "length_s: 5\nload { level: 1 }\nfailure {\n what: HANG\n size: 3 }",
    ":5: failure[0].size: HANG does not use this field"
)]
#[case::missing_length("load { level: 1 }", ":1: length_s: 0 is not between 1 and 86400")]
#[case::unknown_partner(
    "length_s: 5\nload { level: 1 }\nfailure { what: HANG partner: 99 }",
    ":3: failure[0].partner: 99 is not below the number of partners, 12"
)]
#[case::repeated_variant_name(
    "length_s: 5\nload { level: 1 }\nvariant { name: \"a\" }\nvariant { name: \"a\" }",
    ":4: variant[1].name: \"a\" is the name of an earlier variant"
)]
fn an_invalid_experiment_is_reported_in_one_line_with_file_line_and_field(
    #[case] text: &str,
    #[case] expected: &str,
) {
    let out = temporary_folder("bad");
    let file = out.join("bad.textproto");
    std::fs::write(&file, text).unwrap();
    let (code, _, errors) = run_lab(&[
        "run",
        file.to_str().unwrap(),
        "--out",
        out.join("o").to_str().unwrap(),
    ]);
    assert!(code == Some(1) && errors.lines().count() == 1, "{errors}");
    assert!(
        errors.contains(&format!("{}{expected}", file.display())),
        "{errors}"
    );
    assert!(!out.join("o").exists(), "an output folder is left");
    let _ = std::fs::remove_dir_all(out);
}
