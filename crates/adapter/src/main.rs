//! Drives martenlatch's decision module over a line protocol on standard input and output.
//!
//! It translates and never decides: names to small integers, lines to events, actions to lines.

mod wire;

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = io::BufReader::with_capacity(1 << 16, io::stdin().lock());
    match wire::serve(input, io::BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("martenlatch-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}
