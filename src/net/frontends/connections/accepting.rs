//! Listening sockets and accepting connections on them.

use super::eviction::Eviction;
use super::{Connection, Connections};
use crate::net::io::buffer::Link;
use crate::net::io::poll::{Accepted, Acceptor, Poll};
use crate::net::io::source::{FrontendKind, Source};
use crate::net::ListenError;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

impl<P: Default> Connections<P> {
    /// Listens at an address; each connection buffers at most `max_unread_bytes` of unread input.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub fn bind(
        poll: &Poll,
        address: SocketAddr,
        kind: FrontendKind,
        max_unread_bytes: usize,
    ) -> io::Result<Connections<P>> {
        let mut connections = Connections::new(poll, kind, max_unread_bytes);
        connections.acceptor = Some(Acceptor::bind(poll, address, Source::Listener(kind))?);
        Ok(connections)
    }

    /// Starts accepting: on `socket` if it is given, otherwise on a new socket bound to `address`. The error names
    /// `address` in both cases.
    ///
    /// # Errors
    ///
    /// If the address can't be bound or the socket can't be polled.
    pub fn open(&mut self, socket: Option<Rc<TcpListener>>, address: SocketAddr) -> Result<(), ListenError> {
        let source = Source::Listener(self.kind);
        let opened = match socket {
            Some(socket) => Acceptor::from_listener(&self.poll, socket, source),
            None => Acceptor::bind(&self.poll, address, source),
        };
        self.acceptor = Some(opened.map_err(|source| ListenError { address, source })?);
        Ok(())
    }

    /// The listening socket.
    pub fn socket(&self) -> Option<Rc<TcpListener>> {
        self.acceptor.as_ref().map(Acceptor::socket)
    }

    /// The address of the listening socket, as reported by the system.
    #[must_use]
    pub fn address(&self) -> Option<SocketAddr> {
        self.acceptor.as_ref().and_then(|acceptor| acceptor.address().ok())
    }

    /// Records that connections are waiting to be accepted.
    pub fn mark_listener_ready(&mut self) {
        if let Some(acceptor) = &mut self.acceptor {
            acceptor.mark_ready();
        }
    }

    /// Stops accepting; another process continues to listen on the same socket.
    pub fn stop_listening(&mut self) {
        self.acceptor = None;
        self.pending_stream = None;
    }

    /// Closes a listener on whose socket no other process listens. The waiting connections are accepted first, since
    /// the close resets them even if they have sent a request. Only connections that come between the last system call
    /// to accept and the close are still reset. Returns `false` if connections may still be waiting: the caller retries
    /// after it has processed others.
    pub fn close_listener(&mut self, now: f64) -> bool {
        // Asks the system again: the readiness that the event loop reported may be out of date.
        self.mark_listener_ready();
        if self.accept(now) {
            return false;
        }
        self.acceptor = None;
        true
    }

    /// Accepts the waiting connections. Returns `true` if it had to stop early and must be called again.
    pub fn accept(&mut self, now: f64) -> bool {
        for accepted_count in 0.. {
            let Some(acceptor) = &mut self.acceptor else { return false };
            let pending = self.pending_stream.take();
            let accepted = pending.map_or_else(|| acceptor.accept(accepted_count), Accepted::Stream);
            let stream = match accepted {
                Accepted::Stream(stream) => stream,
                Accepted::NonePending => return false,
                Accepted::NoDescriptor if self.resolve_descriptor_shortage(now) => continue,
                // Guards against a busy loop: the connection stays in the backlog, and a timer triggers a retry.
                Accepted::NoDescriptor | Accepted::RetryLater => return true,
            };
            if self.by_id.len() >= self.max_open {
                match self.evict_one(now) {
                    Eviction::Evicted => {}
                    Eviction::Deferred => {
                        self.pending_stream = Some(stream);
                        return true;
                    }
                    // All connections are busy and the limit is reached. The new one is dropped with its request
                    // unread, which sends a reset: as with a refused connection, nothing has run.
                    Eviction::NoCandidate => continue,
                }
            }
            self.register(now, stream);
        }
        false
    }

    /// Frees a descriptor by an eviction, or closes the waiting connection. Returns `false` if neither is possible now.
    ///
    /// An idle connection may be closed at any time, so a waiting one takes precedence. If all are busy, the waiting
    /// one is closed immediately: a request that stays unread until its deadline is lost, whereas a client whose
    /// connection was closed before anything ran can retry elsewhere.
    fn resolve_descriptor_shortage(&mut self, now: f64) -> bool {
        match self.evict_one(now) {
            Eviction::Evicted => true,
            Eviction::NoCandidate => self.acceptor.as_mut().is_some_and(Acceptor::accept_and_close),
            Eviction::Deferred => false,
        }
    }

    /// Adds an accepted connection, or closes it if it can't be polled.
    fn register(&mut self, now: f64, stream: TcpStream) {
        let id = self.poll.next_id();
        if stream.set_nonblocking(true).is_err() {
            return;
        }
        if let Ok(link) = Link::new(&self.poll, stream, Source::Client(self.kind, id), self.max_unread_bytes)
        {
            self.by_id.insert(id, Connection::new(link, now, P::default()));
            self.scheduled.push(id);
        }
    }
}
