//! The errors of the testbed, with a variant for each cause. Each displays as the one line that the command prints.

use port_worker::config::ConfigError;
use port_worker::fleet::frame::FrameError;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use std::time::Duration;
use thiserror::Error;

/// Why an experiment file is invalid.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// The text is not TOML, or does not have the keys and types of an experiment.
    #[error("line {line}: {}", source.message().replace('\n', " "))]
    Syntax {
        /// The line at which parsing stopped, counted from 1.
        line: usize,
        /// The parser's error.
        source: toml::de::Error,
    },
    /// A number that must be above 0 is 0, negative or not finite.
    #[error("{key} is {found}; expected above 0")]
    NotPositive {
        /// The key, with the class or variant that it belongs to.
        key: String,
        /// The value that was found.
        found: f64,
    },
    /// There is no seed, no variant or no class.
    #[error("seeds, variant or class is empty; expected at least one of each")]
    NothingToRun,
    /// An expectation names an unknown metric.
    #[error("expect: there is no metric {found:?}; expected one of {known:?}")]
    UnknownMetric {
        /// The name that was found.
        found: String,
        /// All metrics.
        known: &'static [&'static str],
    },
    /// An expectation names a variant that the experiment does not have.
    #[error("expect: there is no variant {found:?}")]
    UnknownVariant {
        /// The name that was found.
        found: String,
    },
    /// An expectation names a class that the experiment does not have.
    #[error("expect: there is no class {found:?}")]
    UnknownClass {
        /// The name that was found.
        found: String,
    },
    /// An expectation has neither a minimum nor a maximum.
    #[error("expect {metric:?}: no bound; expected least or most")]
    NoBound {
        /// The metric that it names.
        metric: String,
    },
}

/// Why a fleet file is invalid.
#[derive(Debug, Error)]
pub enum FleetFileError {
    /// The text is not TOML, or does not have the keys and types of a fleet.
    #[error("{}", .0.to_string().replace('\n', " "))]
    Syntax(#[from] toml::de::Error),
    /// The number of coordinators is even or too large: an even number tolerates no more failures than one fewer.
    #[error("coordinators is {found}; expected 1, 3, 5, 7 or 9")]
    CoordinatorCount {
        /// The number that was found.
        found: usize,
    },
    /// There is no worker, or more than one machine can run.
    #[error("workers is {found}; expected 1 to 64")]
    WorkerCount {
        /// The number that was found.
        found: usize,
    },
}

/// Why a command of the testbed failed.
#[derive(Debug, Error)]
pub enum TestbedError {
    /// A file or folder can't be read, written or executed.
    #[error("{}: {source}", path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// A file is not valid JSON of the expected type.
    #[error("{}: {source}", path.display())]
    Json {
        /// The file.
        path: PathBuf,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// An experiment file is invalid.
    #[error("{}: {source}", path.display())]
    ExperimentFile {
        /// The file.
        path: PathBuf,
        /// Why it is invalid.
        source: ExperimentError,
    },
    /// A fleet file is invalid.
    #[error("{}: {source}", path.display())]
    FleetFile {
        /// The file.
        path: PathBuf,
        /// Why it is invalid.
        source: FleetFileError,
    },
    /// The text of an experiment is invalid.
    #[error(transparent)]
    Experiment(#[from] ExperimentError),
    /// The text of a fleet is invalid.
    #[error(transparent)]
    Fleet(#[from] FleetFileError),
    /// The worker rejects the configuration that was generated for it.
    #[error(transparent)]
    Config(Box<ConfigError>),
    /// A simulated peer or a process of a fleet met an operating-system error.
    #[error("{component}: {source}")]
    Component {
        /// The name of the simulated peer or process.
        component: String,
        /// The operating system's error.
        source: io::Error,
    },
    /// A peer could not be reached.
    #[error("{address}: {source}")]
    Peer {
        /// The peer's address.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// An operating-system error without further context.
    #[error(transparent)]
    System(#[from] io::Error),
    /// The Ctrl-C handler can't be installed.
    #[error(transparent)]
    Interrupt(#[from] ctrlc::Error),
    /// The results can't be serialized as JSON.
    #[error(transparent)]
    Results(#[from] serde_json::Error),
    /// A frame from a coordinator can't be decoded.
    #[error(transparent)]
    Frame(#[from] FrameError),

    /// A program that a fleet needs has not been built.
    #[error("{}: not built; run cargo build --workspace", program.display())]
    NotBuilt {
        /// The path at which it was expected.
        program: PathBuf,
    },
    /// No process of the fleet has this name.
    #[error("unknown process: {name}")]
    UnknownProcess {
        /// The name that was given.
        name: String,
    },
    /// The process has exited or was killed.
    #[error("{name} is not running")]
    NotRunning {
        /// The process.
        name: String,
    },
    /// The process is running, but the operation needs it to be stopped.
    #[error("{name} is running; stop it first")]
    Running {
        /// The process.
        name: String,
    },
    /// The process did not exit in time after SIGTERM.
    #[error("{name} did not exit within {limit:?} of SIGTERM")]
    DidNotEnd {
        /// The process.
        name: String,
        /// How long the testbed waited.
        limit: Duration,
    },
    /// The process did not announce its address in time.
    #[error("{name} did not announce its address within {limit:?}")]
    DidNotStart {
        /// The process.
        name: String,
        /// How long the testbed waited.
        limit: Duration,
    },
    /// The process exited before it announced its address.
    #[error("{name} exited at start with {status}: {}", log.join("; "))]
    EndedAtStart {
        /// The process.
        name: String,
        /// Its exit status.
        status: ExitStatus,
        /// Its log.
        log: Vec<String>,
    },
    /// The process announced something that is not an address.
    #[error("{name} announced an invalid address: {found:?}")]
    NoAddress {
        /// The process.
        name: String,
        /// The text in place of the address.
        found: String,
    },
    /// The successor in a hot restart did not become ready in time.
    #[error("{name}: the successor did not become ready within {limit:?}")]
    SuccessorNotReady {
        /// The worker that was to be replaced.
        name: String,
        /// How long the testbed waited.
        limit: Duration,
    },
    /// There is no relay from one process to the other.
    #[error("no link from {from} to {to}")]
    NoLink {
        /// The connecting process.
        from: String,
        /// The accepting process.
        to: String,
    },
    /// There is no relay between the two processes in either direction, so a fault can't affect their link.
    #[error("no link between {from} and {to}")]
    NotConnected {
        /// One of the processes.
        from: String,
        /// The other process.
        to: String,
    },
    /// There is no fault with this name and these arguments.
    #[error("unknown fault: {words}; expected cut A B [--one-way], heal A B, or pause, resume, kill, start, fill, free NAME")]
    UnknownFault {
        /// The command line of the fault.
        words: String,
    },
    /// The running fleet rejected a fault.
    #[error("{reply}")]
    FaultRejected {
        /// The fleet's reply, which says why.
        reply: String,
    },
    /// The file of the running fleet has no address for fault commands.
    #[error("the fleet has no address for fault commands")]
    NoFaultControl,
    /// A worker's listening socket has no address.
    #[error("a worker's listening socket has no address")]
    ListenerWithoutAddress,

    /// The experiment's worker did not announce its address: its log ended, or had no further line in time.
    #[error(
        "the worker did not announce its address: its log ended or had no further line within {limit:?}"
    )]
    WorkerDidNotStart {
        /// How long the testbed waited for each line of the log.
        limit: Duration,
    },
    /// The experiment's worker announced something that is not an address.
    #[error("the worker announced an invalid address: {line:?}")]
    WorkerNoAddress {
        /// The line of the worker's log.
        line: String,
    },
    /// The experiment's worker exited with an error, which it logged.
    #[error("{line}")]
    WorkerFailed {
        /// The line of the worker's log.
        line: String,
    },
    /// The experiment's worker exited with a failure status after SIGTERM.
    #[error("the worker exited after SIGTERM with {status}; expected exit status 0")]
    WorkerExit {
        /// Its exit status.
        status: ExitStatus,
    },
    /// The experiment's worker did not exit in time after SIGTERM.
    #[error("the worker did not exit within {limit:?} of SIGTERM")]
    WorkerDidNotEnd {
        /// How long the testbed waited.
        limit: Duration,
    },
    /// A thread of a trial panicked.
    #[error("the {owner} thread panicked")]
    ThreadFailed {
        /// The part of the trial that the thread ran.
        owner: &'static str,
    },
    /// One of several threads of the same kind panicked.
    #[error("a {kind} thread panicked")]
    Panicked {
        /// What the thread ran.
        kind: &'static str,
    },

    /// A condition that a measurement waits for did not hold in time.
    #[error("timed out after {limit:?}: {condition}")]
    TimedOut {
        /// The condition.
        condition: String,
        /// How long the measurement waited.
        limit: Duration,
    },
    /// Something that a measurement needs is missing.
    #[error("missing {0}")]
    Missing(&'static str),
    /// `fleetctl` failed.
    #[error("fleetctl {arguments} failed with {status}: {message}")]
    Fleetctl {
        /// Its arguments, without those that identify the fleet.
        arguments: String,
        /// Its exit status.
        status: ExitStatus,
        /// Its output on stderr.
        message: String,
    },
    /// A coordinator closed a link that the measurement needs.
    #[error("the coordinator closed the link")]
    LinkClosed,
    /// Not all sessions were established in time.
    #[error("{count} sessions were not all established within {limit:?}")]
    SessionsNotEstablished {
        /// The number of sessions.
        count: usize,
        /// How long the testbed waited.
        limit: Duration,
    },
    /// The log of the tasks' calls shows that guarantees were violated.
    #[error("{}", .0.join("; "))]
    GuaranteeBroken(Vec<String>),
}

impl From<ConfigError> for TestbedError {
    fn from(error: ConfigError) -> TestbedError {
        TestbedError::Config(Box::new(error))
    }
}

impl TestbedError {
    /// For `map_err`: adds the file or folder to an operating-system error.
    pub fn file(path: &Path) -> impl Fn(io::Error) -> TestbedError + '_ {
        |source| TestbedError::File { path: path.to_owned(), source }
    }

    /// For `map_err`: adds the simulated peer or process to an operating-system error.
    pub fn component(component: &str) -> impl Fn(io::Error) -> TestbedError + '_ {
        |source| TestbedError::Component { component: component.to_owned(), source }
    }

    /// For `map_err`: adds the peer's address to an operating-system error.
    pub fn peer(address: SocketAddr) -> impl Fn(io::Error) -> TestbedError {
        move |source| TestbedError::Peer { address, source }
    }
}

#[cfg(test)]
mod tests;
