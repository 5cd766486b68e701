//! Starts one port worker from the configuration that the platform names.

use port_worker::config::Files;
use port_worker::net;
use std::process::ExitCode;

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("port-worker: {}", message.replace('\n', " "));
            ExitCode::from(2)
        }
    }
}

fn start() -> Result<(), String> {
    let mut arguments = std::env::args().skip(1);
    let operator = match (arguments.next().as_deref(), arguments.next(), arguments.next()) {
        (None, ..) => None,
        (Some("--operator"), Some(path), None) => Some(path),
        _ => return Err("usage: port-worker [--operator FILE]".to_owned()),
    };
    let config = std::env::var("ROUTER_CONFIG").map_err(|_| "ROUTER_CONFIG names no file".to_owned())?;
    let given = |name: &str| std::env::var(name).ok().filter(|value| !value.is_empty());
    let (console, socket, folder) = (given("ROUTER_CONSOLE"), given("ROUTER_SOCKET_FD"), given("TMPDIR"));
    net::run(Files { config, operator, console, socket, folder })
}
