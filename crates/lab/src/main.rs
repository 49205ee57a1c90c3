//! The laboratory's command line: it plays experiments, compares and judges what they left, and measures turns. It
//! must never leave a child, or a half-written result, behind.

use std::io::{BufRead, BufReader, BufWriter, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use clap::{Parser, Subcommand};
use martenlatch_lab::event_log::Fact;
use martenlatch_lab::experiment::Experiment;
use martenlatch_lab::judge::{ClassRule, Judge};
use martenlatch_lab::outcome::{FIGURES, Outcome, paired, spread};
use martenlatch_lab::roof::Turn;
use martenlatch_lab::run::{Machine, RunUsage, Use, VariantTurns};
use martenlatch_lab::sim::TurnStatistics;
use martenlatch_lab::sockets::beside;
use martenlatch_lab::sockets::child::Used;
use martenlatch_lab::{members, relay, report, roof, run, sim, turn_cost};

const AFTER: &str = "Exit codes:
  0  done, and every rule was kept
  1  something cannot be read, written or played
  2  the command line cannot be read
  3  a rule was broken";

/// Our own partners and failures: experiments on the sender, judged and compared.
#[derive(Parser)]
#[command(name = "martenlatch-lab", version, after_help = AFTER)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play every variant of an experiment over the same seeds
    Run {
        /// The experiment, a protobuf text file, or the name of a shipped one
        file: PathBuf,
        /// Where the seeds begin, in place of what the file says
        #[arg(long)]
        seed: Option<u64>,
        /// How many seeds, in place of what the file says
        #[arg(long)]
        repeats: Option<u32>,
        /// In simulated time, with no sockets (the default)
        #[arg(long, conflicts_with = "sockets")]
        sim: bool,
        /// On loopback sockets, with the senders as processes of their own
        #[arg(long)]
        sockets: bool,
        /// Where result.json and report.html go
        #[arg(long, value_name = "DIR", default_value = "lab-out")]
        out: PathBuf,
        /// Also keep every fact of the first variant's first seed, for `judge`
        #[arg(long)]
        facts: bool,
        /// No progress bar
        #[arg(long)]
        quiet: bool,
    },
    /// Set two results of the same experiment side by side, seed by seed
    Compare {
        /// The result to compare with
        base: PathBuf,
        /// The result to compare
        other: PathBuf,
    },
    /// Read the facts that a run kept, and judge them anew
    Judge {
        /// The folder that `run --facts` wrote
        dir: PathBuf,
    },
    /// List the shipped experiments
    List,
    /// Measure the sender against a bare relay with the same framing and loop, both on one core, in turns
    Roof {
        /// The sender's program; absent: the one beside the laboratory
        #[arg(long)]
        program: Option<PathBuf>,
        /// Turns that each takes
        #[arg(long, default_value_t = 5)]
        turns: usize,
        /// Seconds of a turn
        #[arg(long, default_value_t = 3.0)]
        seconds: f64,
        /// Messages under way at most
        #[arg(long, default_value_t = 128)]
        held: u64,
    },
    /// The bare relay of `roof`
    #[command(hide = true)]
    Relay {
        #[arg(long)]
        listen: SocketAddr,
        #[arg(long)]
        calls: usize,
        #[arg(required = true)]
        regions: Vec<SocketAddr>,
    },
    /// Measure membership in simulated time: its cost, how soon a death and a join are known, false deaths
    Members {
        /// Members
        #[arg(default_values_t = [2, 8, 32, 128])]
        members: Vec<usize>,
        /// Shares of datagrams that are lost
        #[arg(long, value_delimiter = ',', default_values_t = [0.0, 0.05, 0.2])]
        loss: Vec<f64>,
        /// Seeds of each
        #[arg(long, default_value_t = 3)]
        repeats: u64,
    },
    /// Measure one turn of the decision module with so many messages held
    Turns {
        /// Messages held
        #[arg(default_values_t = [100, 1_000, 4_000, 16_000])]
        held: Vec<usize>,
        /// Turns of each measurement
        #[arg(long, default_value_t = 200)]
        turns: usize,
        /// Also write a plot there, an HTML page
        #[arg(long, value_name = "FILE")]
        plot: Option<PathBuf>,
    },
}

/// Where the shipped experiments are: beside the working folder, or where the laboratory was built.
fn shipped() -> PathBuf {
    let here = PathBuf::from("lab/experiments");
    if here.is_dir() {
        here
    } else {
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../../lab/experiments")
    }
}

fn experiments() -> Result<Vec<PathBuf>, String> {
    let folder = shipped();
    let entries = std::fs::read_dir(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let mut files: Vec<PathBuf> = entries.filter_map(|e| e.ok().map(|e| e.path())).collect();
    files.retain(|f| f.extension().is_some_and(|e| e == "textproto"));
    files.sort();
    Ok(files)
}

fn find(file: &Path) -> PathBuf {
    if file.exists() || file.extension().is_some() || file.components().count() > 1 {
        return file.into();
    }
    shipped().join(file).with_extension("textproto")
}

/// Set by Ctrl-C: no run is begun any more, and what was played is written.
fn stop_on_signal() -> Result<Arc<AtomicBool>, String> {
    let stop = Arc::new(AtomicBool::new(false));
    let set = stop.clone();
    ctrlc::set_handler(move || set.store(true, Ordering::Relaxed))
        .map_err(|e| format!("no signals: {e}"))?;
    Ok(stop)
}

fn write(file: &Path, text: &str) -> Result<(), String> {
    std::fs::write(file, text).map_err(|e| format!("{}: {e}", file.display()))
}

/// What turns cost, as a part of the page.
fn costs(machine: &Machine) -> String {
    let mut html = String::from(
        "<h2>Turns of the decision module on this machine</h2><table><tr><th>variant<th>held up to<th>turns\
         <th>mean µs<th>longest µs",
    );
    for VariantTurns {
        variant: name,
        turns,
    } in machine
    {
        let name = report::escaped(name);
        for (
            bits,
            TurnStatistics {
                count,
                total,
                longest,
            },
        ) in &turns.by_held
        {
            let (most, mean) = ((1u64 << bits) - 1, *total as f64 / *count as f64 / 1e3);
            html += &format!(
                "<tr><td>{name}<td>{most}<td>{count}<td>{mean:.1}<td>{:.1}",
                *longest as f64 / 1e3
            );
        }
    }
    html + "</table>"
}

/// What senders used on sockets, as a part of the page.
fn uses(used: &Use) -> String {
    let line = |of: fn(&[Used], usize) -> f64| {
        used.iter()
            .map(
                |RunUsage {
                     variant: name,
                     seed,
                     used: all,
                 }| {
                    let line = (1..all.len()).map(|at| (at as f64, of(all, at))).collect();
                    (format!("{name}, seed {seed}"), line)
                },
            )
            .collect::<Vec<_>>()
    };
    let memory = line(|all, at| all[at].memory_kb as f64 / 1024.0);
    let cpu = line(|all, at| (all[at].cpu_ms - all[at - 1].cpu_ms) / 10.0);
    String::from("<h2>What the senders used on this machine</h2>")
        + &report::plot("Memory of all senders, MiB", "seconds", &memory, &[], false)
        + &report::plot(
            "Processor of all senders, percent of a core",
            "seconds",
            &cpu,
            &[],
            false,
        )
}

/// How an experiment is played, and what of it is kept.
struct Play<'a> {
    file: &'a Path,
    seed: Option<u64>,
    repeats: Option<u32>,
    sockets: bool,
    out: &'a Path,
    facts: bool,
    quiet: bool,
}

fn play(told: &Play) -> Result<bool, String> {
    let file = find(told.file);
    let mut experiment = Experiment::open(&file).map_err(|e| e.to_string())?;
    experiment.seed = told.seed.unwrap_or(experiment.seed);
    experiment.repeats = told.repeats.unwrap_or(experiment.repeats).max(1);
    let stop = stop_on_signal()?;
    let (outcome, machine) = if told.sockets {
        let (outcome, used) =
            run::on_sockets(&experiment, &stop, told.quiet).map_err(|e| e.to_string())?;
        (outcome, uses(&used))
    } else {
        let (outcome, machine) =
            run::simulate(&experiment, &stop, told.quiet).map_err(|e| e.to_string())?;
        (outcome, costs(&machine))
    };
    let out = told.out;
    outcome.write(out)?;
    write(
        &out.join("report.html"),
        &report::page(&outcome, &[machine]),
    )?;
    if told.facts {
        keep_facts(&experiment, &file, out)?;
    }
    print!("{}", outcome.table());
    for variant in &outcome.variants {
        for run in &variant.runs {
            for breach in run.verdict.breaches.iter().take(5) {
                println!("  {} seed {}: {breach}", variant.name, run.seed);
            }
        }
    }
    println!("\n{}", out.join("report.html").display());
    Ok(outcome.clean())
}

/// Plays the first variant's first seed once more, and writes what crossed.
fn keep_facts(experiment: &Experiment, file: &Path, out: &Path) -> Result<(), String> {
    let path = out.join("facts.jsonl");
    let failed = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let mut to = BufWriter::new(std::fs::File::create(&path).map_err(|e| failed(&e))?);
    let mut fault = None;
    let sink = |fact: &Fact| {
        let written = serde_json::to_writer(&mut to, fact).map_err(|e| e.to_string());
        if let Err(e) = written.and_then(|()| to.write_all(b"\n").map_err(|e| e.to_string())) {
            fault.get_or_insert(e);
        }
    };
    sim::play(
        experiment,
        &experiment.variants[0],
        experiment.seed,
        Some(Box::new(sink)),
    )
    .map_err(|e| e.to_string())?;
    to.flush().map_err(|e| failed(&e))?;
    if let Some(e) = fault {
        return Err(failed(&e));
    }
    std::fs::copy(file, out.join("experiment.textproto"))
        .map_err(|e| format!("{}: {e}", out.display()))?;
    Ok(())
}

fn judge(dir: &Path) -> Result<bool, String> {
    let experiment =
        Experiment::open(&dir.join("experiment.textproto")).map_err(|e| e.to_string())?;
    let path = dir.join("facts.jsonl");
    let lines =
        BufReader::new(std::fs::File::open(&path).map_err(|e| format!("{}: {e}", path.display()))?);
    let rules = experiment
        .world
        .classes
        .iter()
        .map(|c| ClassRule {
            effect: c.effect,
            window: c.window,
        })
        .collect();
    let (mut judge, mut last) = (Judge::new(rules, experiment.variants[0].max_attempts), 0.0);
    for (no, line) in lines.lines().enumerate() {
        let line = line.map_err(|e| format!("{}: {e}", path.display()))?;
        let fact: Fact = serde_json::from_str(&line)
            .map_err(|e| format!("{}:{}: {e}", path.display(), no + 1))?;
        if fact.at < last {
            return Err(format!(
                "{}:{}: at: {} is before the fact above it",
                path.display(),
                no + 1,
                fact.at
            ));
        }
        last = fact.at;
        judge.hear(&fact);
    }
    let verdict = judge.end(last + 60_000.0);
    for breach in &verdict.breaches {
        println!("{breach}");
    }
    println!("{} breaches", verdict.counts.values().sum::<u64>());
    Ok(verdict.clean())
}

fn compare(base: &Path, other: &Path) -> Result<(), String> {
    let (a, b) = (Outcome::open(base)?, Outcome::open(other)?);
    if a.experiment != b.experiment {
        return Err(format!(
            "{:?} and {:?} are not the same experiment",
            a.experiment, b.experiment
        ));
    }
    println!(
        "{}: {} against {}",
        a.experiment,
        other.display(),
        base.display()
    );
    for ours in &b.variants {
        let Some(theirs) = a.variants.iter().find(|v| v.name == ours.name) else {
            println!("{}: only in {}", ours.name, other.display());
            continue;
        };
        println!("{}", ours.name);
        for (name, figure) in FIGURES {
            let all = paired(theirs, ours, *figure);
            let (diff, dev) = spread(&all);
            // Two standard errors: what the seeds alone would rarely make.
            let sure = all.len() > 1 && diff.abs() > 2.0 * dev / (all.len() as f64).sqrt();
            println!(
                "  {name:<24}{diff:>+10.4} ±{dev:<9.4}{}",
                if sure { "*" } else { "" }
            );
        }
    }
    println!("* more than two standard errors over the seeds");
    Ok(())
}

fn measure(held: &[usize], turns: usize, plot: Option<&Path>) -> Result<(), String> {
    println!(
        "{:>8} {:>13} {:>11} {:>11} {:>11}",
        "held", "destinations", "median us", "p99 us", "longest us"
    );
    let mut line = Vec::new();
    for held in held {
        let cost = turn_cost::measure(*held, turns.max(1)).map_err(|e| e.to_string())?;
        println!(
            "{:>8} {:>13} {:>11.1} {:>11.1} {:>11.1}",
            cost.held, cost.destinations, cost.median, cost.p99, cost.longest
        );
        line.push((cost.held as f64, cost.median));
    }
    if let Some(file) = plot {
        let title = "Median of a turn, microseconds";
        let svg = report::plot(
            title,
            "messages held",
            &[("a turn".into(), line)],
            &[],
            true,
        );
        write(
            file,
            &format!("<!doctype html><meta charset=utf-8><title>{title}</title>{svg}\n"),
        )?;
    }
    Ok(())
}

fn roof(program: &Path, turns: usize, seconds: f64, held: u64) -> Result<(), String> {
    if !(0.1..=600.0).contains(&seconds) || !(1..=1_000).contains(&turns) {
        return Err("--seconds is 0.1 to 600, --turns 1 to 1000".into());
    }
    let roof = roof::measure(
        program,
        turns,
        std::time::Duration::from_secs_f64(seconds),
        held.max(1),
    )?;
    let figure = |of: fn(&Turn) -> f64| {
        let line = |all: &[Turn]| spread(&all.iter().map(of).collect::<Vec<_>>());
        let ratios: Vec<f64> = roof
            .sender
            .iter()
            .zip(&roof.relay)
            .map(|(s, r)| of(s) / of(r))
            .collect();
        (line(&roof.sender), line(&roof.relay), spread(&ratios))
    };
    println!(
        "{:<28}{:>18}{:>18}{:>16}",
        "", "sender", "relay", "sender/relay"
    );
    for (name, of) in [
        ("messages a second", (|t| t.rate) as fn(&Turn) -> f64),
        ("processor us a message", |t| t.cost_us),
    ] {
        let ((a, da), (b, db), (r, dr)) = figure(of);
        println!("{name:<28}{a:>10.1} ±{da:<6.1}{b:>10.1} ±{db:<6.1}{r:>9.3} ±{dr:<.3}");
    }
    Ok(())
}

/// A span's median and longest over seeds, in seconds; those that did not come to an end are counted.
fn spans(all: &[Option<f64>]) -> String {
    let mut done: Vec<f64> = all.iter().flatten().copied().collect();
    done.sort_by(f64::total_cmp);
    let Some(longest) = done.last() else {
        return "never".into();
    };
    let never = all.len() - done.len();
    let text = format!("{:.1} ({:.1})", done[done.len() / 2] / 1e3, longest / 1e3);
    if never > 0 {
        format!("{text}, {never} never")
    } else {
        text
    }
}

fn members(counts: &[usize], losses: &[f64], repeats: u64) -> Result<(), String> {
    if counts.iter().any(|c| !(1..=1_000).contains(c))
        || losses.iter().any(|l| !(0.0..1.0).contains(l))
    {
        return Err("members are 1 to 1000, --loss is 0 to under 1".into());
    }
    println!(
        "{:>8} {:>6} {:>11} {:>13} {:>18} {:>18} {:>13} {:>8}",
        "members",
        "loss",
        "bytes/s",
        "datagrams/s",
        "death s (most)",
        "join s (most)",
        "false deaths",
        "unknown"
    );
    for count in counts {
        for loss in losses {
            let all: Vec<_> = (1..=repeats.max(1))
                .map(|seed| members::measure(*count, *loss, seed))
                .collect();
            let mean = |of: fn(&members::Figures) -> f64| {
                spread(&all.iter().map(of).collect::<Vec<_>>()).0
            };
            println!(
                "{count:>8} {loss:>6} {:>11.0} {:>13.2} {:>18} {:>18} {:>13.1} {:>8.1}",
                mean(|f| f.bytes),
                mean(|f| f.datagrams),
                spans(&all.iter().map(|f| f.death).collect::<Vec<_>>()),
                spans(&all.iter().map(|f| f.join).collect::<Vec<_>>()),
                mean(|f| f.false_deaths as f64),
                mean(|f| f.unknown as f64),
            );
        }
    }
    println!(
        "bytes and datagrams: sent by a member; false deaths: in a minute, over all members and views"
    );
    Ok(())
}

fn list() -> Result<(), String> {
    for file in experiments()? {
        let experiment = Experiment::open(&file).map_err(|e| e.to_string())?;
        println!("{:<22}{}", experiment.name, experiment.about);
    }
    Ok(())
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Run {
            file,
            seed,
            repeats,
            sim: _,
            sockets,
            out,
            facts,
            quiet,
        } => play(&Play {
            file: &file,
            seed,
            repeats,
            sockets,
            out: &out,
            facts,
            quiet,
        }),
        Command::Compare { base, other } => compare(&base, &other).map(|()| true),
        Command::Judge { dir } => judge(&dir),
        Command::Roof {
            program,
            turns,
            seconds,
            held,
        } => roof(&program.unwrap_or_else(beside), turns, seconds, held).map(|()| true),
        Command::Relay {
            listen,
            calls,
            regions,
        } => relay::serve(listen, regions, calls).map(|()| true),
        Command::List => list().map(|()| true),
        Command::Members {
            members: counts,
            loss,
            repeats,
        } => members(&counts, &loss, repeats).map(|()| true),
        Command::Turns { held, turns, plot } => {
            measure(&held, turns, plot.as_deref()).map(|()| true)
        }
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(3),
        Err(message) => {
            eprintln!("martenlatch-lab: {message}");
            ExitCode::FAILURE
        }
    }
}
