//! The `martenlatch` program: runs the command given on the command line and exits with its exit code.

mod cli;
mod commands;
mod error;
mod inspect;
mod logging;
mod members;

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    match commands::run(cli::Cli::parse()) {
        Ok(exit_code) => exit_code,
        Err(error) => {
            eprintln!("martenlatch: {error}");
            ExitCode::FAILURE
        }
    }
}
