//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

const AFTER_HELP: &str = "Exit codes:
  0  the command succeeded and every rule was kept
  1  the command failed, for example because a file cannot be read or written
  2  the command line is invalid
  3  a rule was broken
Exit codes of `soak`:
  0  every rule was kept
  1  a rule was broken
  2  the soak could not be carried out, or the command line is invalid";

/// Runs experiments on the sender with modelled partners and failures, judges them and compares their results
#[derive(Parser)]
#[command(name = "martenlatch-lab", version, after_help = AFTER_HELP)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Command,
}

/// The commands of the program.
#[derive(Subcommand)]
pub enum Command {
    /// Run every variant of an experiment with the same seeds
    Run(RunOptions),
    /// Compare two results of the same experiment seed by seed
    Compare {
        /// The result to compare with
        base: PathBuf,
        /// The result to compare
        other: PathBuf,
    },
    /// Read the event log that `run --facts` wrote and judge it again
    Judge {
        /// The folder that `run --facts` wrote
        dir: PathBuf,
    },
    /// List the shipped experiments
    List,
    /// Measure the sender and a baseline relay with the same framing and event loop alternately, each on one core
    Roof(RoofOptions),
    /// Run the baseline relay of `roof`
    #[command(hide = true)]
    Relay(RelayOptions),
    /// Measure membership in simulated time: its cost, the time to learn of a death and of a join, and false deaths
    Members(MembersOptions),
    /// Run many senders as processes under overlapping faults and judge the traffic on their sockets
    Soak(SoakOptions),
    /// Measure the duration of one turn of the decision module for several numbers of held messages
    Turns(TurnsOptions),
}

#[derive(Args)]
pub struct RunOptions {
    /// A protobuf text file with the experiment, or the name of a shipped experiment
    pub file: PathBuf,
    /// The first seed, instead of the one in the file
    #[arg(long)]
    pub seed: Option<u64>,
    /// The number of seeds, instead of the one in the file
    #[arg(long)]
    pub repeats: Option<u32>,
    /// Run in simulated time, without sockets (the default)
    #[arg(long, conflicts_with = "sockets")]
    pub sim: bool,
    /// Run on loopback sockets, with each sender as a separate process
    #[arg(long)]
    pub sockets: bool,
    /// The folder for result.json and report.html
    #[arg(long, value_name = "DIR", default_value = "lab-out")]
    pub out: PathBuf,
    /// Also write the event log of the first variant with the first seed, for `judge`
    #[arg(long)]
    pub facts: bool,
    /// Show no progress bar
    #[arg(long)]
    pub quiet: bool,
}

#[derive(Args)]
pub struct RoofOptions {
    /// The program of the sender; by default the one in the folder of the laboratory's program
    #[arg(long)]
    pub program: Option<PathBuf>,
    /// The number of measurements of each program
    #[arg(long, default_value_t = 5)]
    pub turns: usize,
    /// The duration of a measurement, in seconds
    #[arg(long, default_value_t = 3.0)]
    pub seconds: f64,
    /// The maximum number of messages in flight
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
    /// The numbers of members
    #[arg(default_values_t = [2, 8, 32, 128])]
    pub members: Vec<usize>,
    /// The shares of datagrams that are lost
    #[arg(long, value_delimiter = ',', default_values_t = [0.0, 0.05, 0.2])]
    pub loss: Vec<f64>,
    /// The number of seeds for each combination
    #[arg(long, default_value_t = 3)]
    pub repeats: u64,
}

#[derive(Args)]
pub struct SoakOptions {
    /// The seed that fixes the schedule of faults
    #[arg(long)]
    pub seed: u64,
    /// How long faults are injected, in seconds
    #[arg(long, default_value_t = 20.0)]
    pub seconds: f64,
    /// The number of senders
    #[arg(long, default_value_t = 10)]
    pub processes: usize,
    /// The program of the sender; by default the one in the folder of the laboratory's program
    #[arg(long)]
    pub program: Option<PathBuf>,
    /// Milliseconds to add to all time limits, for a machine with other load
    #[arg(long, default_value_t = 0.0)]
    pub slack: f64,
    /// Leave the wall clocks of the senders unchanged, for comparison
    #[arg(long)]
    pub keep_wall_clock: bool,
    /// The folder for the timelines of violations and the history
    #[arg(long, value_name = "DIR")]
    pub out: Option<PathBuf>,
}

#[derive(Args)]
pub struct TurnsOptions {
    /// The numbers of messages held
    #[arg(default_values_t = [100, 1_000, 4_000, 16_000])]
    pub held: Vec<usize>,
    /// The number of turns in each measurement
    #[arg(long, default_value_t = 200)]
    pub turns: usize,
    /// Also write a plot of the medians to this file, as an HTML page
    #[arg(long, value_name = "FILE")]
    pub plot: Option<PathBuf>,
}
