//! The command line: what the program is asked to do, and with which exit code it ends. It must never serve with a
//! configuration that it could not read whole, and only `serve` writes to the folder that lasts.

mod inspect;
mod logging;
mod members;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use martenlatch_sender::Config;
use martenlatch_settings::program::{self, Program};

const AFTER: &str = "Exit codes:
  0  done
  1  the configuration or the settings cannot be used, or serving failed
  2  the command line cannot be read
  3  `wal verify` found damage

Environment of `serve` and `check`:
  PROXY_CONFIG     the platform's configuration, a JSON file
  PROXY_STATE      the folder that lasts
  PROXY_LISTEN, PROXY_DISCOVERY, PROXY_OPERATOR, PROXY_NAME
                   outrank the configuration's `listen`, `discovery` and `operator`; name the sender in its log

Where `operator` names an address, it answers a line a connection: health, counters, cordon ID, uncordon ID.";

/// Delivers messages to partners' endpoints, each to one final answer.
#[derive(Parser)]
#[command(name = "martenlatch", version, after_help = AFTER)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    own: Own,
}

#[derive(clap::Args)]
struct Own {
    /// The program's own settings, a protobuf text file; absent: the defaults
    #[arg(long, value_name = "FILE", env = "MARTENLATCH_SETTINGS", global = true)]
    settings: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve until told to end; what the program does without a command
    Serve,
    /// Read the configuration and the settings, say what is wrong with them, and serve nothing
    Check,
    /// Ask the running sender that the settings name whom it holds for members
    Members {
        /// One JSON object a line
        #[arg(long)]
        json: bool,
    },
    /// Look into a write-ahead log without changing it
    #[command(name = "wal", alias = "ledger")]
    WriteAheadLog {
        #[command(subcommand)]
        what: WriteAheadLog,
    },
    /// Print the version
    Version,
}

#[derive(Subcommand)]
enum WriteAheadLog {
    /// List what is not over: number, class, destination, time left, routed tasks, end owed
    Show {
        /// The folder that lasts
        #[arg(env = "PROXY_STATE")]
        folder: PathBuf,
        /// One JSON object a line
        #[arg(long)]
        json: bool,
    },
    /// Read every record; exit code 3 if the file is damaged
    Verify {
        /// The folder that lasts
        #[arg(env = "PROXY_STATE")]
        folder: PathBuf,
    },
}

fn own(file: Option<&PathBuf>) -> Result<Program, String> {
    let Some(file) = file else {
        return Ok(Program::default());
    };
    let text =
        std::fs::read_to_string(file).map_err(|e| format!("settings: {}: {e}", file.display()))?;
    program::read(&file.display().to_string(), &text).map_err(|e| e.to_string())
}

fn configured(file: Option<&PathBuf>) -> Result<(Program, Config), String> {
    let program = own(file)?;
    let config = Config::read().map_err(|error| error.to_string())?;
    Ok((
        program.clone(),
        Config {
            clients: program.clients,
            peers: program.peers,
            ..config
        },
    ))
}

fn run(cli: Cli) -> Result<ExitCode, String> {
    match cli.command.unwrap_or(Command::Serve) {
        Command::Serve => {
            let (program, config) = configured(cli.own.settings.as_ref())?;
            logging::start(&program.log);
            martenlatch_sender::run(config).map_err(|error| error.to_string())?;
        }
        Command::Check => {
            let (_, config) = configured(cli.own.settings.as_ref())?;
            if let Some(peers) = &config.peers {
                martenlatch_sender::secret(&peers.secret_file)?;
            }
            println!(
                "usable: listen={} discovery={} operator={} classes={} slots={} hold_limit={}",
                config.listen,
                config.discovery,
                config
                    .operator
                    .map_or("none".to_string(), |at| at.to_string()),
                config.boot.classes.len(),
                config.boot.settings.max_in_flight,
                config.boot.settings.max_held
            );
        }
        Command::Members { json } => {
            let program = own(cli.own.settings.as_ref())?;
            let peers = program
                .peers
                .ok_or("peers: the settings name none; give a file with --settings")?;
            members::show(&peers, json)?;
        }
        Command::WriteAheadLog {
            what: WriteAheadLog::Show { folder, json },
        } => inspect::show(&folder, json)?,
        Command::WriteAheadLog {
            what: WriteAheadLog::Verify { folder },
        } => {
            return Ok(if inspect::verify(&folder)? {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(3)
            });
        }
        Command::Version => println!("martenlatch {}", env!("CARGO_PKG_VERSION")),
    }
    Ok(ExitCode::SUCCESS)
}

fn main() -> ExitCode {
    run(Cli::parse()).unwrap_or_else(|message| {
        eprintln!("martenlatch: {message}");
        ExitCode::FAILURE
    })
}
