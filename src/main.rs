//! Starts one port worker from the configuration that the platform names.

use port_worker::config::StartupOptions;
use port_worker::log;
use port_worker::net::{self, WorkerError};
use std::process::ExitCode;

/// The exit status of a worker that can't start or go on.
const UNUSABLE: u8 = 2;

/// Why the program ends.
#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error("usage: port-worker [--operator FILE]")]
    Usage,
    #[error("ROUTER_CONFIG names no file")]
    NoConfiguration,
    #[error(transparent)]
    Worker(#[from] WorkerError),
}

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("port-worker: {}", error.to_string().replace('\n', " "));
            ExitCode::from(UNUSABLE)
        }
    }
}

fn start() -> Result<(), StartError> {
    let operator = operator_file()?;
    let config = std::env::var("ROUTER_CONFIG").map_err(|_| StartError::NoConfiguration)?;
    let console = set_variable("ROUTER_CONSOLE");
    let socket = set_variable("ROUTER_SOCKET_FD");
    let folder = set_variable("TMPDIR");
    let log = log::install(None);
    net::run(StartupOptions { config, operator, console, socket, folder }, log)?;
    Ok(())
}

/// The operator's file that the command line names.
fn operator_file() -> Result<Option<String>, StartError> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.as_slice() {
        [] => Ok(None),
        [flag, path] if flag == "--operator" => Ok(Some(path.clone())),
        _ => Err(StartError::Usage),
    }
}

/// An environment variable that is set and not empty.
fn set_variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}
