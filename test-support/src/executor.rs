//! A scripted executor, which runs the requests that the worker admits.

use crate::{accept_link, unique_request_id, Client, RequestBuilder, WorkerUnderTest, TIMEOUT};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::Instant;

/// Gauges of a two-core executor with one core free, in the order of `ownStats` in the settings. With these, the worker may
/// start a third run.
const DEFAULT_GAUGES: [f64; 4] = [0.5, 1.0, 0.1, 3.0];
/// Uptime of a warm executor (milliseconds).
const WARM_UPTIME_MS: f64 = 3_600_000.0;

/// Encodes text in base64, as the executor's protocol carries it.
#[must_use]
pub fn to_base64(text: &str) -> String {
    use base64::Engine;
    base64::engine::general_purpose::STANDARD.encode(text)
}

/// A scripted executor on one link. Gauge queries (METER) are answered automatically.
#[derive(Debug)]
pub struct Executor {
    reader: BufReader<TcpStream>,
    /// The sequence number of the last notice sent.
    pub last_notice: u64,
    /// The gauges that it reports, in the order of `ownStats` in the settings. By default one of two cores is free, so that the
    /// worker may start a third run.
    pub gauges: [f64; 4],
    /// Jobs that were started before this link. The worker may send EXEC commands again that were lost with an earlier link;
    /// those for these jobs are skipped.
    pub started_jobs: Vec<Value>,
}

impl Executor {
    /// Accepts the worker's next link.
    ///
    /// # Panics
    /// Panics if the worker does not connect.
    #[must_use]
    pub fn accept(listener: &TcpListener) -> Executor {
        Executor {
            reader: BufReader::new(accept_link(listener)),
            last_notice: 0,
            gauges: DEFAULT_GAUGES,
            started_jobs: Vec::new(),
        }
    }

    /// Answers the worker's JOIN as a warm executor.
    ///
    /// # Panics
    /// Panics if the link is broken.
    pub fn send_welcome(&mut self) {
        self.send(&json!({"type": "WELCOME", "state": "LOADED", "took": WARM_UPTIME_MS}));
    }

    /// Sends a notice without a sequence number.
    ///
    /// # Panics
    /// Panics if the link is broken.
    pub fn send(&mut self, notice: &Value) {
        self.send_raw(&format!("{notice}\n"));
    }

    /// Sends text as it is, without adding a line end; it may be a part of a notice.
    ///
    /// # Panics
    /// Panics if the link is broken.
    pub fn send_raw(&mut self, text: &str) {
        self.reader.get_ref().write_all(text.as_bytes()).unwrap();
    }

    /// Sends a notice with the next sequence number.
    ///
    /// # Panics
    /// Panics if the link is broken.
    pub fn send_notice(&mut self, mut notice: Value) {
        self.last_notice += 1;
        notice["n"] = json!(self.last_notice);
        self.send(&notice);
    }

    /// Reports the end of a run.
    ///
    /// # Panics
    /// Panics if the link is broken.
    pub fn send_exit(&mut self, job: &Value, state: &str, result: &str) {
        let data = to_base64(result);
        self.send_notice(json!({"type": "EXIT", "job": job, "state": state, "took": 1.0, "data": data}));
    }

    /// Shuts down the sending direction, so that the worker closes the link. Dropping the link instead would reset it
    /// if a command is unread.
    ///
    /// # Panics
    /// Panics if the link is broken.
    pub fn end_link(&self) {
        self.reader.get_ref().shutdown(Shutdown::Write).unwrap();
    }

    /// Reads the next command other than a gauge query.
    ///
    /// # Panics
    /// Panics if no such command arrives within [`TIMEOUT`] or the link is closed.
    pub fn read_command(&mut self) -> Value {
        self.read_command_or_end().expect("the executor link was closed")
    }

    /// Like [`Executor::read_command`], but returns `None` when the link is closed.
    ///
    /// # Panics
    /// Panics if neither a command nor the end of the link arrives within [`TIMEOUT`].
    pub fn read_command_or_end(&mut self) -> Option<Value> {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            assert!(Instant::now() < deadline, "no command except gauge queries arrived within {TIMEOUT:?}");
            let mut line = String::new();
            match self.reader.read_line(&mut line) {
                Ok(0) => return None,
                Err(e) if e.kind() == ErrorKind::ConnectionReset => return None,
                read => read.expect("can't read a command"),
            };
            let command: Value = serde_json::from_str(&line).unwrap();
            if command["type"] == "EXEC" && self.started_jobs.contains(&command["job"]) {
                continue;
            }
            if command["type"] != "METER" {
                return Some(command);
            }
            let gauges = json!({"type": "METERS", "ref": command["ref"], "gauges": self.gauges});
            if self.reader.get_ref().write_all(format!("{gauges}\n").as_bytes()).is_err() {
                return None;
            }
        }
    }

    /// Reads the commands up to the next gauge query, which the worker sends at every wake-up.
    ///
    /// # Panics
    /// Panics if no gauge query arrives within [`TIMEOUT`] or the link is closed.
    pub fn read_commands_of_one_wakeup(&mut self) -> Vec<Value> {
        let mut commands = Vec::new();
        loop {
            let mut line = String::new();
            assert!(
                self.reader.read_line(&mut line).expect("can't read a command") > 0,
                "the executor link was closed"
            );
            let command: Value = serde_json::from_str(&line).unwrap();
            if command["type"] == "METER" {
                self.send(&json!({"type": "METERS", "ref": command["ref"], "gauges": self.gauges}));
                return commands;
            }
            commands.push(command);
        }
    }

    /// Reads all commands until the worker closes the link. Gauge queries are not answered: an answer to a worker that
    /// has exited would reset the link, and its last commands would be lost.
    ///
    /// # Panics
    /// Panics if the link is not closed within [`TIMEOUT`].
    pub fn read_remaining_commands(&mut self) -> Vec<Value> {
        let lines = (&mut self.reader)
            .lines()
            .map(|l| serde_json::from_str(&l.expect("can't read a command")).unwrap());
        lines.filter(|c: &Value| c["type"] != "METER").collect()
    }

    /// Reads the next command and checks its type.
    ///
    /// # Panics
    /// Panics if no command arrives, or one of another type.
    pub fn expect_command(&mut self, kind: &str) -> Value {
        let command = self.read_command();
        assert_eq!(command["type"], kind, "{command}");
        command
    }

    /// Completes the next run with this result and checks that the client receives it.
    ///
    /// # Panics
    /// Panics if the client receives anything else.
    pub fn serve_next(&mut self, client: &mut Client, result: &str) {
        let exec = self.expect_command("EXEC");
        self.send_exit(&exec["job"], "PASS", result);
        let reply = client.read_response();
        assert_eq!((reply.status, &reply.body[..]), (200, result.as_bytes()));
    }

    /// Checks that the worker sends no command except the one that starts a marker request. That command shows that the
    /// worker has processed everything sent before it.
    ///
    /// # Panics
    /// Panics if another command arrives.
    pub fn expect_no_command(&mut self, worker: &WorkerUnderTest) {
        let marker = unique_request_id();
        let mut client = Client::connect(worker.http);
        client.send(&RequestBuilder::new("look").id(&marker));
        let command = self.read_command();
        assert_eq!(command["job"], marker.as_str(), "{command}");
        self.send_exit(&command["job"], "PASS", "");
        assert_eq!(client.read_response().status, 200);
    }
}
