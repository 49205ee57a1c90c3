//! Runs the commands. Only `serve` writes to the state directory, and it starts only if the configuration and the
//! settings are valid as a whole.

use std::path::Path;
use std::process::ExitCode;

use martenlatch_sender::Config;
use martenlatch_settings::program::{self, ProgramSettings};

use crate::cli::{Cli, Command, EXIT_DAMAGED, WalCommand};
use crate::error::CommandError;
use crate::{inspect, logging, members};

/// Runs the given command, or `serve` if none is given.
pub fn run(cli: Cli) -> Result<ExitCode, CommandError> {
    let settings_file = cli.options.settings.as_deref();
    match cli.command.unwrap_or(Command::Serve) {
        Command::Serve => serve(settings_file)?,
        Command::Check => check(settings_file)?,
        Command::Members { json } => show_members(settings_file, json)?,
        Command::Wal { command } => return run_wal(command),
        Command::Version => println!("martenlatch {}", env!("CARGO_PKG_VERSION")),
    }
    Ok(ExitCode::SUCCESS)
}

fn run_wal(command: WalCommand) -> Result<ExitCode, CommandError> {
    match command {
        WalCommand::Show { folder, json } => {
            inspect::show(&folder, json)?;
            Ok(ExitCode::SUCCESS)
        }
        WalCommand::Verify { folder } => {
            let is_intact = inspect::verify(&folder)?;
            Ok(if is_intact {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(EXIT_DAMAGED)
            })
        }
    }
}

fn serve(settings_file: Option<&Path>) -> Result<(), CommandError> {
    let settings = read_settings(settings_file)?;
    let log = settings.log;
    let config = read_config(settings)?;
    logging::start(&log);
    martenlatch_sender::run(config).map_err(CommandError::Serve)
}

fn check(settings_file: Option<&Path>) -> Result<(), CommandError> {
    let config = read_config(read_settings(settings_file)?)?;
    if let Some(peers) = &config.peers {
        martenlatch_sender::read_shared_secret(&peers.secret_file)
            .map_err(CommandError::InvalidSecret)?;
    }
    let operator = match config.operator {
        Some(address) => address.to_string(),
        None => "none".to_string(),
    };
    println!(
        "usable: listen={} discovery={} operator={operator} classes={} slots={} hold_limit={}",
        config.listen,
        config.discovery,
        config.platform_settings.classes.len(),
        config.platform_settings.settings.max_in_flight,
        config.platform_settings.settings.max_open_messages
    );
    Ok(())
}

fn show_members(settings_file: Option<&Path>, json: bool) -> Result<(), CommandError> {
    let peers = read_settings(settings_file)?
        .peers
        .ok_or(CommandError::NoPeers)?;
    members::show(&peers, json)
}

/// Reads the program's own settings; returns the defaults if no file is given.
fn read_settings(file: Option<&Path>) -> Result<ProgramSettings, CommandError> {
    let Some(file) = file else {
        return Ok(ProgramSettings::default());
    };
    let text = std::fs::read_to_string(file).map_err(|source| CommandError::ReadSettings {
        file: file.to_path_buf(),
        source,
    })?;
    program::read(&file.display().to_string(), &text).map_err(CommandError::InvalidSettings)
}

/// Reads the platform's configuration and adds the timeouts for clients and the peers from the settings.
fn read_config(settings: ProgramSettings) -> Result<Config, CommandError> {
    let config = Config::read()?;
    Ok(Config {
        clients: settings.clients,
        peers: settings.peers,
        ..config
    })
}
