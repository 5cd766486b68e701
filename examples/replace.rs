//! Keeps a port worker running beside the toy site, and replaces it while it serves: once at the start, and again with
//! each line on standard input. It holds the clients' socket as the platform does.
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

/// A successor must say yes within this time, and the old process be gone within that after SIGTERM.
const READY: Duration = Duration::from_secs(6);
const GONE: Duration = Duration::from_secs(6);

type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

struct Supervisor {
    program: PathBuf,
    config: Value,
    socket: TcpListener,
    folder: PathBuf,
    started: u16,
}

impl Supervisor {
    /// Starts one more process, with a console and an executor's address that take turns, and waits for its yes.
    fn start(&mut self) -> Result<Child> {
        let turn = self.started % 2;
        self.started += 1;
        let console = format!("127.0.0.1:{}", 7010 + turn);
        self.config["console"] = json!(console);
        self.config["executor"] = json!(format!("127.0.0.1:{}", 7300 + turn));
        let file = self.folder.join(format!("config-{turn}.json"));
        std::fs::write(&file, self.config.to_string())?;
        let child = Command::new(&self.program)
            .env("ROUTER_CONFIG", &file)
            .env("ROUTER_SOCKET_FD", self.socket.as_raw_fd().to_string())
            .env("TMPDIR", &self.folder)
            .spawn()?;
        let until = Instant::now() + READY;
        while !ready(&console).unwrap_or(false) {
            if Instant::now() > until {
                return Err("the new process does not get ready".into());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        println!("process {} serves; its console is {console}", child.id());
        Ok(child)
    }
}

fn ready(console: &str) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(console)?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: console\r\n\r\n")?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer.starts_with("HTTP/1.1 200"))
}

/// SIGTERM, and SIGKILL where that is not enough.
fn end(mut child: Child) -> Result<()> {
    Command::new("kill").args(["-TERM", &child.id().to_string()]).status()?;
    let until = Instant::now() + GONE;
    while child.try_wait()?.is_none() {
        if Instant::now() > until {
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
    // Whatever is started from here on inherits it.
    rustix::io::fcntl_setfd(&socket, rustix::io::FdFlags::empty())?;
    let folder = std::env::temp_dir().join(format!("honeypost-replace-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let mut supervisor = Supervisor { program: program.into(), config, socket, folder, started: 0 };
    let mut current = supervisor.start()?;
    for line in std::io::stdin().lock().lines() {
        line?;
        match supervisor.start() {
            Ok(new) => end(std::mem::replace(&mut current, new))?,
            // The old one has served all along.
            Err(e) => println!("not replaced: {e}"),
        }
    }
    end(current)?;
    std::fs::remove_dir_all(&supervisor.folder)?;
    Ok(())
}
