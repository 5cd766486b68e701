//! A worker process under test.

use crate::{Client, Executor, RecordsPeer, RegistryPeer, TIMEOUT};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// Interval at which the process is polled for its exit.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A worker process and its peers. Dropping it kills the process and removes its folder.
#[derive(Debug)]
pub struct WorkerUnderTest {
    child: Child,
    lines: Receiver<String>,
    /// The log lines read so far.
    pub log: Vec<String>,
    /// The console's address, if there is one.
    pub console: Option<SocketAddr>,
    /// The HTTP/1.1 frontend's address.
    pub http: SocketAddr,
    /// The AJP frontend's address, if there is one.
    pub ajp: Option<SocketAddr>,
    /// The HTTP/2 frontend's address, if there is one.
    pub http2: Option<SocketAddr>,
    /// The listener that the worker's executor link connects to.
    pub executor: TcpListener,
    /// The records service.
    pub records: RecordsPeer,
    /// The registry.
    pub registry: RegistryPeer,
    config: Value,
    folder: PathBuf,
}

/// The peers that a worker had before [`WorkerUnderTest::move_peers`].
#[derive(Debug)]
pub struct PreviousPeers {
    /// The listener that the executor link connected to.
    pub executor: TcpListener,
    /// The records service.
    pub records: RecordsPeer,
    /// The registry.
    pub registry: RegistryPeer,
}

impl WorkerUnderTest {
    /// Wraps a process that has just been started; its addresses are not known yet.
    pub(crate) fn new(
        mut child: Child,
        executor: TcpListener,
        records: RecordsPeer,
        registry: RegistryPeer,
        config: Value,
        folder: PathBuf,
    ) -> WorkerUnderTest {
        let stderr = BufReader::new(child.stderr.take().unwrap());
        let (sender, lines) = channel();
        std::thread::spawn(move || stderr.lines().map_while(Result::ok).try_for_each(|l| sender.send(l)));
        WorkerUnderTest {
            child,
            lines,
            log: Vec::new(),
            console: None,
            http: SocketAddr::from(([127, 0, 0, 1], 0)),
            ajp: None,
            http2: None,
            executor,
            records,
            registry,
            config,
            folder,
        }
    }

    /// Reads the address of each frontend from the log.
    pub(crate) fn read_addresses(&mut self, operator_file: &str) {
        if self.config.get("console").is_some() {
            self.console = Some(self.read_address("frontend=console address="));
        }
        self.http = self.read_address("frontend=http address=");
        self.ajp = operator_file.contains("[ajp]").then(|| self.read_address("frontend=ajp address="));
        self.http2 = operator_file.contains("[http2]").then(|| self.read_address("frontend=http2 address="));
    }

    fn read_address(&mut self, prefix: &str) -> SocketAddr {
        let line = self.wait_log(prefix);
        let address = line.split(prefix).nth(1).unwrap();
        address.split(' ').next().unwrap().parse().unwrap()
    }

    /// Waits for a log line that contains this text.
    ///
    /// # Panics
    /// Panics if no further log line arrives within [`TIMEOUT`].
    pub fn wait_log(&mut self, part: &str) -> String {
        loop {
            let line = self.lines.recv_timeout(TIMEOUT).unwrap_or_else(|_| {
                panic!("no log line with {part:?} within {TIMEOUT:?}; read: {:?}", self.log)
            });
            self.log.push(line.clone());
            if line.contains(part) {
                return line;
            }
        }
    }

    /// Reads the available log lines up to one that contains this text, without waiting.
    pub fn find_log(&mut self, part: &str) -> Option<String> {
        while let Ok(line) = self.lines.try_recv() {
            self.log.push(line.clone());
            if line.contains(part) {
                return Some(line);
            }
        }
        None
    }

    /// Returns the complete log of a worker that has exited.
    pub fn complete_log(&mut self) -> &[String] {
        self.log.extend(self.lines.iter());
        &self.log
    }

    /// Accepts the executor link as a warm executor, and waits until the worker reports to the registry that it is
    /// ready.
    ///
    /// # Panics
    /// Panics if the worker does not connect or does not become ready.
    #[must_use]
    pub fn accept_link(&self) -> Executor {
        let executor = self.accept_link_without_waiting();
        self.wait_load_report("ready");
        executor
    }

    /// Accepts the executor link as a warm executor, without waiting for a load report.
    ///
    /// # Panics
    /// Panics if the worker does not connect.
    #[must_use]
    pub fn accept_link_without_waiting(&self) -> Executor {
        let mut executor = Executor::accept(&self.executor);
        assert_eq!(executor.expect_command("JOIN")["n"], 0);
        executor.send_welcome();
        executor
    }

    /// Waits until the worker reports this state to the registry.
    ///
    /// # Panics
    /// Panics if no such report arrives within [`TIMEOUT`].
    pub fn wait_load_report(&self, state: &str) {
        self.registry.wait_for_state(state);
    }

    /// Makes a request to the console and returns the response's status and text.
    ///
    /// # Panics
    /// Panics if there is no console or no response.
    #[must_use]
    pub fn console_request(&self, method: &str, path: &str) -> (u16, String) {
        let mut client = Client::connect(self.console.expect("the worker has no console"));
        client.write(&format!("{method} {path} HTTP/1.1\r\nHost: n1\r\n\r\n"));
        let reply = client.read_response();
        assert_eq!(reply.header("Connection"), Some("close"));
        (reply.status, String::from_utf8(reply.body).unwrap())
    }

    /// Waits until the console reports that the worker is ready.
    ///
    /// # Panics
    /// Panics if the worker does not become ready within [`TIMEOUT`].
    pub fn wait_ready(&self) {
        let deadline = Instant::now() + TIMEOUT;
        while self.console_request("GET", "/-/ready").0 != 200 {
            assert!(Instant::now() < deadline, "the worker did not become ready within {TIMEOUT:?}");
        }
    }

    /// Returns one metric from the console.
    ///
    /// # Panics
    /// Panics if there is no such metric or it is not an integer.
    #[must_use]
    pub fn metric(&self, name: &str) -> u64 {
        let (status, text) = self.console_request("GET", "/-/metrics");
        assert_eq!(status, 200);
        let value = text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix('='));
        value.unwrap_or_else(|| panic!("no metric {name} in {text}")).parse().unwrap()
    }

    /// Makes a health check on a new connection and returns its status.
    #[must_use]
    pub fn check_health(&self) -> u16 {
        Client::connect(self.http).check_health()
    }

    /// Sends SIGTERM, the shutdown notice.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Kills the worker and waits for it to exit.
    ///
    /// # Panics
    /// Panics if the signal can't be sent or the wait fails.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Stops the process with SIGSTOP, whatever it is doing.
    pub fn suspend(&self) {
        self.signal("STOP");
    }

    /// Resumes a suspended worker with SIGCONT.
    pub fn resume(&self) {
        self.signal("CONT");
    }

    fn signal(&self, name: &str) {
        let id = self.child.id();
        assert!(Command::new("sh").arg("-c").arg(format!("kill -{name} {id}")).status().unwrap().success());
    }

    /// Replaces the operator's file and sends SIGHUP, on which the worker reloads.
    ///
    /// # Panics
    /// Panics if the file can't be written.
    pub fn reload_operator(&self, text: &str) {
        std::fs::write(self.folder.join("operator.toml"), text).unwrap();
        self.signal("HUP");
    }

    /// Replaces the configuration file's text and sends SIGHUP, on which the worker reloads.
    ///
    /// # Panics
    /// Panics if the file can't be written.
    pub fn reload_text(&self, text: &str) {
        std::fs::write(self.folder.join("config.json"), text).unwrap();
        self.signal("HUP");
    }

    /// Changes the configuration and sends SIGHUP, on which the worker reloads.
    pub fn reload(&mut self, change: impl FnOnce(&mut Value)) {
        change(&mut self.config);
        self.reload_text(&self.config.to_string());
    }

    /// Moves the executor, the records service and the registry to new addresses by a reload, and returns the old ones.
    ///
    /// # Panics
    /// Panics if there is no free port.
    pub fn move_peers(&mut self) -> PreviousPeers {
        let old = PreviousPeers {
            executor: std::mem::replace(&mut self.executor, TcpListener::bind("127.0.0.1:0").unwrap()),
            records: std::mem::replace(&mut self.records, RecordsPeer::start()),
            registry: std::mem::replace(&mut self.registry, RegistryPeer::start()),
        };
        let executor = self.executor.local_addr().unwrap();
        let (records, registry) = (self.records.address(), self.registry.address());
        self.reload(|c| {
            c["executor"] = json!(executor);
            c["records"] = json!(records);
            c["registry"] = json!(registry);
        });
        old
    }

    /// Waits for the process to exit and returns whether its exit status is 0.
    ///
    /// # Panics
    /// Panics if the process does not exit within [`TIMEOUT`].
    pub fn exits_successfully(&mut self) -> bool {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.success();
            }
            assert!(Instant::now() < deadline, "the worker did not exit within {TIMEOUT:?}");
            std::thread::sleep(EXIT_POLL_INTERVAL);
        }
    }

    /// Resident memory of the process (KB).
    ///
    /// # Panics
    /// Panics if the process has exited.
    #[must_use]
    pub fn resident_kb(&self) -> f64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap();
        line.split_whitespace().next().unwrap().parse().unwrap()
    }

    /// Whether the process is still running.
    ///
    /// # Panics
    /// Panics if the process's state can't be read.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }
}

impl Drop for WorkerUnderTest {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
