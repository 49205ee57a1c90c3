//! The command line: commands, options and help texts.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

/// Exit code of `wal verify` if the file is damaged.
pub const EXIT_DAMAGED: u8 = 3;

const AFTER_HELP: &str = "Exit codes:
  0  done
  1  the configuration or the settings cannot be used, or serving failed
  2  the command line cannot be read
  3  `wal verify` found damage

Environment of `serve` and `check`:
  PROXY_CONFIG     the platform's configuration, a JSON file
  PROXY_STATE      the state directory, which outlasts the process
  PROXY_LISTEN, PROXY_DISCOVERY, PROXY_OPERATOR, PROXY_NAME
                   outrank the configuration's `listen`, `discovery` and `operator`; name the sender in its log

Where `operator` names an address, it answers a line a connection: health, counters, cordon ID, uncordon ID.";

/// Delivers messages to partners' endpoints, each to one final status.
#[derive(Parser)]
#[command(name = "martenlatch", version, after_help = AFTER_HELP)]
pub struct Cli {
    /// What to do; `serve` if absent.
    #[command(subcommand)]
    pub command: Option<Command>,
    #[command(flatten)]
    pub options: GlobalOptions,
}

// Options of all commands. Not a doc comment: clap would take it for the program's description.
#[derive(Args)]
pub struct GlobalOptions {
    /// The program's own settings, a protobuf text file; absent: the defaults
    #[arg(long, value_name = "FILE", env = "MARTENLATCH_SETTINGS", global = true)]
    pub settings: Option<PathBuf>,
}

/// The commands.
#[derive(Subcommand)]
pub enum Command {
    /// Serve until told to end; what the program does without a command
    Serve,
    /// Read the configuration and the settings, say what is wrong with them, and serve nothing
    Check,
    /// List the members of the group that the running sender knows; the settings name its address
    Members {
        /// One JSON object a line
        #[arg(long)]
        json: bool,
    },
    /// Look into a write-ahead log without changing it
    #[command(alias = "ledger")]
    Wal {
        /// What to look for.
        #[command(subcommand)]
        command: WalCommand,
    },
    /// Print the version
    Version,
}

/// The commands on a write-ahead log.
#[derive(Subcommand)]
pub enum WalCommand {
    /// List the messages that are not complete: number, class, destination, time left, attempts, status report owed
    Show {
        /// The state directory
        #[arg(env = "PROXY_STATE")]
        folder: PathBuf,
        /// One JSON object a line
        #[arg(long)]
        json: bool,
    },
    /// Read every record; exit code 3 if the file is damaged
    Verify {
        /// The state directory
        #[arg(env = "PROXY_STATE")]
        folder: PathBuf,
    },
}
