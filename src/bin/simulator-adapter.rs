//! Runs admission controllers for the simulator, with its line protocol on standard input and output.

use port_worker::simulator_adapter::{AdapterError, SimulatorAdapter};
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

/// Exit status after an invalid line or an I/O error.
const EXIT_FAILED: u8 = 2;

/// An error that ends the program.
#[derive(Debug, thiserror::Error)]
enum ServeError {
    #[error("line {number} can't be read: {source}")]
    Read { number: u64, source: io::Error },
    #[error("line {number}: {source}")]
    InvalidLine { number: u64, source: AdapterError },
    #[error("the reply to line {number} can't be written: {source}")]
    Write { number: u64, source: io::Error },
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Answers each input line with one reply until the end of the input; skips empty lines.
fn serve() -> Result<(), ServeError> {
    let mut adapter = SimulatorAdapter::default();
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut line = String::new();
    for number in 1u64.. {
        line.clear();
        if input.read_line(&mut line).map_err(|source| ServeError::Read { number, source })? == 0 {
            break;
        }
        if line.trim().is_empty() {
            continue;
        }
        let reply =
            adapter.handle_line(&line).map_err(|source| ServeError::InvalidLine { number, source })?;
        output
            .write_all(reply.as_bytes())
            .and_then(|()| output.flush())
            .map_err(|source| ServeError::Write { number, source })?;
    }
    Ok(())
}
