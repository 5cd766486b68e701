//! `testbed fleet` and `testbed fault`: a fleet that runs, and the command that injects faults into it.

use super::{FleetFile, Programs, Rig};
use crate::error::TestbedError;
use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// The reply to a fault that was carried out.
const DONE: &str = "done";
/// How long a command may take to arrive.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);
/// Between two looks for commands.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

impl Rig {
    /// Carries out one fault, in the words of the command line.
    ///
    /// # Errors
    /// Why it can't be done.
    pub fn fault(&mut self, words: &[&str]) -> Result<(), TestbedError> {
        match words {
            ["cut", a, b] => self.cut(a, b, false, true),
            ["cut", a, b, "--one-way"] => self.cut(a, b, true, true),
            ["heal", a, b] => self.cut(a, b, false, false),
            ["pause", name] => self.pause(name),
            ["resume", name] => self.resume(name),
            ["kill", name] => self.kill(name),
            ["start", name] => self.restart(name),
            ["fill", name] => self.fill(name, true),
            ["free", name] => self.fill(name, false),
            other => Err(TestbedError::UnknownFault { words: other.join(" ") }),
        }
    }
}

/// `testbed fleet`: starts a fleet, prints a line a process, and carries out what `testbed fault` asks until
/// `over` says so.
///
/// # Errors
/// What did not come up.
pub fn serve(
    file: FleetFile,
    folder: &Path,
    programs: Programs,
    over: &AtomicBool,
) -> Result<(), TestbedError> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    listener.set_nonblocking(true)?;
    let mut rig = Rig::start(file, folder, programs)?;
    rig.control = listener.local_addr().ok();
    rig.write_json()?;
    rig.lines().iter().for_each(|line| println!("{line}"));
    while !over.load(Ordering::Relaxed) {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(POLL_INTERVAL);
            continue;
        };
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_read_timeout(Some(COMMAND_TIMEOUT));
        let mut line = String::new();
        if BufReader::new(&stream).read_line(&mut line).is_ok() {
            let result = rig.fault(&line.split_whitespace().collect::<Vec<_>>());
            let _ = writeln!(
                &stream,
                "{}",
                result.err().map_or_else(|| DONE.to_owned(), |fault| fault.to_string())
            );
        }
    }
    Ok(())
}

/// `testbed fault`: asks the fleet of this folder for a fault.
///
/// # Errors
/// There is no fleet, or why it can't be done.
pub fn request_fault(folder: &Path, words: &[String]) -> Result<(), TestbedError> {
    let path = folder.join("fleet.json");
    let text = std::fs::read_to_string(&path).map_err(TestbedError::file(&path))?;
    let fleet: Value =
        serde_json::from_str(&text).map_err(|source| TestbedError::Json { path: path.clone(), source })?;
    let control: SocketAddr =
        fleet["control"].as_str().and_then(|a| a.parse().ok()).ok_or(TestbedError::NoFaultControl)?;
    let mut stream = TcpStream::connect(control).map_err(TestbedError::peer(control))?;
    writeln!(stream, "{}", words.join(" "))?;
    let mut reply = String::new();
    stream.read_to_string(&mut reply)?;
    match reply.trim() {
        DONE => Ok(()),
        reply => Err(TestbedError::FaultRejected { reply: reply.to_owned() }),
    }
}
