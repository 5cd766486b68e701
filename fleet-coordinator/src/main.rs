//! The coordinator's executable.

use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing_subscriber::filter::Targets;

/// Environment variable with the log filter: comma-separated `TARGET=LEVEL` pairs, or one level for all targets.
const FILTER_VARIABLE: &str = "RUST_LOG";
/// Exit status when the coordinator can't run, for example because its configuration file or listen address can't be used.
const EXIT_CANNOT_RUN: u8 = 2;

#[derive(Parser)]
#[command(name = "fleet-coordinator", version, about = "Grants a fleet's leases, as one replica of a quorum")]
struct Arguments {
    /// Configuration file; see deploy/coordinator.toml for an example.
    #[arg(long)]
    config: PathBuf,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let log = port_worker::log::install(log_filter());
    match fleet_coordinator::net::run(&arguments.config, &log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fleet-coordinator: {}", error.to_string().replace('\n', " "));
            ExitCode::from(EXIT_CANNOT_RUN)
        }
    }
}

/// Returns the operator's log filter; `None` if the variable is not set or its value is invalid.
fn log_filter() -> Option<Targets> {
    std::env::var(FILTER_VARIABLE).ok()?.parse().ok()
}
