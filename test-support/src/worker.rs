//! A worker process under test.

use crate::{Client, Executor, RecordsPeer, RegistryPeer, TIMEOUT};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// Time between two looks at whether the process has ended.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The worker, and all that it speaks to. Dropping it ends the worker.
#[derive(Debug)]
pub struct WorkerUnderTest {
    child: Child,
    lines: Receiver<String>,
    /// The lines of its log that were read so far.
    pub log: Vec<String>,
    /// Where its console listens, if it has one.
    pub console: Option<SocketAddr>,
    /// Where its HTTP/1.1 frontend listens.
    pub http: SocketAddr,
    /// Where its AJP frontend listens, if it has one.
    pub ajp: Option<SocketAddr>,
    /// Where its HTTP/2 frontend listens, if it has one.
    pub http2: Option<SocketAddr>,
    /// Where it looks for its executor.
    pub executor: TcpListener,
    /// Its records service.
    pub records: RecordsPeer,
    /// Its registry.
    pub registry: RegistryPeer,
    config: Value,
    folder: PathBuf,
}

/// The peers that a worker had before [`WorkerUnderTest::move_peers`].
#[derive(Debug)]
pub struct MovedPeers {
    /// Where it looked for its executor.
    pub executor: TcpListener,
    /// Its records service.
    pub records: RecordsPeer,
    /// Its registry.
    pub registry: RegistryPeer,
}

impl WorkerUnderTest {
    /// A process that was just started; its addresses are not known yet.
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

    /// Reads from the log where each frontend listens.
    pub(crate) fn read_addresses(&mut self, operator_file: &str) {
        if self.config.get("console").is_some() {
            self.console = Some(self.read_address("frontend=console address="));
        }
        self.http = self.read_address("frontend=http address=");
        self.ajp = operator_file.contains("[ajp]").then(|| self.read_address("frontend=ajp address="));
        self.http2 = operator_file.contains("[http2]").then(|| self.read_address("frontend=http2 address="));
    }

    fn read_address(&mut self, mark: &str) -> SocketAddr {
        let line = self.wait_log(mark);
        let address = line.split(mark).nth(1).unwrap();
        address.split(' ').next().unwrap().parse().unwrap()
    }

    /// Waits for a line of the log that contains this part.
    ///
    /// # Panics
    /// None comes within [`TIMEOUT`].
    pub fn wait_log(&mut self, part: &str) -> String {
        loop {
            let line =
                self.lines.recv_timeout(TIMEOUT).unwrap_or_else(|_| panic!("no {part:?} in {:?}", self.log));
            self.log.push(line.clone());
            if line.contains(part) {
                return line;
            }
        }
    }

    /// The next line of the log so far that contains this part, without a wait.
    pub fn find_log(&mut self, part: &str) -> Option<String> {
        while let Ok(line) = self.lines.try_recv() {
            self.log.push(line.clone());
            if line.contains(part) {
                return Some(line);
            }
        }
        None
    }

    /// All lines of the log of a worker that has ended.
    pub fn complete_log(&mut self) -> &[String] {
        self.log.extend(self.lines.iter());
        &self.log
    }

    /// Accepts its link as an executor that is warm, and waits until the worker reports that it is ready.
    ///
    /// # Panics
    /// The worker does not connect, or does not get ready.
    #[must_use]
    pub fn accept_link(&self) -> Executor {
        let executor = self.accept_link_without_waiting();
        self.wait_load_report("ready");
        executor
    }

    /// Accepts its link as an executor that is warm, whether or not the worker reports yet.
    ///
    /// # Panics
    /// The worker does not connect.
    #[must_use]
    pub fn accept_link_without_waiting(&self) -> Executor {
        let mut executor = Executor::accept(&self.executor);
        assert_eq!(executor.expect_command("JOIN")["n"], 0);
        executor.send_welcome();
        executor
    }

    /// Waits until the worker reports this state to its registry.
    ///
    /// # Panics
    /// It does not within [`TIMEOUT`].
    pub fn wait_load_report(&self, state: &str) {
        self.registry.wait_for_state(state);
    }

    /// Makes one request to the console: its status and text.
    ///
    /// # Panics
    /// There is no console, or no response.
    #[must_use]
    pub fn console_request(&self, method: &str, path: &str) -> (u16, String) {
        let mut client = Client::connect(self.console.expect("a console"));
        client.write(&format!("{method} {path} HTTP/1.1\r\nHost: n1\r\n\r\n"));
        let reply = client.read_response();
        assert_eq!(reply.header("Connection"), Some("close"));
        (reply.status, String::from_utf8(reply.body).unwrap())
    }

    /// Waits until the console says that the worker is ready.
    ///
    /// # Panics
    /// It does not within [`TIMEOUT`].
    pub fn wait_ready(&self) {
        let until = Instant::now() + TIMEOUT;
        while self.console_request("GET", "/-/ready").0 != 200 {
            assert!(Instant::now() < until, "it never gets ready");
        }
    }

    /// One metric of the console.
    ///
    /// # Panics
    /// There is none of this name, or it is no integer.
    #[must_use]
    pub fn metric(&self, name: &str) -> u64 {
        let (status, text) = self.console_request("GET", "/-/metrics");
        assert_eq!(status, 200);
        let value = text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix('='));
        value.unwrap_or_else(|| panic!("no {name} in {text}")).parse().unwrap()
    }

    /// The status of a health check on a connection of its own.
    #[must_use]
    pub fn check_health(&self) -> u16 {
        Client::connect(self.http).check_health()
    }

    /// Sends the shutdown notice: SIGTERM.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Kills it, and waits for its end.
    ///
    /// # Panics
    /// The system refuses it.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Stops it in the middle of whatever it does: SIGSTOP.
    pub fn suspend(&self) {
        self.signal("STOP");
    }

    /// Lets a suspended worker go on: SIGCONT.
    pub fn resume(&self) {
        self.signal("CONT");
    }

    fn signal(&self, name: &str) {
        let id = self.child.id();
        assert!(Command::new("sh").arg("-c").arg(format!("kill -{name} {id}")).status().unwrap().success());
    }

    /// Replaces the operator's file and asks the worker to reload.
    ///
    /// # Panics
    /// The file can't be written.
    pub fn reload_operator(&self, text: &str) {
        std::fs::write(self.folder.join("operator.toml"), text).unwrap();
        self.signal("HUP");
    }

    /// Replaces the text of the configuration and asks the worker to reload.
    ///
    /// # Panics
    /// The file can't be written.
    pub fn reload_text(&self, text: &str) {
        std::fs::write(self.folder.join("config.json"), text).unwrap();
        self.signal("HUP");
    }

    /// Changes the configuration and asks the worker to reload.
    pub fn reload(&mut self, change: impl FnOnce(&mut Value)) {
        change(&mut self.config);
        self.reload_text(&self.config.to_string());
    }

    /// Moves the executor, the records service and the registry to new addresses by a reload; the old ones are returned.
    ///
    /// # Panics
    /// There is no free port.
    pub fn move_peers(&mut self) -> MovedPeers {
        let old = MovedPeers {
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

    /// Waits for the end of the process; whether its exit status is good.
    ///
    /// # Panics
    /// It does not end within [`TIMEOUT`].
    pub fn exits_successfully(&mut self) -> bool {
        let until = Instant::now() + TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.success();
            }
            assert!(Instant::now() < until, "the worker does not end");
            std::thread::sleep(EXIT_POLL_INTERVAL);
        }
    }

    /// Resident memory of the worker (KB).
    ///
    /// # Panics
    /// The process has ended.
    #[must_use]
    pub fn resident_kb(&self) -> f64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap();
        line.split_whitespace().next().unwrap().parse().unwrap()
    }

    /// Whether the process has not ended.
    ///
    /// # Panics
    /// The system does not know it.
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
