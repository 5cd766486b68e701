//! Why a worker could not start or go on.

use crate::config::ConfigError;
use crate::net::lifecycle::hot_restart::InheritedListenerError;
use std::io;
use std::net::SocketAddr;

/// A fault that ends the process. Its text is one line.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum WorkerError {
    /// The configuration or the operator's file can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The event loop failed.
    #[error("event loop: {0}")]
    EventLoop(#[source] calloop::Error),
    /// Signals can't be received.
    #[error("signals: {0}")]
    Signals(#[source] calloop::Error),
    /// The loop can't watch for signals.
    #[error("signals: error inserting event source: {0}")]
    WatchSignals(#[source] calloop::Error),
    /// The loop's timer can't be set.
    #[error("timer: error inserting event source: {0}")]
    Timer(#[source] calloop::Error),
    /// A frontend can't listen.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The console can't listen.
    #[error("console {address}: {source}")]
    Console {
        /// Where it was to listen.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The registry's socket can't be opened.
    #[error("registry {address}: {source}")]
    Registry {
        /// Where the registry is.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The inherited listening socket can't be used.
    #[error("ROUTER_SOCKET_FD: {0}")]
    InheritedSocket(#[source] io::Error),
    /// `$ROUTER_SOCKET_FD` does not name a listening socket.
    #[error(transparent)]
    InheritedListener(#[from] InheritedListenerError),
}

/// A frontend can't listen.
#[derive(Debug, thiserror::Error)]
#[error("{address}: {source}")]
pub struct ListenError {
    /// Where it was to listen.
    pub address: SocketAddr,
    /// The system's error.
    pub source: io::Error,
}
