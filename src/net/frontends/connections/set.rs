//! Connections without their protocol's own state, as the lifecycle of the worker sees them.

use super::Connections;
use crate::net::io::source::Readiness;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

/// A listener and its connections, of any protocol. Each method is that of [`Connections`] under the same name.
pub trait ConnectionSet {
    /// The address that it listens at; none while nothing is accepted.
    fn address(&self) -> Option<SocketAddr>;
    /// The socket that it accepts on.
    fn socket(&self) -> Option<Rc<TcpListener>>;
    /// Records that connections wait to be accepted.
    fn mark_listener(&mut self);
    /// Records a connection's readiness.
    fn mark(&mut self, id: u64, readiness: Readiness);
    /// Whether a connection is to be processed without an event of the poll.
    fn has_pending(&self) -> bool;
    /// Whether there are no connections.
    fn is_empty(&self) -> bool;
    /// Whether no response is pending or being written, and no request is half read.
    fn all_idle(&self) -> bool;
    /// Whether no connection is left but those that another process has.
    fn all_ended(&self) -> bool;
    /// Ends connections that have been idle for `idle_s` or are too slow; with `closing` all idle ones.
    fn sweep(&mut self, now: f64, idle_s: f64, closing: bool);
    /// Accepts what waits at the listener, then closes it; `false` where some may still wait.
    fn close_listener(&mut self, now: f64) -> bool;
    /// Accepts no more; another process goes on listening at the same socket.
    fn stop_listening(&mut self);
    /// Ends all idle connections, and with `at_once` those that have sent half a request.
    fn end_all(&mut self, now: f64, at_once: bool);
    /// Discards what lies unread, the last thing before the process ends.
    fn drop_unread(&mut self);
}

impl<P: Default> ConnectionSet for Connections<P> {
    fn address(&self) -> Option<SocketAddr> {
        self.address()
    }

    fn socket(&self) -> Option<Rc<TcpListener>> {
        self.socket()
    }

    fn mark_listener(&mut self) {
        self.mark_listener();
    }

    fn mark(&mut self, id: u64, readiness: Readiness) {
        self.mark(id, readiness);
    }

    fn has_pending(&self) -> bool {
        self.has_pending()
    }

    fn is_empty(&self) -> bool {
        self.is_empty()
    }

    fn all_idle(&self) -> bool {
        self.all_idle()
    }

    fn all_ended(&self) -> bool {
        self.all_ended()
    }

    fn sweep(&mut self, now: f64, idle_s: f64, closing: bool) {
        self.sweep(now, idle_s, closing);
    }

    fn close_listener(&mut self, now: f64) -> bool {
        self.close_listener(now)
    }

    fn stop_listening(&mut self) {
        self.stop_listening();
    }

    fn end_all(&mut self, now: f64, at_once: bool) {
        self.end_all(now, at_once);
    }

    fn drop_unread(&mut self) {
        self.drop_unread();
    }
}
