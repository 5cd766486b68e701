//! Starts one port worker from the configuration that the platform names.

use honeypost::config::{Config, Operator};
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
    let mut arguments = std::env::args().skip(1);
    let operator = match (arguments.next().as_deref(), arguments.next(), arguments.next()) {
        (None, ..) => None,
        (Some("--operator"), Some(path), None) => Some(path),
        _ => return Err("usage: honeypost [--operator FILE]".to_owned()),
    };
    let path = std::env::var("ROUTER_CONFIG").map_err(|_| "ROUTER_CONFIG names no file".to_owned())?;
    let config = Config::decode(&read(&path)?).map_err(|e| format!("{path}: {e}"))?;
    let operator = match operator {
        Some(path) => Operator::decode(&read(&path)?, &config).map_err(|e| format!("{path}: {e}"))?,
        None => Operator::default(),
    };
    net::run(config, operator)
}

fn read(path: &str) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))
}
