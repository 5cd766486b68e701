//! Hosts controllers behind the line protocol on standard input and output.

use port_worker::simulator_adapter::SimulatorAdapter;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("simulator-adapter: {message}");
            ExitCode::from(2)
        }
    }
}

fn serve() -> Result<(), String> {
    let mut host = SimulatorAdapter::default();
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut line = String::new();
    for number in 1u64.. {
        line.clear();
        if input.read_line(&mut line).map_err(|e| format!("line {number}: {e}"))? == 0 {
            break;
        }
        if line.trim().is_empty() {
            continue;
        }
        let reply = host.answer(&line).map_err(|e| format!("line {number}: {e}"))?;
        output
            .write_all(reply.as_bytes())
            .and_then(|()| output.flush())
            .map_err(|e| format!("reply: {e}"))?;
    }
    Ok(())
}
