//! Whole runs in simulated time, and the command line over them.

use std::path::{Path, PathBuf};
use std::process::Command;

use martenlatch_lab::event_log::EventKind;
use martenlatch_lab::experiment::Experiment;
use martenlatch_lab::sim;
use rstest::rstest;

fn shipped(name: &str) -> Experiment {
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
    let x = shipped(name);
    let played = sim::play(&x, &x.variants[0], x.seed, None).unwrap();
    assert!(played.verdict.clean(), "{:#?}", played.verdict);
    assert!(
        played.figures.messages > 1_000 && played.figures.share > 0.5,
        "{:?}",
        played.figures.share
    );
}

#[test]
fn equal_seeds_give_equal_facts_and_others_do_not() {
    let x = shipped("network");
    let facts = |seed: u64| {
        let mut all = String::new();
        let sink = |f: &martenlatch_lab::event_log::LoggedEvent| all += &format!("{f:?}\n");
        let played = sim::play(&x, &x.variants[0], seed, Some(Box::new(sink))).unwrap();
        (all, serde_json::to_string(&played.figures).unwrap())
    };
    let (first, again, other) = (facts(5), facts(5), facts(6));
    assert!(first == again, "seed 5 differs from itself");
    assert!(first.0 != other.0);
}

#[test]
fn what_is_asked_for_does_happen() {
    // Guards against an experiment that passes since its failures never come.
    let count = |name: &str, of: fn(&EventKind) -> bool| {
        let (x, mut seen) = (shipped(name), 0);
        let sink = |f: &martenlatch_lab::event_log::LoggedEvent| seen += usize::from(of(&f.kind));
        sim::play(&x, &x.variants[0], 1, Some(Box::new(sink))).unwrap();
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
                reply: Reply::Spoilt,
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
                reply: Reply::Refused(Some(_)),
                ..
            }
        )) > 20
    );
}

#[test]
fn a_run_that_is_stopped_ends_in_its_middle_and_counts_for_nothing() {
    use std::sync::Arc;
    use std::sync::atomic::AtomicBool;
    let x = shipped("calm");
    let stop = Arc::new(AtomicBool::new(true));
    assert_eq!(
        sim::play_until(&x, &x.variants[0], 1, None, &stop)
            .unwrap_err()
            .to_string(),
        "the run was stopped"
    );
    let (outcome, _) = martenlatch_lab::run::simulate(&x, &stop, true).unwrap();
    assert!(outcome.incomplete && outcome.variants.iter().all(|v| v.runs.is_empty()));
}

fn lab(args: &[&str]) -> (Option<i32>, String, String) {
    let done = Command::new(env!("CARGO_BIN_EXE_martenlatch-lab"))
        .args(args)
        .output()
        .unwrap();
    (
        done.status.code(),
        String::from_utf8(done.stdout).unwrap(),
        String::from_utf8(done.stderr).unwrap(),
    )
}

fn folder(name: &str) -> PathBuf {
    static MADE: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let (no, process) = (
        MADE.fetch_add(1, std::sync::atomic::Ordering::Relaxed),
        std::process::id(),
    );
    let folder = std::env::temp_dir().join(format!("martenlatch-lab-{name}-{process}-{no}"));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

#[test]
fn a_run_leaves_a_result_that_is_the_same_byte_for_byte_and_can_be_judged_and_compared() {
    let out = folder("run");
    let text = "length_s: 5 repeats: 2 world { partners: 4 } load { level: 0.6 }
                variant { name: \"a\" } variant { name: \"<b>\" second_copies: false }";
    std::fs::write(out.join("small.textproto"), text).unwrap();
    let file = out.join("small.textproto");
    let dirs = [out.join("one"), out.join("two")];
    for dir in &dirs {
        let (code, text, errors) = lab(&[
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
        "whole and escaped"
    );
    assert!(
        !page.contains("src=") && !page.contains("href="),
        "it needs nothing else"
    );
    let (code, text, _) = lab(&["judge", dirs[0].to_str().unwrap()]);
    assert_eq!((code, text.as_str()), (Some(0), "0 breaches\n"));
    let (code, text, _) = lab(&[
        "compare",
        dirs[0].to_str().unwrap(),
        dirs[1].to_str().unwrap(),
    ]);
    assert!(
        code == Some(0) && text.contains("+0.0000") && !text.contains("+0.0001"),
        "{text}"
    );
    // A history that breaks a rule is told by exit code and text.
    let broken = read(&dirs[0], "facts.jsonl")
        .lines()
        .filter(|l| !l.contains("Notice") && !l.contains("Served"))
        .collect::<Vec<_>>()
        .join("\n");
    std::fs::write(dirs[0].join("facts.jsonl"), broken).unwrap();
    let (code, text, _) = lab(&["judge", dirs[0].to_str().unwrap()]);
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
#[case::unused(
    "length_s: 5\nload { level: 1 }\nfailure {\n what: HANG\n size: 3 }",
    ":5: failure[0].size: HANG does not use it"
)]
#[case::no_length("load { level: 1 }", ":1: length_s: 0 is not within 1 and 86400")]
#[case::no_such_partner(
    "length_s: 5\nload { level: 1 }\nfailure { what: HANG partner: 99 }",
    ":3: failure[0].partner: 99 is not under 12"
)]
#[case::twice(
    "length_s: 5\nload { level: 1 }\nvariant { name: \"a\" }\nvariant { name: \"a\" }",
    ":4: variant[1].name: \"a\" is there already"
)]
fn a_wrong_experiment_is_one_line_that_names_file_line_and_field(
    #[case] text: &str,
    #[case] want: &str,
) {
    let out = folder("bad");
    let file = out.join("bad.textproto");
    std::fs::write(&file, text).unwrap();
    let (code, _, errors) = lab(&[
        "run",
        file.to_str().unwrap(),
        "--out",
        out.join("o").to_str().unwrap(),
    ]);
    assert!(code == Some(1) && errors.lines().count() == 1, "{errors}");
    assert!(
        errors.contains(&format!("{}{want}", file.display())),
        "{errors}"
    );
    assert!(!out.join("o").exists(), "nothing is left behind");
    let _ = std::fs::remove_dir_all(out);
}
