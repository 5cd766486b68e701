//! Starts one coordinator.

use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing_subscriber::filter::Targets;

/// The variable that names which events are logged, as `TARGET=LEVEL` with commas between, or one level for all.
const FILTER_VARIABLE: &str = "RUST_LOG";
/// The exit status where the file or the address can't be used.
const EXIT_UNUSABLE: u8 = 2;

#[derive(Parser)]
#[command(name = "fleet-coordinator", version, about = "Holds a fleet's leases, with its peers")]
struct Arguments {
    /// Its file, as deploy/coordinator.toml shows.
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
            ExitCode::from(EXIT_UNUSABLE)
        }
    }
}

/// The operator's filter; a variable that can't be read counts as none.
fn log_filter() -> Option<Targets> {
    std::env::var(FILTER_VARIABLE).ok()?.parse().ok()
}
