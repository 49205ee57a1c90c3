//! Runs martenlatch's decision module over a line protocol on standard input and output.
//!
//! The adapter makes no decisions. It translates names into the module's integer ids, input lines into the module's
//! events, and the module's actions into output lines.

mod adapter;
mod endpoint_lists;
mod error;
mod fields;
mod instance;
mod messages;
mod reply;

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = io::BufReader::with_capacity(1 << 16, io::stdin().lock());
    let output = io::BufWriter::new(io::stdout().lock());
    match adapter::serve(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("martenlatch-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
