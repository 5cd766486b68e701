//! What the loop watches. Callbacks only gather what is ready; all work is done between two waits.

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
const ENFILE: i32 = 23;
/// The system's number for a connection that is under way.
pub const EINPROGRESS: i32 = 115;
/// Connections accepted in one turn at most, so that a flood of them leaves time for the rest.
const ACCEPTS: usize = 64;
/// Descriptors of the budget that callers can't take: else a flood of them would leave none for calls and links.
const KEPT_BACK: usize = 24;
/// How long accepting rests when there is no descriptor left, or enough have come for one turn (seconds).
pub const ACCEPT_PAUSE_S: f64 = 0.02;

/// Whose socket is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Place {
    ConsoleListener,
    Console(u64),
    HandoverListener,
    Handover(u64),
    HttpListener,
    AjpListener,
    Http2Listener,
    Http(u64),
    Ajp(u64),
    Http2(u64),
    Executor(u64),
    Records(u64),
    AjpServer(u64),
    Directory(u64),
    /// The link to the coordinators, and calls for the fleet; at a coordinator, its links.
    FleetListener,
    Fleet(u64),
}

/// What one wait has brought.
#[derive(Default)]
pub struct Gathered {
    ready: Vec<Place>,
    states: HashMap<Place, (bool, bool)>,
    /// The notice to leave has come.
    pub leave: bool,
    /// The configuration is to be read again.
    pub reload: bool,
}

impl Gathered {
    /// Takes each place once, with whether it can be read and written, in the order seen.
    pub fn take(&mut self) -> Vec<(Place, bool, bool)> {
        let states = &mut self.states;
        self.ready.drain(..).filter_map(|p| states.remove(&p).map(|(r, w)| (p, r, w))).collect()
    }
}

/// The loop's handle, and the one budget of descriptors.
#[derive(Clone)]
pub struct Poll {
    handle: LoopHandle<'static, Gathered>,
    left: Rc<Cell<usize>>,
    /// Of these, what another process holds under the same limit.
    beside: Rc<Cell<usize>>,
    whole: usize,
    next: Rc<Cell<u64>>,
}

impl Poll {
    pub fn new(handle: LoopHandle<'static, Gathered>, descriptors: usize) -> Poll {
        let (left, beside) = (Rc::new(Cell::new(descriptors)), Rc::new(Cell::new(0)));
        Poll { handle, left, beside, whole: descriptors, next: Rc::new(Cell::new(1)) }
    }

    /// The same loop with a budget of its own: a listener and so many callers, whatever the others hold.
    pub fn apart(&self, callers: usize) -> Poll {
        let whole = KEPT_BACK + 1 + callers;
        let (left, beside) = (Rc::new(Cell::new(whole)), Rc::new(Cell::new(0)));
        Poll { handle: self.handle.clone(), left, beside, whole, next: self.next.clone() }
    }

    /// Whether the budget allows one more socket.
    pub fn room(&self) -> bool {
        self.left.get() > self.beside.get()
    }

    /// Another process holds so many descriptors that count against this budget.
    pub fn set_beside(&self, held: usize) {
        self.beside.set(held);
    }

    /// Descriptors of the budget that are taken, here and beside.
    pub fn used(&self) -> usize {
        self.whole - self.left.get() + self.beside.get()
    }

    /// Whether the budget allows one more caller.
    pub fn room_for_caller(&self) -> bool {
        self.left.get() > KEPT_BACK + self.beside.get()
    }

    /// A number that no other connection, call or search has had.
    pub fn fresh(&self) -> u64 {
        self.next.set(self.next.get() + 1);
        self.next.get()
    }

    /// Watches a socket until the watch is dropped. Each change is told once: read and write until told to wait.
    pub fn watch<F: AsFd + 'static>(&self, fd: F, place: Place) -> io::Result<Watch> {
        let Some(left) = self.left.get().checked_sub(1) else {
            return Err(io::Error::from_raw_os_error(EMFILE));
        };
        let source = Generic::new(fd, Interest::BOTH, Mode::Edge);
        let token = self
            .handle
            .insert_source(source, move |readiness, _, gathered: &mut Gathered| {
                let seen = gathered.states.entry(place).or_insert_with(|| {
                    gathered.ready.push(place);
                    (false, false)
                });
                seen.0 |= readiness.readable || readiness.error;
                seen.1 |= readiness.writable || readiness.error;
                Ok(PostAction::Continue)
            })
            .map_err(|e| io::Error::other(e.to_string()))?;
        self.left.set(left);
        Ok(Watch { poll: self.clone(), token })
    }
}

/// A socket in the loop and in the budget.
pub struct Watch {
    poll: Poll,
    token: RegistrationToken,
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.poll.handle.remove(self.token);
        self.poll.left.set(self.poll.left.get() + 1);
    }
}

/// A listening socket that accepts while there are descriptors and rests while there are none.
pub struct Acceptor {
    listener: Rc<TcpListener>,
    poll: Poll,
    _watch: Watch,
    waiting: bool,
}

/// What accepting came to.
pub enum Accepted {
    Stream(TcpStream),
    /// Nobody waits.
    Nobody,
    /// Somebody may wait, but there is no descriptor for them.
    Full,
    /// Somebody may wait, but this was enough for one turn.
    Pause,
}

impl Acceptor {
    pub fn bind(poll: &Poll, address: SocketAddr, place: Place) -> io::Result<Acceptor> {
        use socket2::{Domain, Protocol, Socket, Type};
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(1024)?;
        Acceptor::on(poll, Rc::new(TcpListener::from(socket)), place)
    }

    /// Accepts on a socket that listens already and does not block. Dropping this leaves it listening for whoever
    /// else holds it.
    pub fn on(poll: &Poll, listener: Rc<TcpListener>, place: Place) -> io::Result<Acceptor> {
        let watch = poll.watch(listener.clone(), place)?;
        Ok(Acceptor { listener, poll: poll.clone(), _watch: watch, waiting: true })
    }

    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// The socket itself, for whoever else is to accept on it.
    pub fn socket(&self) -> Rc<TcpListener> {
        self.listener.clone()
    }

    pub fn mark(&mut self) {
        self.waiting = true;
    }

    /// Closes one that waits; `false` where nobody does, or the system has no descriptor even for that.
    pub fn turn_away(&mut self) -> bool {
        self.listener.accept().is_ok()
    }

    /// Takes one that waits; `taken` counts those of this turn.
    pub fn accept(&mut self, taken: usize) -> Accepted {
        if !self.waiting {
            return Accepted::Nobody;
        }
        if taken >= ACCEPTS {
            return Accepted::Pause;
        }
        if !self.poll.room_for_caller() {
            return Accepted::Full;
        }
        loop {
            match self.listener.accept() {
                Ok((stream, _)) => return Accepted::Stream(stream),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.waiting = false;
                    return Accepted::Nobody;
                }
                Err(e) if matches!(e.raw_os_error(), Some(EMFILE | ENFILE)) => return Accepted::Full,
                // One that has gone before it was taken, and the like: the next may be sound.
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Accepted::Pause,
            }
        }
    }
}

#[cfg(test)]
mod tests;
