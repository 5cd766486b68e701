//! A protocol-independent view of connections, for the worker's lifecycle.

use super::Connections;
use crate::net::io::source::Readiness;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

/// A listener and its connections, of any protocol. Each method calls the method of [`Connections`] of the same name.
pub trait ConnectionSet {
    /// The address of the listening socket; `None` while no connections are accepted.
    fn address(&self) -> Option<SocketAddr>;
    /// The listening socket.
    fn socket(&self) -> Option<Rc<TcpListener>>;
    /// Records that connections are waiting to be accepted.
    fn mark_listener_ready(&mut self);
    /// Records a connection's readiness.
    fn mark_ready(&mut self, id: u64, readiness: Readiness);
    /// Whether a connection has to be processed without waiting for a poll event.
    fn has_pending(&self) -> bool;
    /// Whether there are no connections.
    fn is_empty(&self) -> bool;
    /// Whether no response is pending or being written, and no request is partly read.
    fn all_idle(&self) -> bool;
    /// Whether all remaining connections are held by another process.
    fn all_closed_or_handed_off(&self) -> bool;
    /// Closes connections that have been idle for `idle_s` or are too slow; with `closing`, all idle ones.
    fn sweep(&mut self, now: f64, idle_s: f64, closing: bool);
    /// Accepts the waiting connections, then closes the listener. Returns `false` if some may still be waiting.
    fn close_listener(&mut self, now: f64) -> bool;
    /// Stops accepting; another process continues to listen on the same socket.
    fn stop_listening(&mut self);
    /// Closes all idle connections; with `include_partial`, also those that have sent part of a request.
    fn close_idle(&mut self, now: f64, include_partial: bool);
    /// Discards unread input, as the last step before the process exits.
    fn drop_unread(&mut self);
}

impl<P: Default> ConnectionSet for Connections<P> {
    fn address(&self) -> Option<SocketAddr> {
        self.address()
    }

    fn socket(&self) -> Option<Rc<TcpListener>> {
        self.socket()
    }

    fn mark_listener_ready(&mut self) {
        self.mark_listener_ready();
    }

    fn mark_ready(&mut self, id: u64, readiness: Readiness) {
        self.mark_ready(id, readiness);
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

    fn all_closed_or_handed_off(&self) -> bool {
        self.all_closed_or_handed_off()
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

    fn close_idle(&mut self, now: f64, include_partial: bool) {
        self.close_idle(now, include_partial);
    }

    fn drop_unread(&mut self) {
        self.drop_unread();
    }
}
