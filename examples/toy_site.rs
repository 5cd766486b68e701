//! Minimal loopback peers for trying out the port worker: an executor whose runs only sleep, a records service that
//! accepts every call, and a registry that prints the reports it receives. Not suitable for measurements.
//!
//! The addresses are those of `examples/config.json`. The README describes how to start the peers and the worker.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Duration of each half of a run: before its downstream call and after it.
const HALF_RUN: Duration = Duration::from_millis(60);

/// Executor state that outlives a link: all notices sent, and the data of runs that wait for a downstream call.
#[derive(Default)]
struct ExecutorState {
    link: Option<TcpStream>,
    notices: Vec<String>,
    awaiting_call: HashMap<String, Vec<u8>>,
}

impl ExecutorState {
    fn send(&mut self, message: &Value) {
        if let Some(link) = &mut self.link {
            if link.write_all(format!("{message}\n").as_bytes()).is_err() {
                self.link = None;
            }
        }
    }

    /// Sends a notice with the next sequence number and keeps it for a later link.
    fn send_notice(&mut self, mut notice: Value) {
        notice["n"] = json!(self.notices.len() + 1);
        self.notices.push(notice.to_string());
        self.send(&notice);
    }
}

fn main() -> std::io::Result<()> {
    // The second address is for a worker process that replaces the first: each executor numbers its own notices.
    let executors = [TcpListener::bind("127.0.0.1:7300")?, TcpListener::bind("127.0.0.1:7301")?];
    let records = TcpListener::bind("127.0.0.1:8900")?;
    let registry = UdpSocket::bind("127.0.0.1:2379")?;
    thread::spawn(move || {
        for stream in records.incoming().flatten() {
            thread::spawn(|| serve_records(stream));
        }
    });
    thread::spawn(move || {
        let mut bytes = [0; 256];
        while let Ok(n) = registry.recv(&mut bytes) {
            println!("registry: {}", String::from_utf8_lossy(&bytes[..n]));
        }
    });
    println!("all services are listening");
    let serve = |executor: TcpListener| {
        let state = Arc::new(Mutex::new(ExecutorState::default()));
        for link in executor.incoming().flatten() {
            if let Err(e) = serve_link(link, &state) {
                println!("executor: link ended: {e}");
            }
        }
    };
    let threads = executors.map(|executor| thread::spawn(move || serve(executor)));
    for thread in threads {
        thread.join().expect("an executor thread panicked");
    }
    Ok(())
}

fn serve_link(link: TcpStream, shared: &Arc<Mutex<ExecutorState>>) -> std::io::Result<()> {
    let reader = BufReader::new(link.try_clone()?);
    let mut link = Some(link);
    for line in reader.lines() {
        let command: Value = serde_json::from_str(&line?)?;
        let job = command["job"].as_str().unwrap_or("").to_owned();
        let mut state = shared.lock().expect("a thread panicked with the lock held");
        match command["type"].as_str().unwrap_or("") {
            "JOIN" => {
                let received = command["n"].as_u64().unwrap_or(0) as usize;
                state.link = link.take();
                // A newly started worker expects notice numbers from 1.
                if received == 0 {
                    state.notices.clear();
                }
                state.send(&json!({"type": "WELCOME", "state": "LOADED", "took": 60_000.0}));
                let missed: Vec<Value> =
                    state.notices.iter().skip(received).flat_map(|n| serde_json::from_str(n)).collect();
                for notice in &missed {
                    state.send(notice);
                }
            }
            "EXEC" => {
                println!("executor: {} run {job} started", command["kind"]);
                let data = STANDARD.decode(command["data"].as_str().unwrap_or("")).unwrap_or_default();
                let shared = shared.clone();
                thread::spawn(move || {
                    thread::sleep(HALF_RUN);
                    let mut state = shared.lock().expect("a thread panicked with the lock held");
                    state.awaiting_call.insert(job.clone(), data);
                    state.send_notice(
                        json!({"type": "CALLOUT", "job": job, "data": STANDARD.encode("number?")}),
                    );
                });
            }
            "RETURN" | "BYPASS" => {
                let Some(data) = state.awaiting_call.remove(&job) else { continue };
                let shared = shared.clone();
                thread::spawn(move || {
                    thread::sleep(HALF_RUN);
                    let result = [b"done: ", &data[..]].concat();
                    let exit = json!({"type": "EXIT", "job": job, "state": "PASS", "took": 120.0,
                        "data": STANDARD.encode(result)});
                    shared.lock().expect("a thread panicked with the lock held").send_notice(exit);
                });
            }
            "METER" => {
                state.send(&json!({"type": "METERS", "ref": command["ref"], "gauges": [0.2, 1, 0.1, 1]}));
            }
            other => println!("executor: command {other} is not supported"),
        }
    }
    Ok(())
}

/// Answers calls one at a time until the connection is closed.
fn serve_records(stream: TcpStream) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream);
    loop {
        let mut length = 0;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            if let Some((name, value)) = line.split_once(':') {
                if name.eq_ignore_ascii_case("Content-Length") {
                    length = value.trim().parse().unwrap_or(0);
                }
            } else if line.trim().is_empty() {
                break;
            }
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        reader.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes")?;
    }
}
