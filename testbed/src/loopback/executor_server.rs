//! Serves the executor model over the executor's line protocol.

use super::listener::accept_until;
use super::Clock;
use crate::executor::{BusyReading, Executor, Notice, Work};
use crate::experiment::Experiment;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, RecvTimeoutError};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// What is received from the worker.
enum Received {
    Link(TcpStream),
    Line(String),
}

/// Serves the executor model: one thread accepts connections, one for each connection reads its lines, and one runs the
/// model until `stop` is set and returns it.
pub fn serve_executor(
    listener: TcpListener,
    experiment: &Experiment,
    clock: Clock,
    stop: &Arc<AtomicBool>,
) -> thread::JoinHandle<Executor> {
    let model = Executor::new(experiment.executor.clone(), experiment.slow.clone());
    let (sender, received) = channel::<Received>();
    accept_until(listener, stop.clone(), move |stream| {
        let Ok(writer) = stream.try_clone() else { return };
        let _ = sender.send(Received::Link(writer));
        let sender = sender.clone();
        thread::spawn(move || {
            let lines = BufReader::new(stream).lines();
            lines.map_while(Result::ok).try_for_each(|l| sender.send(Received::Line(l)))
        });
    });
    let stop = stop.clone();
    let cold = experiment.executor.cold_s > 0.0;
    let cores = f64::from(experiment.executor.cores);
    thread::spawn(move || {
        let mut server = ExecutorServer {
            model,
            link: None,
            notices: Vec::new(),
            cold,
            cores,
            busy: BusyReading::default(),
        };
        while !stop.load(Ordering::Relaxed) {
            let now = clock.now();
            let wait = server.model.next_notice_at().map_or(0.05, |at| at - now).clamp(0.0, 0.05);
            match received.recv_timeout(Duration::from_secs_f64(wait)) {
                Ok(Received::Link(stream)) => server.link = Some(stream),
                Ok(Received::Line(line)) => {
                    server.advance(clock.now());
                    server.handle_command(clock.now(), &line);
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
            server.advance(clock.now());
        }
        server.model
    })
}

/// The executor model and the state of its protocol.
struct ExecutorServer {
    model: Executor,
    link: Option<TcpStream>,
    /// All notices so far; those that the worker has not seen are repeated when it joins again.
    notices: Vec<String>,
    cold: bool,
    cores: f64,
    busy: BusyReading,
}

impl ExecutorServer {
    fn send(&mut self, line: &str) {
        if let Some(link) = &mut self.link {
            if link.write_all(format!("{line}\n").as_bytes()).is_err() {
                self.link = None;
            }
        }
    }

    fn send_notice(&mut self, mut notice: Value) {
        notice["n"] = json!(self.notices.len() + 1);
        let line = notice.to_string();
        self.send(&line);
        self.notices.push(line);
    }

    fn advance(&mut self, now: f64) {
        for (_, notice) in self.model.advance(now) {
            match notice {
                Notice::RunEnded { run, degraded } => {
                    let data = STANDARD.encode(if degraded { "poor" } else { "full" });
                    self.send_notice(
                        json!({"type": "EXIT", "job": run, "state": "PASS", "took": 1.0, "data": data}),
                    );
                }
                Notice::CallRequested { run } => {
                    self.send_notice(json!({"type": "CALLOUT", "job": run, "data": STANDARD.encode("?")}));
                }
            }
        }
    }

    fn handle_command(&mut self, now: f64, line: &str) {
        let Ok(command) = serde_json::from_str::<Value>(line) else {
            self.link = None;
            return;
        };
        let job = command["job"].as_str().unwrap_or("").to_owned();
        match command["type"].as_str().unwrap_or("") {
            "JOIN" => {
                let state = if self.cold { "EMPTY" } else { "LOADED" };
                let took = if self.cold { 1.0 } else { 3_600_000.0 };
                self.send(&json!({"type": "WELCOME", "state": state, "took": took}).to_string());
                let after = command["n"].as_u64().unwrap_or(0) as usize;
                let missed: Vec<String> = self.notices.iter().skip(after).cloned().collect();
                for line in &missed {
                    self.send(line);
                }
            }
            "EXEC" => {
                let body = STANDARD.decode(command["data"].as_str().unwrap_or("")).unwrap_or_default();
                self.model.start(&job, Work::decode(&body));
            }
            "RETURN" => drop(self.model.resume(&job, false)),
            "BYPASS" => drop(self.model.resume(&job, true)),
            "METER" => {
                let BusyReading { at: since, busy_s: before } = self.busy;
                let busy = (self.model.busy_s() - before) / (now - since).max(1e-3) / self.cores;
                // The gauge is the mean since the reading in `self.busy`, which is replaced once it is older than 0.1 s.
                if now - since > 0.1 {
                    self.busy = BusyReading { at: now, busy_s: self.model.busy_s() };
                }
                let gauges = [busy.min(1.0), self.model.running() as f64, 0.1, 3.0];
                self.send(&json!({"type": "METERS", "ref": command["ref"], "gauges": gauges}).to_string());
            }
            _ => {}
        }
    }
}
