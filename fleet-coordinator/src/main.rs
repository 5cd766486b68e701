//! Starts one coordinator.

use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(name = "fleet-coordinator", version, about = "Holds a fleet's leases, with its peers")]
struct Arguments {
    /// Its file, as deploy/coordinator.toml shows.
    #[arg(long)]
    config: PathBuf,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let filter = tracing_subscriber::EnvFilter::try_from_default_env().unwrap_or_else(|_| "info".into());
    // A line that can't be written, as on a full disk, must not end the process.
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .log_internal_errors(false)
        .init();
    match fleet_coordinator::net::run(&arguments.config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fleet-coordinator: {}", error.to_string().replace('\n', " "));
            ExitCode::from(2)
        }
    }
}
