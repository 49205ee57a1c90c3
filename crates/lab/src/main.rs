//! The laboratory's program: it plays experiments, compares and judges what they left, and measures.

mod cli;
mod commands;

use std::process::ExitCode;

use clap::Parser;

use cli::{Cli, Command};
use commands::Conclusion;

/// The exit codes of a command that does not end well.
struct ExitCodes {
    /// A rule was broken.
    rule_broken: u8,
    /// Something cannot be read, written or played.
    failed: u8,
}

const USUAL_CODES: ExitCodes = ExitCodes {
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
    // A soak tells by its exit code whether it was played at all.
    let codes = match command {
        Command::Soak(_) => SOAK_CODES,
        _ => USUAL_CODES,
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
