//! The laboratory's program: it plays experiments, compares and judges what they left, and measures.

mod cli;
mod commands;

use std::process::ExitCode;

use clap::Parser;

use cli::{Cli, Command};
use commands::Conclusion;

/// The exit code where a rule was broken.
const RULE_BROKEN: u8 = 3;

fn run(command: Command) -> miette::Result<Conclusion> {
    match command {
        Command::Run(options) => commands::run::run(&options),
        Command::Compare { base, other } => commands::compare::compare(&base, &other),
        Command::Judge { dir } => commands::judge::judge(&dir),
        Command::List => commands::list::list(),
        Command::Roof(options) => commands::roof::roof(&options),
        Command::Relay(options) => commands::relay::relay(options),
        Command::Members(options) => commands::members::members(&options),
        Command::Turns(options) => commands::turns::turns(&options),
    }
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(Conclusion::RulesKept) => ExitCode::SUCCESS,
        Ok(Conclusion::RuleBroken) => ExitCode::from(RULE_BROKEN),
        Err(error) => {
            eprintln!("martenlatch-lab: {error}");
            ExitCode::FAILURE
        }
    }
}
