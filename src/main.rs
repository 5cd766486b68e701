//! Starts one port worker from the configuration that the platform names.

use honeypost::config::Config;
use honeypost::net;
use std::process::ExitCode;

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("honeypost: {}", message.replace('\n', " "));
            ExitCode::from(2)
        }
    }
}

fn start() -> Result<(), String> {
    let path = std::env::var("ROUTER_CONFIG").map_err(|_| "ROUTER_CONFIG names no file".to_owned())?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    net::run(Config::decode(&text).map_err(|e| format!("{path}: {e}"))?)
}
