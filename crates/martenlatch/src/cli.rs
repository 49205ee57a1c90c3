//! The command line: commands, options and help texts.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

/// Exit code of `wal verify` if the write-ahead log is damaged.
pub const EXIT_DAMAGED: u8 = 3;

const AFTER_HELP: &str = "Exit codes:
  0  success
  1  the configuration or the settings are invalid, or the command failed
  2  the command line is invalid
  3  `wal verify` found damage

Environment of `serve` and `check`:
  PROXY_CONFIG     the platform's configuration, a JSON file
  PROXY_STATE      the state directory, which is kept between runs
  PROXY_LISTEN, PROXY_DISCOVERY, PROXY_OPERATOR
                   override `listen`, `discovery` and `operator` of the configuration
  PROXY_NAME       the sender's name in its log and among its peers

If `operator` is configured, the sender answers one line per connection to that address:
health, counters, cordon ID or uncordon ID.";

/// Delivers messages to partners' endpoints and brings each to one final status.
#[derive(Parser)]
#[command(name = "martenlatch", version, after_help = AFTER_HELP)]
pub struct Cli {
    /// The command to run; `serve` if none is given.
    #[command(subcommand)]
    pub command: Option<Command>,
    #[command(flatten)]
    pub options: GlobalOptions,
}

// The options that all commands accept. Not a doc comment, which clap would use as the program's description.
#[derive(Args)]
pub struct GlobalOptions {
    /// The program's own settings, a protobuf text file; without it, the defaults apply
    #[arg(long, value_name = "FILE", env = "MARTENLATCH_SETTINGS", global = true)]
    pub settings: Option<PathBuf>,
}

/// The commands.
#[derive(Subcommand)]
pub enum Command {
    /// Run the sender until it receives SIGTERM or SIGINT; this is the default command
    Serve,
    /// Validate the configuration and the settings without serving
    Check,
    /// List the group members known to a running sender, whose address is in the settings
    Members {
        /// Print one JSON object per line
        #[arg(long)]
        json: bool,
    },
    /// Inspect a write-ahead log without changing it
    #[command(alias = "ledger")]
    Wal {
        /// The command on the write-ahead log.
        #[command(subcommand)]
        command: WalCommand,
    },
    /// Print the version
    Version,
}

/// The commands that inspect a write-ahead log.
#[derive(Subcommand)]
pub enum WalCommand {
    /// List incomplete messages: number, id, class, destination, time left, attempts, pending status report, size
    Show {
        /// The state directory
        #[arg(env = "PROXY_STATE")]
        folder: PathBuf,
        /// Print one JSON object per line
        #[arg(long)]
        json: bool,
    },
    /// Read every record; exit with code 3 if the file is damaged
    Verify {
        /// The state directory
        #[arg(env = "PROXY_STATE")]
        folder: PathBuf,
    },
}
