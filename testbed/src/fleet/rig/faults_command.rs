//! `testbed fleet` and `testbed fault`: runs a fleet, and sends it commands that inject faults.

use super::{FleetFile, Programs, Rig};
use crate::error::TestbedError;
use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Reply to a command that was carried out.
const DONE: &str = "done";
/// Time in which a command must arrive on an accepted connection.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between polls for commands.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

impl Rig {
    /// Carries out a fault command, given as the words of the command line.
    ///
    /// # Errors
    /// The command is unknown, or the fault can't be carried out.
    pub fn fault(&mut self, words: &[&str]) -> Result<(), TestbedError> {
        match words {
            ["cut", a, b] => self.set_partition(a, b, false, true),
            ["cut", a, b, "--one-way"] => self.set_partition(a, b, true, true),
            ["heal", a, b] => self.set_partition(a, b, false, false),
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

/// `testbed fleet`: starts a fleet, prints one line per process, and carries out the commands of `testbed fault` until
/// `stop` is set.
///
/// # Errors
/// A process does not start.
pub fn serve(
    file: FleetFile,
    folder: &Path,
    programs: Programs,
    stop: &AtomicBool,
) -> Result<(), TestbedError> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    listener.set_nonblocking(true)?;
    let mut rig = Rig::start(file, folder, programs)?;
    rig.control = listener.local_addr().ok();
    rig.write_json()?;
    rig.process_lines().iter().for_each(|line| println!("{line}"));
    while !stop.load(Ordering::Relaxed) {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(POLL_INTERVAL);
            continue;
        };
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
        let mut line = String::new();
        if BufReader::new(&stream).read_line(&mut line).is_ok() {
            let result = rig.fault(&line.split_whitespace().collect::<Vec<_>>());
            let _ = writeln!(
                &stream,
                "{}",
                result.err().map_or_else(|| DONE.to_owned(), |error| error.to_string())
            );
        }
    }
    Ok(())
}

/// `testbed fault`: sends a fault command to the fleet that runs in this folder.
///
/// # Errors
/// No fleet runs in the folder, or it rejects the command.
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
