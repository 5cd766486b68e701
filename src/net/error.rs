//! Errors that prevent a worker from starting or end it.

use crate::config::ConfigError;
use crate::net::lifecycle::hot_restart::InheritedListenerError;
use std::io;
use std::net::SocketAddr;

/// An error that ends the process. Its message is a single line.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum WorkerError {
    /// The configuration or the operator's file is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The event loop failed.
    #[error("event loop failed: {0}")]
    EventLoop(#[source] calloop::Error),
    /// The signal source can't be created.
    #[error("can't create the signal source: {0}")]
    Signals(#[source] calloop::Error),
    /// The signal source can't be registered with the event loop.
    #[error("can't register the signal source with the event loop: {0}")]
    WatchSignals(#[source] calloop::Error),
    /// The timer can't be registered with the event loop.
    #[error("can't register the timer with the event loop: {0}")]
    Timer(#[source] calloop::Error),
    /// A frontend can't listen.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The console can't listen.
    #[error("console can't listen on {address}: {source}")]
    Console {
        /// The address to listen on.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The registry's socket can't be opened.
    #[error("can't open a socket for the registry at {address}: {source}")]
    Registry {
        /// The registry's address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The inherited listening socket can't be watched.
    #[error("ROUTER_SOCKET_FD: can't watch the inherited listening socket: {0}")]
    InheritedSocket(#[source] io::Error),
    /// `$ROUTER_SOCKET_FD` does not name a listening socket.
    #[error(transparent)]
    InheritedListener(#[from] InheritedListenerError),
}

/// A frontend can't listen.
#[derive(Debug, thiserror::Error)]
#[error("can't listen on {address}: {source}")]
pub struct ListenError {
    /// The address to listen on.
    pub address: SocketAddr,
    /// The system's error.
    pub source: io::Error,
}
