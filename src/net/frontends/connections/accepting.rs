//! Listening sockets, and the connections accepted there.

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
    /// Listens at an address; each connection keeps at most `max_unread_bytes` unread.
    ///
    /// # Errors
    ///
    /// Where the system doesn't let it listen there.
    pub fn bind(
        poll: &Poll,
        address: SocketAddr,
        kind: FrontendKind,
        max_unread_bytes: usize,
    ) -> io::Result<Connections<P>> {
        let mut connections = Connections::closed(poll, kind, max_unread_bytes);
        connections.acceptor = Some(Acceptor::bind(poll, address, Source::Listener(kind))?);
        Ok(connections)
    }

    /// Accepts from now on: at a socket that listens already, or else at `address`, which the error names too.
    ///
    /// # Errors
    ///
    /// Where the system doesn't let it listen there, or the socket can't be polled.
    pub fn open(&mut self, socket: Option<Rc<TcpListener>>, address: SocketAddr) -> Result<(), ListenError> {
        let source = Source::Listener(self.kind);
        let opened = match socket {
            Some(socket) => Acceptor::from_listener(&self.poll, socket, source),
            None => Acceptor::bind(&self.poll, address, source),
        };
        self.acceptor = Some(opened.map_err(|source| ListenError { address, source })?);
        Ok(())
    }

    /// The socket that it accepts on.
    pub fn socket(&self) -> Option<Rc<TcpListener>> {
        self.acceptor.as_ref().map(Acceptor::socket)
    }

    /// The address that it listens at, as the system states it.
    #[must_use]
    pub fn address(&self) -> Option<SocketAddr> {
        self.acceptor.as_ref().and_then(|acceptor| acceptor.address().ok())
    }

    /// Records that connections wait to be accepted.
    pub fn mark_listener(&mut self) {
        if let Some(acceptor) = &mut self.acceptor {
            acceptor.mark_ready();
        }
    }

    /// Accepts no more; another process goes on listening at the same socket.
    pub fn stop_listening(&mut self) {
        self.acceptor = None;
        self.pending_stream = None;
    }

    /// Accepts no more, and nobody else listens: connections that wait at the socket are accepted first, since closing
    /// it resets them, requests and all. Between the last accept and the close there is no more than a system call.
    /// `false` where some may still wait, until other connections have been processed.
    pub fn close_listener(&mut self, now: f64) -> bool {
        // The system knows better than the readiness that the event loop saw a moment ago.
        self.mark_listener();
        if self.accept(now) {
            return false;
        }
        self.acceptor = None;
        true
    }

    /// Accepts the connections that wait; `true` if it had to stop early and wants to be called again.
    pub fn accept(&mut self, now: f64) -> bool {
        for accepted_count in 0.. {
            let Some(acceptor) = &mut self.acceptor else { return false };
            let pending = self.pending_stream.take();
            let accepted = pending.map_or_else(|| acceptor.accept(accepted_count), Accepted::Stream);
            let stream = match accepted {
                Accepted::Stream(stream) => stream,
                Accepted::NonePending => return false,
                Accepted::NoDescriptor if self.resolve_descriptor_shortage(now) => continue,
                // Guards against spinning: the connection stays in the queue, and the next attempt is left to a timer.
                Accepted::NoDescriptor | Accepted::RetryLater => return true,
            };
            if self.by_id.len() >= self.limit {
                match self.evict_one(now) {
                    Eviction::Evicted => {}
                    Eviction::Later => {
                        self.pending_stream = Some(stream);
                        return true;
                    }
                    // Closed with its request unread, which makes it a reset: as with a refused connection, nothing
                    // has run. All are busy, and the limit forbids one more.
                    Eviction::NoCandidate => continue,
                }
            }
            self.register(now, stream);
        }
        false
    }

    /// Evicts a connection, or closes the waiting one. `false` where neither could be done now.
    ///
    /// An idle connection may be closed at any time: one that waits is worth more. Where all are busy, the waiting
    /// one is closed immediately: a request that lies unread until its deadline is lost, and one on a
    /// connection closed before anything ran may be retried elsewhere.
    fn resolve_descriptor_shortage(&mut self, now: f64) -> bool {
        match self.evict_one(now) {
            Eviction::Evicted => true,
            Eviction::NoCandidate => self.acceptor.as_mut().is_some_and(Acceptor::accept_and_close),
            Eviction::Later => false,
        }
    }

    /// Adds an accepted connection; one that can't be polled is closed.
    fn register(&mut self, now: f64, stream: TcpStream) {
        let id = self.poll.next_id();
        if stream.set_nonblocking(true).is_err() {
            return;
        }
        if let Ok(link) = Link::new(&self.poll, stream, Source::Client(self.kind, id), self.max_unread_bytes)
        {
            self.by_id.insert(id, Connection::new(link, now, P::default()));
            self.touched.push(id);
        }
    }
}
