//! The program under test and how to start it.

use crate::{settings, unique_request_id, RecordsPeer, RegistryPeer, SharedListener, WorkerUnderTest};
use serde_json::{json, Value};
use std::net::TcpListener;
use std::os::fd::AsRawFd;
use std::process::{Command, Stdio};

/// The worker's executable. Cargo gives its path only to the integration tests of the worker's package, which declare
/// `const WORKER: WorkerProgram = WorkerProgram::new(env!("CARGO_BIN_EXE_port-worker"));`
#[derive(Clone, Copy, Debug)]
pub struct WorkerProgram {
    path: &'static str,
}

impl WorkerProgram {
    /// Creates a handle for the program at this path.
    #[must_use]
    pub const fn new(path: &'static str) -> WorkerProgram {
        WorkerProgram { path }
    }

    /// Creates a command that runs the program in this process's environment.
    #[must_use]
    pub fn command(&self) -> Command {
        Command::new(self.path)
    }

    /// Starts a worker with the default configuration.
    ///
    /// # Panics
    /// Panics if the worker does not start.
    #[must_use]
    pub fn start(&self) -> WorkerUnderTest {
        self.start_with(|_| {}, None)
    }

    /// Starts a worker with a changed configuration and, if `operator_file` is given, an operator's file with that
    /// text.
    ///
    /// # Panics
    /// Panics if the worker does not start.
    pub fn start_with(
        &self,
        change: impl FnOnce(&mut Value),
        operator_file: Option<&str>,
    ) -> WorkerUnderTest {
        start(self.command(), change, operator_file)
    }

    /// Starts a worker with additional environment variables and a changed configuration.
    ///
    /// # Panics
    /// Panics if the worker does not start.
    pub fn start_with_environment(
        &self,
        environment: &[(&str, &str)],
        change: impl FnOnce(&mut Value),
    ) -> WorkerUnderTest {
        let mut command = self.command();
        command.envs(environment.iter().copied());
        start(command, change, None)
    }

    /// Starts a worker with a system limit of `n` file descriptors, whatever its own configured limit is.
    ///
    /// # Panics
    /// Panics if the worker does not start.
    #[must_use]
    pub fn start_with_descriptors(&self, n: usize) -> WorkerUnderTest {
        let mut command = Command::new("sh");
        command.arg("-c").arg(format!("ulimit -n {n} && exec \"$0\"")).arg(self.path);
        start(command, |_| {}, None)
    }

    /// Starts a worker on an inherited listener, in addition to the workers that were started on it before.
    ///
    /// # Panics
    /// Panics if the worker does not start.
    pub fn start_on(&self, shared: &SharedListener, change: impl FnOnce(&mut Value)) -> WorkerUnderTest {
        self.start_on_with(shared, change, None)
    }

    /// Like [`WorkerProgram::start_on`], with an operator's file. The other frontends may open only after the hand-off,
    /// so this does not wait for their addresses.
    ///
    /// # Panics
    /// Panics if the worker does not start.
    pub fn start_on_with(
        &self,
        shared: &SharedListener,
        change: impl FnOnce(&mut Value),
        operator_file: Option<&str>,
    ) -> WorkerUnderTest {
        let mut command = self.command();
        command
            .env("ROUTER_SOCKET_FD", shared.listener.as_raw_fd().to_string())
            .env("TMPDIR", &shared.folder);
        let change = |c: &mut Value| {
            c["listen"] = json!(shared.listener.local_addr().unwrap());
            c["console"] = json!("127.0.0.1:0");
            change(c);
        };
        if let Some(text) = operator_file {
            std::fs::write(shared.folder.join("operator.toml"), text).unwrap();
            command.arg("--operator").arg(shared.folder.join("operator.toml"));
        }
        start(command, change, None)
    }
}

fn start(
    mut command: Command,
    change: impl FnOnce(&mut Value),
    operator_file: Option<&str>,
) -> WorkerUnderTest {
    let executor = TcpListener::bind("127.0.0.1:0").unwrap();
    let records = RecordsPeer::start();
    let registry = RegistryPeer::start();
    let mut config = json!({
        "name": "n1", "listen": "127.0.0.1:0", "executor": executor.local_addr().unwrap(),
        "registry": registry.address(), "records": records.address(),
        "seed": "8c1f30d27a5be964", "stop_ms": 8000,
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256}, "settings": settings()
    });
    change(&mut config);
    let name = format!("honeypost-{}-{}", std::process::id(), unique_request_id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join("config.json"), config.to_string()).unwrap();
    command.env("ROUTER_CONFIG", folder.join("config.json")).stderr(Stdio::piped());
    if let Some(text) = operator_file {
        std::fs::write(folder.join("operator.toml"), text).unwrap();
        command.arg("--operator").arg(folder.join("operator.toml"));
    }
    let child = command.spawn().unwrap();
    let mut worker = WorkerUnderTest::new(child, executor, records, registry, config, folder);
    worker.read_addresses(operator_file.unwrap_or_default());
    worker
}
