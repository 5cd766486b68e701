//! Runs a port worker with the peers of the `toy_site` example, and replaces it by hot restart for each line on
//! standard input. Like a supervisor in production, it holds the listening socket and passes it to every worker
//! process.
//!
//! ```sh
//! cargo run --example toy_site                                # in one terminal
//! cargo run --example replace -- target/release/port-worker     # in another; press Enter to replace the worker
//! ```

use serde_json::{json, Value};
use std::io::{BufRead, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::process::{Child, Command};
use std::time::{Duration, Instant};

/// Time limit for a new process to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(6);
/// Time limit for a process to exit after SIGTERM.
const EXIT_TIMEOUT: Duration = Duration::from_secs(6);

type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

struct Supervisor {
    program: PathBuf,
    config: Value,
    socket: TcpListener,
    folder: PathBuf,
    /// The number of processes started so far.
    started_count: u16,
}

impl Supervisor {
    /// Starts another process and waits until it is ready. Successive processes alternate between two console addresses
    /// and two executor addresses, since two processes run at the same time during a hot restart.
    fn start(&mut self) -> Result<Child> {
        let parity = self.started_count % 2;
        self.started_count += 1;
        let console = format!("127.0.0.1:{}", 7010 + parity);
        self.config["console"] = json!(console);
        self.config["executor"] = json!(format!("127.0.0.1:{}", 7300 + parity));
        let file = self.folder.join(format!("config-{parity}.json"));
        std::fs::write(&file, self.config.to_string())?;
        let child = Command::new(&self.program)
            .env("ROUTER_CONFIG", &file)
            .env("ROUTER_SOCKET_FD", self.socket.as_raw_fd().to_string())
            .env("TMPDIR", &self.folder)
            .spawn()?;
        let deadline = Instant::now() + READY_TIMEOUT;
        while !is_ready(&console).unwrap_or(false) {
            if Instant::now() > deadline {
                return Err("the new process did not become ready within 6 s".into());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        println!("process {} is ready; its console is {console}", child.id());
        Ok(child)
    }
}

fn is_ready(console: &str) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(console)?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: console\r\n\r\n")?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    Ok(response.starts_with("HTTP/1.1 200"))
}

/// Sends SIGTERM, and SIGKILL if the process does not exit within [`EXIT_TIMEOUT`].
fn stop(mut child: Child) -> Result<()> {
    Command::new("kill").args(["-TERM", &child.id().to_string()]).status()?;
    let deadline = Instant::now() + EXIT_TIMEOUT;
    while child.try_wait()?.is_none() {
        if Instant::now() > deadline {
            child.kill()?;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

fn main() -> Result<()> {
    let program = std::env::args().nth(1).unwrap_or_else(|| "target/release/port-worker".to_owned());
    let config: Value = serde_json::from_str(&std::fs::read_to_string("examples/config.json")?)?;
    let socket = TcpListener::bind(config["listen"].as_str().unwrap_or("127.0.0.1:7001"))?;
    // Clears FD_CLOEXEC, so that child processes inherit the socket.
    rustix::io::fcntl_setfd(&socket, rustix::io::FdFlags::empty())?;
    let folder = std::env::temp_dir().join(format!("honeypost-replace-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let mut supervisor = Supervisor { program: program.into(), config, socket, folder, started_count: 0 };
    let mut current = supervisor.start()?;
    for line in std::io::stdin().lock().lines() {
        line?;
        match supervisor.start() {
            Ok(new) => stop(std::mem::replace(&mut current, new))?,
            // The old process has not been stopped and still serves.
            Err(e) => println!("not replaced: {e}"),
        }
    }
    stop(current)?;
    std::fs::remove_dir_all(&supervisor.folder)?;
    Ok(())
}
