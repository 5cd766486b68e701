//! The port worker's executable: runs a worker with the configuration file that the environment variable
//! `ROUTER_CONFIG` names.

use port_worker::config::StartupOptions;
use port_worker::log;
use port_worker::net::{self, WorkerError};
use std::process::ExitCode;

/// Exit status of a worker that can't start or can't continue.
const EXIT_STATUS_UNUSABLE: u8 = 2;

/// Why the program can't start or ends with an error.
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
            ExitCode::from(EXIT_STATUS_UNUSABLE)
        }
    }
}

fn start() -> Result<(), StartError> {
    let operator = operator_file_argument()?;
    let config = std::env::var("ROUTER_CONFIG").map_err(|_| StartError::NoConfiguration)?;
    let console = non_empty_variable("ROUTER_CONSOLE");
    let socket = non_empty_variable("ROUTER_SOCKET_FD");
    let folder = non_empty_variable("TMPDIR");
    let log = log::install(None);
    net::run(StartupOptions { config, operator, console, socket, folder }, log)?;
    Ok(())
}

/// Returns the path of the operator's file from the command line, if given.
fn operator_file_argument() -> Result<Option<String>, StartError> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.as_slice() {
        [] => Ok(None),
        [flag, path] if flag == "--operator" => Ok(Some(path.clone())),
        _ => Err(StartError::Usage),
    }
}

/// Returns the value of an environment variable, or `None` if it is unset or empty.
fn non_empty_variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}
