//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

const AFTER_HELP: &str = "Exit codes:
  0  done, and every rule was kept
  1  something cannot be read, written or played
  2  the command line cannot be read
  3  a rule was broken";

/// Our own partners and failures: experiments on the sender, judged and compared.
#[derive(Parser)]
#[command(name = "martenlatch-lab", version, after_help = AFTER_HELP)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Command,
}

/// What the program does.
#[derive(Subcommand)]
pub enum Command {
    /// Play every variant of an experiment over the same seeds
    Run(RunOptions),
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
    Roof(RoofOptions),
    /// The bare relay of `roof`
    #[command(hide = true)]
    Relay(RelayOptions),
    /// Measure membership in simulated time: its cost, how soon a death and a join are known, false deaths
    Members(MembersOptions),
    /// Run many senders as processes under faults that overlap, and judge what crosses their sockets
    Soak(SoakOptions),
    /// Measure one turn of the decision module with so many messages held
    Turns(TurnsOptions),
}

#[derive(Args)]
pub struct RunOptions {
    /// The experiment, a protobuf text file, or the name of a shipped one
    pub file: PathBuf,
    /// Where the seeds begin, in place of what the file says
    #[arg(long)]
    pub seed: Option<u64>,
    /// How many seeds, in place of what the file says
    #[arg(long)]
    pub repeats: Option<u32>,
    /// In simulated time, with no sockets (the default)
    #[arg(long, conflicts_with = "sockets")]
    pub sim: bool,
    /// On loopback sockets, with the senders as processes of their own
    #[arg(long)]
    pub sockets: bool,
    /// Where result.json and report.html go
    #[arg(long, value_name = "DIR", default_value = "lab-out")]
    pub out: PathBuf,
    /// Also keep every fact of the first variant's first seed, for `judge`
    #[arg(long)]
    pub facts: bool,
    /// No progress bar
    #[arg(long)]
    pub quiet: bool,
}

#[derive(Args)]
pub struct RoofOptions {
    /// The sender's program; absent: the one beside the laboratory
    #[arg(long)]
    pub program: Option<PathBuf>,
    /// Turns that each takes
    #[arg(long, default_value_t = 5)]
    pub turns: usize,
    /// Seconds of a turn
    #[arg(long, default_value_t = 3.0)]
    pub seconds: f64,
    /// Messages under way at most
    #[arg(long, default_value_t = 128)]
    pub held: u64,
}

#[derive(Args)]
pub struct RelayOptions {
    #[arg(long)]
    pub listen: SocketAddr,
    #[arg(long)]
    pub calls: usize,
    #[arg(required = true)]
    pub regions: Vec<SocketAddr>,
}

#[derive(Args)]
pub struct MembersOptions {
    /// Members
    #[arg(default_values_t = [2, 8, 32, 128])]
    pub members: Vec<usize>,
    /// Shares of datagrams that are lost
    #[arg(long, value_delimiter = ',', default_values_t = [0.0, 0.05, 0.2])]
    pub loss: Vec<f64>,
    /// Seeds of each
    #[arg(long, default_value_t = 3)]
    pub repeats: u64,
}

#[derive(Args)]
pub struct SoakOptions {
    /// The seed that fixes the schedule of faults
    #[arg(long)]
    pub seed: u64,
    /// How long faults are made
    #[arg(long, default_value_t = 20.0)]
    pub seconds: f64,
    /// Senders
    #[arg(long, default_value_t = 10)]
    pub processes: usize,
    /// The sender's program; absent: the one beside the laboratory
    #[arg(long)]
    pub program: Option<PathBuf>,
    /// By how many milliseconds limits on time are longer, for a machine that does other work too
    #[arg(long, default_value_t = 0.0)]
    pub slack: f64,
    /// Leave the senders' wall clocks alone, to compare with
    #[arg(long)]
    pub keep_wall_clock: bool,
    /// Where the timelines of violations are written
    #[arg(long, value_name = "DIR")]
    pub out: Option<PathBuf>,
}

#[derive(Args)]
pub struct TurnsOptions {
    /// Messages held
    #[arg(default_values_t = [100, 1_000, 4_000, 16_000])]
    pub held: Vec<usize>,
    /// Turns of each measurement
    #[arg(long, default_value_t = 200)]
    pub turns: usize,
    /// Also write a plot there, an HTML page
    #[arg(long, value_name = "FILE")]
    pub plot: Option<PathBuf>,
}
