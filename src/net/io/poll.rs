//! Readiness of the sockets that the event loop watches, the descriptor budget, and listening sockets.
//!
//! The event loop's callbacks only collect readiness events; all processing happens between two polls.

use super::source::{Readiness, ReadySource, Source};
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use std::cell::Cell;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::rc::Rc;

/// Error number: too many open files in the process.
pub const EMFILE: i32 = 24;
/// Error number: too many open files in the system.
const ENFILE: i32 = 23;
/// Error number: a non-blocking connect is in progress.
pub const EINPROGRESS: i32 = 115;
/// Maximum number of connections accepted in a row, so that a flood of connections leaves time for other work.
const MAX_CONSECUTIVE_ACCEPTS: usize = 64;
/// Descriptors that are not available to clients, so that a flood of clients leaves some for upstreams.
const RESERVED_FOR_UPSTREAMS: usize = 24;
/// Backlog of a listening socket: maximum number of connections in the kernel's accept queue.
const LISTEN_BACKLOG: i32 = 1024;
/// How long accepting pauses when no descriptor is available, `MAX_CONSECUTIVE_ACCEPTS` is reached or accepting has
/// failed (seconds).
pub const ACCEPT_PAUSE_S: f64 = 0.02;

/// The events collected by one poll.
#[derive(Default)]
pub struct ReadyEvents {
    /// The ready sources, in the order in which they were first reported.
    sources: Vec<Source>,
    readiness: HashMap<Source, Readiness>,
    /// The shutdown notice has been received.
    pub shutdown: bool,
    /// A reload of the configuration was requested.
    pub reload: bool,
}

impl ReadyEvents {
    /// Takes the ready sources, each of them once, in the order in which they were first reported.
    pub fn take(&mut self) -> Vec<ReadySource> {
        let readiness = &mut self.readiness;
        let with_readiness = |source: Source| {
            let readiness = readiness.remove(&source)?;
            Some(ReadySource { source, readiness })
        };
        self.sources.drain(..).filter_map(with_readiness).collect()
    }
}

/// Handle of the event loop, with the descriptor budget; its clones share both.
#[derive(Clone)]
pub struct Poll {
    handle: LoopHandle<'static, ReadyEvents>,
    /// Number of descriptors of the budget that this process does not use.
    available: Rc<Cell<usize>>,
    /// Number of descriptors that another process holds and that count against the same limit.
    other_process_descriptors: Rc<Cell<usize>>,
    /// Maximum number of descriptors in use.
    budget: usize,
    last_id: Rc<Cell<u64>>,
}

impl Poll {
    /// Creates a handle with a budget of this many descriptors.
    #[must_use]
    pub fn new(handle: LoopHandle<'static, ReadyEvents>, descriptors: usize) -> Poll {
        Poll::with_budget(handle, descriptors, Rc::new(Cell::new(1)))
    }

    /// Returns a handle of the same event loop with a separate budget for one listener and this many clients.
    #[must_use]
    pub fn with_own_budget(&self, clients: usize) -> Poll {
        // The reserve is added, since accepting a client requires that the reserve stays available.
        let budget = RESERVED_FOR_UPSTREAMS + 1 + clients;
        Poll::with_budget(self.handle.clone(), budget, self.last_id.clone())
    }

    fn with_budget(handle: LoopHandle<'static, ReadyEvents>, budget: usize, last_id: Rc<Cell<u64>>) -> Poll {
        let available = Rc::new(Cell::new(budget));
        let other_process_descriptors = Rc::new(Cell::new(0));
        Poll { handle, available, other_process_descriptors, budget, last_id }
    }

    /// Whether the budget has room for another socket.
    #[must_use]
    pub fn has_capacity(&self) -> bool {
        self.available.get() > self.other_process_descriptors.get()
    }

    /// Sets the number of descriptors that another process holds and that count against the budget.
    pub fn set_other_process_usage(&self, descriptors: usize) {
        self.other_process_descriptors.set(descriptors);
    }

    /// Number of descriptors in use, including those of the other process.
    #[must_use]
    pub fn used(&self) -> usize {
        self.budget - self.available.get() + self.other_process_descriptors.get()
    }

    /// Whether the budget has room for another client.
    #[must_use]
    pub fn has_capacity_for_client(&self) -> bool {
        self.available.get() > RESERVED_FOR_UPSTREAMS + self.other_process_descriptors.get()
    }

    /// Returns a new id, unique among all connections, calls and searches of this event loop.
    #[must_use]
    pub fn next_id(&self) -> u64 {
        self.last_id.set(self.last_id.get() + 1);
        self.last_id.get()
    }

    /// Watches a socket until the returned [`Watch`] is dropped. Readiness is edge-triggered: the owner must read and
    /// write until the call would block.
    ///
    /// # Errors
    /// The budget is exhausted, or the system can't watch the socket.
    pub fn watch<F: AsFd + 'static>(&self, fd: F, source: Source) -> io::Result<Watch> {
        let Some(available) = self.available.get().checked_sub(1) else {
            return Err(io::Error::from_raw_os_error(EMFILE));
        };
        let watched = Generic::new(fd, Interest::BOTH, Mode::Edge);
        let token = self
            .handle
            .insert_source(watched, move |readiness, _, ready_events: &mut ReadyEvents| {
                let merged = ready_events.readiness.entry(source).or_insert_with(|| {
                    ready_events.sources.push(source);
                    Readiness::default()
                });
                merged.readable |= readiness.readable || readiness.error;
                merged.writable |= readiness.writable || readiness.error;
                Ok(PostAction::Continue)
            })
            .map_err(|e| io::Error::other(e.to_string()))?;
        self.available.set(available);
        Ok(Watch { poll: self.clone(), token })
    }
}

/// Registration of a watched socket; dropping it returns the descriptor to the budget.
pub struct Watch {
    poll: Poll,
    token: RegistrationToken,
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.poll.handle.remove(self.token);
        self.poll.available.set(self.poll.available.get() + 1);
    }
}

/// A listening socket that accepts connections as long as the budget allows.
pub struct Acceptor {
    listener: Rc<TcpListener>,
    poll: Poll,
    _watch: Watch,
    may_have_pending: bool,
}

/// The result of accepting.
pub enum Accepted {
    /// A client's connection.
    Stream(TcpStream),
    /// No connection is pending.
    NonePending,
    /// Connections may be pending, but no descriptor is available.
    NoDescriptor,
    /// Connections may be pending, but accepting must pause: `MAX_CONSECUTIVE_ACCEPTS` is reached, or accepting has
    /// failed.
    RetryLater,
}

impl Acceptor {
    /// Listens at an address.
    ///
    /// # Errors
    /// The system can't listen at the address, or the budget is exhausted.
    pub fn bind(poll: &Poll, address: SocketAddr, source: Source) -> io::Result<Acceptor> {
        use socket2::{Domain, Protocol, Socket, Type};
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(LISTEN_BACKLOG)?;
        Acceptor::from_listener(poll, Rc::new(TcpListener::from(socket)), source)
    }

    /// Accepts connections on a socket that is already listening and non-blocking. The socket keeps listening after
    /// this is dropped if another owner, such as another process, still holds it.
    ///
    /// # Errors
    /// The budget is exhausted.
    pub fn from_listener(poll: &Poll, listener: Rc<TcpListener>, source: Source) -> io::Result<Acceptor> {
        let watch = poll.watch(listener.clone(), source)?;
        Ok(Acceptor { listener, poll: poll.clone(), _watch: watch, may_have_pending: true })
    }

    /// The address at which it listens.
    ///
    /// # Errors
    /// The system can't determine the address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// The listening socket, to be handed to another process.
    #[must_use]
    pub fn socket(&self) -> Rc<TcpListener> {
        self.listener.clone()
    }

    /// Records that connections may be pending.
    pub fn mark_ready(&mut self) {
        self.may_have_pending = true;
    }

    /// Accepts a connection and closes it immediately; returns `false` if none is pending or no descriptor is
    /// available.
    pub fn accept_and_close(&mut self) -> bool {
        self.listener.accept().is_ok()
    }

    /// Accepts a connection; `accepted_count` is the number that the caller has accepted in a row before it.
    pub fn accept(&mut self, accepted_count: usize) -> Accepted {
        if !self.may_have_pending {
            return Accepted::NonePending;
        }
        if accepted_count >= MAX_CONSECUTIVE_ACCEPTS {
            return Accepted::RetryLater;
        }
        if !self.poll.has_capacity_for_client() {
            return Accepted::NoDescriptor;
        }
        loop {
            match self.listener.accept() {
                Ok((stream, _)) => return Accepted::Stream(stream),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.may_have_pending = false;
                    return Accepted::NonePending;
                }
                Err(e) if matches!(e.raw_os_error(), Some(EMFILE | ENFILE)) => return Accepted::NoDescriptor,
                // This client has disconnected already, but others may be pending.
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Accepted::RetryLater,
            }
        }
    }
}

#[cfg(test)]
mod tests;
