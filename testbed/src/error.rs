//! What can go wrong in the testbed, one variant a cause. Each displays as the one line that its command prints.

use port_worker::config::ConfigError;
use port_worker::fleet::frame::FrameError;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use std::time::Duration;
use thiserror::Error;

/// An experiment's file that can't be played.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// It is not TOML, or not the TOML of an experiment.
    #[error("line {line}: {}", source.message().replace('\n', " "))]
    Syntax {
        /// The line at which reading stopped, from 1.
        line: usize,
        /// What the parser expected there.
        source: toml::de::Error,
    },
    /// A number that must be above 0 is not.
    #[error("{key} is {found}; expected above 0")]
    NotPositive {
        /// The key, with the class or variant that it stands in.
        key: String,
        /// The value that stands there.
        found: f64,
    },
    /// There is no seed, no variant or no class.
    #[error("seeds, variant or class is empty; expected one at least")]
    NothingToPlay,
    /// An expectation is about a metric that is not measured.
    #[error("expect: there is no metric {found:?}; expected one of {known:?}")]
    UnknownMetric {
        /// The name that stands there.
        found: String,
        /// All metrics that are measured.
        known: &'static [&'static str],
    },
    /// An expectation is about a variant that the experiment does not have.
    #[error("expect: there is no variant {found:?}")]
    UnknownVariant {
        /// The name that stands there.
        found: String,
    },
    /// An expectation is about a class that the experiment does not have.
    #[error("expect: there is no class {found:?}")]
    UnknownClass {
        /// The name that stands there.
        found: String,
    },
    /// An expectation has neither of its bounds.
    #[error("expect {metric:?}: expected least or most")]
    NoBound {
        /// The metric that it is about.
        metric: String,
    },
}

/// A fleet's file that can't be started.
#[derive(Debug, Error)]
pub enum FleetFileError {
    /// It is not TOML, or not the TOML of a fleet.
    #[error("{}", .0.to_string().replace('\n', " "))]
    Syntax(#[from] toml::de::Error),
    /// So many coordinators have no majority that can be lost evenly.
    #[error("coordinators is {found}; expected 1, 3, 5, 7 or 9")]
    CoordinatorCount {
        /// The number that stands there.
        found: usize,
    },
    /// No worker, or more than one machine bears.
    #[error("workers is {found}; expected 1 to 64")]
    WorkerCount {
        /// The number that stands there.
        found: usize,
    },
}

/// Why a command of the testbed could not be carried out.
#[derive(Debug, Error)]
pub enum TestbedError {
    /// A file or folder can't be read, written or run.
    #[error("{}: {source}", path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// A file is not the JSON that is expected.
    #[error("{}: {source}", path.display())]
    Json {
        /// The file.
        path: PathBuf,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// An experiment's file can't be played.
    #[error("{}: {source}", path.display())]
    ExperimentFile {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: ExperimentError,
    },
    /// A fleet's file can't be started.
    #[error("{}: {source}", path.display())]
    FleetFile {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: FleetFileError,
    },
    /// An experiment's text can't be played.
    #[error(transparent)]
    Experiment(#[from] ExperimentError),
    /// A fleet's text can't be started.
    #[error(transparent)]
    Fleet(#[from] FleetFileError),
    /// The worker does not accept the configuration that was made for it.
    #[error(transparent)]
    Config(Box<ConfigError>),
    /// A stand-in or a process of a fleet met an error of the system's.
    #[error("{component}: {source}")]
    Component {
        /// The stand-in's or the process's name.
        component: String,
        /// The system's error.
        source: io::Error,
    },
    /// A peer could not be called.
    #[error("{address}: {source}")]
    Peer {
        /// Where it was called.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// An error of the system's that names itself.
    #[error(transparent)]
    System(#[from] io::Error),
    /// The handler for Ctrl-C can't be set.
    #[error(transparent)]
    Interrupt(#[from] ctrlc::Error),
    /// Results can't be written as JSON.
    #[error(transparent)]
    Results(#[from] serde_json::Error),
    /// A coordinator's frame can't be read.
    #[error(transparent)]
    Frame(#[from] FrameError),

    /// A program that a fleet needs has not been built.
    #[error("{}: not built; run cargo build --workspace", program.display())]
    NotBuilt {
        /// Where it was looked for.
        program: PathBuf,
    },
    /// No process of the fleet has this name.
    #[error("there is no {name}")]
    UnknownProcess {
        /// The name.
        name: String,
    },
    /// The process has ended, or was killed.
    #[error("{name} does not run")]
    NotRunning {
        /// The process.
        name: String,
    },
    /// The process runs, and this needs one that does not.
    #[error("{name} runs")]
    Running {
        /// The process.
        name: String,
    },
    /// The process still runs long after SIGTERM.
    #[error("{name} did not end")]
    DidNotEnd {
        /// The process.
        name: String,
    },
    /// The process has not said where it listens.
    #[error("{name} did not come up")]
    DidNotStart {
        /// The process.
        name: String,
    },
    /// The process ended before it said where it listens.
    #[error("{name} ended with {status}: {}", log.join("; "))]
    EndedAtStart {
        /// The process.
        name: String,
        /// How it ended.
        status: ExitStatus,
        /// All that it logged.
        log: Vec<String>,
    },
    /// The process announced something that is no address.
    #[error("{name} says {found:?}")]
    NoAddress {
        /// The process.
        name: String,
        /// What stands in the place of the address.
        found: String,
    },
    /// The second process of a hot restart was never ready.
    #[error("{name}: its successor did not get ready")]
    SuccessorNotReady {
        /// The worker that was to be replaced.
        name: String,
    },
    /// There is no relay from one to the other.
    #[error("there is no link from {from} to {to}")]
    NoLink {
        /// Who would dial.
        from: String,
        /// Who would be dialled.
        to: String,
    },
    /// The two have no connection that a fault could touch.
    #[error("{from} and {to} do not speak to each other")]
    NotConnected {
        /// One of them.
        from: String,
        /// The other.
        to: String,
    },
    /// No fault has this name and these arguments.
    #[error("{words}: not a fault")]
    UnknownFault {
        /// The command as it was given.
        words: String,
    },
    /// The running fleet's reply to a fault that it could not carry out.
    #[error("{reply}")]
    FaultRejected {
        /// The reply.
        reply: String,
    },
    /// The fleet's file names no address that takes faults.
    #[error("the fleet takes no faults")]
    NoFaultControl,
    /// A worker's listening socket has no address.
    #[error("a door has no address")]
    ListenerWithoutAddress,

    /// The experiment's worker has not said where it listens.
    #[error("the worker did not come up")]
    WorkerDidNotStart,
    /// The experiment's worker announced something that is no address.
    #[error("the worker says {line:?}")]
    WorkerNoAddress {
        /// The line of its log.
        line: String,
    },
    /// The experiment's worker ended with this line.
    #[error("{line}")]
    WorkerFailed {
        /// The line of its log.
        line: String,
    },
    /// The experiment's worker ended, but not with success.
    #[error("the worker ended badly: {status}")]
    WorkerExit {
        /// How it ended.
        status: ExitStatus,
    },
    /// The experiment's worker still runs long after SIGTERM.
    #[error("the worker does not leave")]
    WorkerDidNotEnd,
    /// A thread of a play panicked.
    #[error("{owner}'s thread ended badly")]
    ThreadFailed {
        /// Whose thread it was.
        owner: &'static str,
    },
    /// One of several that ran at the same time panicked.
    #[error("a {what} panicked")]
    Panicked {
        /// What it was.
        what: &'static str,
    },

    /// Something that a measurement waits for has not come about.
    #[error("{what}: not within {limit:?}")]
    TimedOut {
        /// What was waited for.
        what: String,
        /// How long.
        limit: Duration,
    },
    /// Something that a measurement needs is not there.
    #[error("no {0}")]
    Missing(&'static str),
    /// `fleetctl` ended without success.
    #[error("fleetctl {arguments} ended with {status}: {message}")]
    Fleetctl {
        /// Its arguments, without those that name the fleet.
        arguments: String,
        /// How it ended.
        status: ExitStatus,
        /// What it printed on stderr.
        message: String,
    },
    /// A coordinator closed a link that is needed.
    #[error("the coordinator closed the link")]
    LinkClosed,
    /// Sessions were not all established in time.
    #[error("{count} sessions did not come up")]
    SessionsNotEstablished {
        /// How many were wanted.
        count: usize,
    },
    /// The log of the tasks' calls shows that a guarantee was broken.
    #[error("{}", .0.join("; "))]
    GuaranteeBroken(Vec<String>),
}

impl From<ConfigError> for TestbedError {
    fn from(fault: ConfigError) -> TestbedError {
        TestbedError::Config(Box::new(fault))
    }
}

impl TestbedError {
    /// For `map_err`: names the file or folder that the system's error is about.
    pub fn file(path: &Path) -> impl Fn(io::Error) -> TestbedError + '_ {
        |source| TestbedError::File { path: path.to_owned(), source }
    }

    /// For `map_err`: names the stand-in or process that the system's error is about.
    pub fn component(component: &str) -> impl Fn(io::Error) -> TestbedError + '_ {
        |source| TestbedError::Component { component: component.to_owned(), source }
    }

    /// For `map_err`: names the address that was called.
    pub fn peer(address: SocketAddr) -> impl Fn(io::Error) -> TestbedError {
        move |source| TestbedError::Peer { address, source }
    }
}

#[cfg(test)]
mod tests;
