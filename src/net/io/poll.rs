//! Readiness: the sockets that the loop watches, the budget of descriptors, and listening sockets.
//!
//! Callbacks of the loop only gather what is ready; all work is done between two waits.

use super::source::{Readiness, ReadySource, Source};
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use std::cell::Cell;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::rc::Rc;

/// The system's number for "too many open files".
pub const EMFILE: i32 = 24;
/// The system's number for "too many open files in the system".
const ENFILE: i32 = 23;
/// The system's number for a connection that is under way.
pub const EINPROGRESS: i32 = 115;
/// Connections accepted in one turn at most, so that a flood of them leaves time for other work.
const MAX_ACCEPTS_PER_TURN: usize = 64;
/// Descriptors that clients can't take: a flood of clients must leave some for upstreams.
const RESERVED_FOR_UPSTREAMS: usize = 24;
/// Connections that wait in the system's accept queue at most.
const ACCEPT_QUEUE: i32 = 1024;
/// How long accepting pauses when there is no descriptor left, or enough have come for one turn (seconds).
pub const ACCEPT_PAUSE_S: f64 = 0.02;

/// What was ready after one wait.
#[derive(Default)]
pub struct ReadyEvents {
    /// In the order in which they were first seen.
    sources: Vec<Source>,
    readiness: HashMap<Source, Readiness>,
    /// The shutdown notice has come.
    pub shutdown: bool,
    /// The configuration is to be read again.
    pub reload: bool,
}

impl ReadyEvents {
    /// Takes each source once, in the order in which they were first seen.
    pub fn take(&mut self) -> Vec<ReadySource> {
        let readiness = &mut self.readiness;
        let with_readiness = |source: Source| {
            let readiness = readiness.remove(&source)?;
            Some(ReadySource { source, readiness })
        };
        self.sources.drain(..).filter_map(with_readiness).collect()
    }
}

/// The loop's handle, and the one budget of descriptors.
#[derive(Clone)]
pub struct Poll {
    handle: LoopHandle<'static, ReadyEvents>,
    available: Rc<Cell<usize>>,
    /// Descriptors that another process holds under the same limit.
    other_process: Rc<Cell<usize>>,
    budget: usize,
    last_number: Rc<Cell<u64>>,
}

impl Poll {
    /// A handle with this many descriptors to give out.
    #[must_use]
    pub fn new(handle: LoopHandle<'static, ReadyEvents>, descriptors: usize) -> Poll {
        Poll::with_budget(handle, descriptors, Rc::new(Cell::new(1)))
    }

    /// The same loop with a budget of its own: a listener and so many clients, whatever the others hold.
    #[must_use]
    pub fn with_own_budget(&self, clients: usize) -> Poll {
        let budget = RESERVED_FOR_UPSTREAMS + 1 + clients;
        Poll::with_budget(self.handle.clone(), budget, self.last_number.clone())
    }

    fn with_budget(
        handle: LoopHandle<'static, ReadyEvents>,
        budget: usize,
        last_number: Rc<Cell<u64>>,
    ) -> Poll {
        let available = Rc::new(Cell::new(budget));
        let other_process = Rc::new(Cell::new(0));
        Poll { handle, available, other_process, budget, last_number }
    }

    /// Whether the budget allows one more socket.
    #[must_use]
    pub fn has_capacity(&self) -> bool {
        self.available.get() > self.other_process.get()
    }

    /// Another process holds this many descriptors that count against the budget.
    pub fn set_other_process_usage(&self, held: usize) {
        self.other_process.set(held);
    }

    /// Descriptors of the budget that are taken, those of the other process included.
    #[must_use]
    pub fn used(&self) -> usize {
        self.budget - self.available.get() + self.other_process.get()
    }

    /// Whether the budget allows one more client.
    #[must_use]
    pub fn has_capacity_for_client(&self) -> bool {
        self.available.get() > RESERVED_FOR_UPSTREAMS + self.other_process.get()
    }

    /// A number that no other connection, call or search has had.
    #[must_use]
    pub fn next_id(&self) -> u64 {
        self.last_number.set(self.last_number.get() + 1);
        self.last_number.get()
    }

    /// Watches a socket until the watch is dropped. Readiness is edge-triggered: read and write until the call
    /// would block.
    ///
    /// # Errors
    /// No descriptor is left in the budget, or the system can't watch the socket.
    pub fn watch<F: AsFd + 'static>(&self, fd: F, source: Source) -> io::Result<Watch> {
        let Some(available) = self.available.get().checked_sub(1) else {
            return Err(io::Error::from_raw_os_error(EMFILE));
        };
        let watched = Generic::new(fd, Interest::BOTH, Mode::Edge);
        let token = self
            .handle
            .insert_source(watched, move |readiness, _, gathered: &mut ReadyEvents| {
                let seen = gathered.readiness.entry(source).or_insert_with(|| {
                    gathered.sources.push(source);
                    Readiness::default()
                });
                seen.readable |= readiness.readable || readiness.error;
                seen.writable |= readiness.writable || readiness.error;
                Ok(PostAction::Continue)
            })
            .map_err(|e| io::Error::other(e.to_string()))?;
        self.available.set(available);
        Ok(Watch { poll: self.clone(), token })
    }
}

/// A watched socket; dropping this gives its descriptor back to the budget.
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

/// A listening socket that accepts while the budget allows it.
pub struct Acceptor {
    listener: Rc<TcpListener>,
    poll: Poll,
    _watch: Watch,
    waiting: bool,
}

/// The result of accepting.
pub enum Accepted {
    /// A client's connection.
    Stream(TcpStream),
    /// Nobody waits.
    NonePending,
    /// Somebody may wait, but there is no descriptor for them.
    NoDescriptor,
    /// Somebody may wait, but this was enough for one turn.
    RetryLater,
}

impl Acceptor {
    /// Listens at an address.
    ///
    /// # Errors
    /// The system can't listen there, or no descriptor is left.
    pub fn bind(poll: &Poll, address: SocketAddr, source: Source) -> io::Result<Acceptor> {
        use socket2::{Domain, Protocol, Socket, Type};
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(ACCEPT_QUEUE)?;
        Acceptor::from_listener(poll, Rc::new(TcpListener::from(socket)), source)
    }

    /// Accepts on a socket that listens already and does not block. Dropping this leaves it listening for whoever
    /// else holds it.
    ///
    /// # Errors
    /// No descriptor is left.
    pub fn from_listener(poll: &Poll, listener: Rc<TcpListener>, source: Source) -> io::Result<Acceptor> {
        let watch = poll.watch(listener.clone(), source)?;
        Ok(Acceptor { listener, poll: poll.clone(), _watch: watch, waiting: true })
    }

    /// Where it listens.
    ///
    /// # Errors
    /// The system does not know it.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// The socket itself, for another process that is to accept on it.
    #[must_use]
    pub fn socket(&self) -> Rc<TcpListener> {
        self.listener.clone()
    }

    /// Notes that somebody may wait.
    pub fn mark(&mut self) {
        self.waiting = true;
    }

    /// Accepts a client and closes its connection; `false` where nobody waits or the system has no descriptor.
    pub fn accept_and_close(&mut self) -> bool {
        self.listener.accept().is_ok()
    }

    /// Accepts a client; `taken` counts those of this turn.
    pub fn accept(&mut self, taken: usize) -> Accepted {
        if !self.waiting {
            return Accepted::NonePending;
        }
        if taken >= MAX_ACCEPTS_PER_TURN {
            return Accepted::RetryLater;
        }
        if !self.poll.has_capacity_for_client() {
            return Accepted::NoDescriptor;
        }
        loop {
            match self.listener.accept() {
                Ok((stream, _)) => return Accepted::Stream(stream),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.waiting = false;
                    return Accepted::NonePending;
                }
                Err(e) if matches!(e.raw_os_error(), Some(EMFILE | ENFILE)) => return Accepted::NoDescriptor,
                // A client that has gone already: the next may still be there.
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Accepted::RetryLater,
            }
        }
    }
}

#[cfg(test)]
mod tests;
