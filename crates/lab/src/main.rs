//! The program of the laboratory: runs experiments, compares and judges their results, and takes measurements.

mod cli;
mod commands;

use std::process::ExitCode;

use clap::Parser;

use cli::{Cli, Command};
use commands::Conclusion;

/// The exit codes of a command that does not succeed.
struct ExitCodes {
    /// A rule was broken.
    rule_broken: u8,
    /// The command failed, for example because a file cannot be read or written.
    failed: u8,
}

const DEFAULT_CODES: ExitCodes = ExitCodes {
    rule_broken: 3,
    failed: 1,
};
const SOAK_CODES: ExitCodes = ExitCodes {
    rule_broken: 1,
    failed: 2,
};

fn run(command: Command) -> miette::Result<Conclusion> {
    match command {
        Command::Run(options) => commands::run::run(&options),
        Command::Compare { base, other } => commands::compare::compare(&base, &other),
        Command::Judge { dir } => commands::judge::judge(&dir),
        Command::List => commands::list::list(),
        Command::Roof(options) => commands::roof::roof(&options),
        Command::Relay(options) => commands::relay::relay(options),
        Command::Members(options) => commands::members::members(&options),
        Command::Soak(options) => commands::soak::soak(&options),
        Command::Turns(options) => commands::turns::turns(&options),
    }
}

fn main() -> ExitCode {
    let command = Cli::parse().command;
    // The exit code of a soak distinguishes a broken rule (1) from a soak that could not be carried out (2).
    let codes = match command {
        Command::Soak(_) => SOAK_CODES,
        _ => DEFAULT_CODES,
    };
    match run(command) {
        Ok(Conclusion::RulesKept) => ExitCode::SUCCESS,
        Ok(Conclusion::RuleBroken) => ExitCode::from(codes.rule_broken),
        Err(error) => {
            eprintln!("martenlatch-lab: {error}");
            ExitCode::from(codes.failed)
        }
    }
}
