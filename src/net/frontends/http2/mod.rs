//! The HTTP/2 frontend: cleartext with prior knowledge (RFC 9113), disabled unless the operator's file has `[http2]`.
//!
//! `transport` and `session` implement one connection without a socket; this module and `connection` connect them to
//! the event loop. The frontend limits what the codec doesn't:
//!
//! - bytes and streams processed per connection and turn (`connection`), and body sizes (`session`);
//! - sessions of clients that have not sent a request (`session_admission`);
//! - traffic that belongs to no request (`abuse_detection`);
//! - the memory of all open streams (`stream_memory`);
//! - how long responses wait for a client (`session`, `sweep`), and their total size (`response_backlog`).

#![warn(missing_docs)]

mod abuse_detection;
mod connection;
mod response_backlog;
mod session;
mod session_admission;
mod stream_memory;
mod sweep;
mod transport;

use crate::config::Http2Settings;
use crate::dispatch::{Input, Response, Ticket};
use crate::log::LogEvent;
use crate::net::events::{FrontendEvent, SessionEndCause};
use crate::net::frontends::connections::{ConnectionSet, Connections};
use crate::net::frontends::frontend::{Frontend, FrontendTurn};
use crate::net::io::poll::Poll;
use crate::net::io::source::FrontendKind;
use crate::net::{Availability, FrontendContext, ListenError};
use abuse_detection::{OverheadBudget, PressureMonitor};
use connection::{max_bytes_per_poll, queue_output, SessionEntry, Turn};
use session_admission::SessionAdmission;
use std::collections::HashMap;
use std::net::TcpListener;
use std::rc::Rc;
use stream_memory::StreamMemory;

/// Limit on the unread input of a connection (bytes).
const READ_BUFFER_BYTES: usize = 8 * 1024;
/// Size of a connection's first request without its fields: preface, settings, frame headers, a body (bytes).
const FIRST_REQUEST_OVERHEAD_BYTES: f64 = 4096.0;
/// By how much an idle connection may exceed the configured idle timeout (seconds).
const IDLE_MARGIN_S: f64 = 5.0;

fn kb_to_bytes(kb: u32) -> f64 {
    f64::from(kb) * 1024.0
}

fn overhead_budget(settings: &Http2Settings) -> OverheadBudget {
    let reduced_bytes = kb_to_bytes(settings.header_list_kb) + FIRST_REQUEST_OVERHEAD_BYTES;
    let max_bytes = kb_to_bytes(settings.overhead_kb).max(reduced_bytes);
    OverheadBudget { max_bytes, bytes_per_s: kb_to_bytes(settings.overhead_kb_per_s), reduced_bytes }
}

/// The HTTP/2 frontend: its listener, its connections, and the limits that they share.
pub struct Http2Frontend {
    /// The listener and its connections.
    pub connections: Connections<SessionEntry>,
    settings: Http2Settings,
    poll: Poll,
    /// The id of the connection on which a response is pending, by ticket.
    owners: HashMap<u64, u64>,
    pressure: PressureMonitor,
    admission: SessionAdmission,
    stream_memory: StreamMemory,
}

impl Http2Frontend {
    /// A frontend that doesn't listen yet.
    #[must_use]
    pub fn new(poll: &Poll, settings: Http2Settings) -> Http2Frontend {
        let mut connections = Connections::new(poll, FrontendKind::Http2, READ_BUFFER_BYTES);
        connections.set_max_connections(settings.connections);
        Http2Frontend {
            connections,
            poll: poll.clone(),
            owners: HashMap::new(),
            pressure: PressureMonitor::default(),
            admission: SessionAdmission::new(settings.newcomers),
            stream_memory: StreamMemory::new(settings.open_streams_kb as usize * 1024),
            settings,
        }
    }

    /// Admits connections that wait for a session, as far as slots are available.
    fn admit_waiting(&mut self, now: f64, inputs: &mut Vec<Input>) {
        if !self.admission.has_waiting() {
            return;
        }
        self.admission.retain(|id| self.connections.owns(id));
        while let Some(admitted) = self.admission.admit_next(now) {
            if let Some(id) = admitted.evicted {
                self.finish(id, now, inputs);
            }
            self.connections.schedule(admitted.id);
        }
    }

    /// Ends a connection's session, and closes the connection once its queued output is written. Notifies the
    /// dispatcher that the client of its pending responses is gone.
    fn finish(&mut self, id: u64, now: f64, inputs: &mut Vec<Input>) {
        self.release(id, inputs);
        let Some(connection) = self.connections.get_mut(id) else { return };
        if let Some(active) = connection.protocol_state.active.take() {
            queue_output(&active.session, &mut connection.link);
        }
        connection.finish(now);
        self.connections.schedule(id);
    }

    /// Closes a connection immediately. Notifies the dispatcher that the client of its pending responses is gone.
    fn close(&mut self, id: u64, inputs: &mut Vec<Input>) {
        self.release(id, inputs);
        self.connections.close(id);
    }

    /// Ends a connection's session with GOAWAY and `ENHANCE_YOUR_CALM`, and closes the connection.
    fn abort(&mut self, id: u64, cause: SessionEndCause, now: f64, inputs: &mut Vec<Input>) {
        FrontendEvent::Http2SessionTerminated(cause).emit();
        let connection = self.connections.get_mut(id);
        if let Some(active) = connection.and_then(|c| c.protocol_state.active.as_deref_mut()) {
            active.session.abort_for_abuse();
        }
        self.finish(id, now, inputs);
    }

    /// Records the memory of a connection's streams, and ends the connections with the most of it while the limit is
    /// exceeded.
    fn limit_stream_memory(&mut self, id: u64, now: f64, inputs: &mut Vec<Input>) {
        let active = self.connections.get_mut(id).and_then(|c| c.protocol_state.active.as_deref());
        self.stream_memory.set(id, active.map_or(0, |active| active.session.stream_bytes()));
        while let Some(largest) = self.stream_memory.largest_over_limit() {
            self.abort(largest, SessionEndCause::OpenStreams, now, inputs);
        }
    }

    /// Releases what a connection holds of the shared limits, and notifies the dispatcher that the client of its pending
    /// responses is gone.
    fn release(&mut self, id: u64, inputs: &mut Vec<Input>) {
        self.disconnect_pending(id, inputs);
        self.admission.release(id);
        self.stream_memory.set(id, 0);
    }

    /// Notifies the dispatcher that the client of a connection's pending responses is gone.
    fn disconnect_pending(&mut self, id: u64, inputs: &mut Vec<Input>) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let Some(active) = &connection.protocol_state.active else { return };
        for ticket in active.session.awaiting_response() {
            self.owners.remove(&ticket.0);
            inputs.push(Input::ClientDisconnected(ticket));
        }
    }
}

impl Frontend for Http2Frontend {
    fn kind(&self) -> FrontendKind {
        FrontendKind::Http2
    }

    fn connections(&self) -> &dyn ConnectionSet {
        &self.connections
    }

    fn connections_mut(&mut self) -> &mut dyn ConnectionSet {
        &mut self.connections
    }

    fn open(&mut self, socket: Option<Rc<TcpListener>>) -> Result<(), ListenError> {
        self.connections.open(socket, self.settings.listen)
    }

    /// Returns `true` also while connections wait for a session, so that `gather` is called again after the pause of
    /// accepting.
    fn gather(&mut self, turn: &mut FrontendTurn<'_>) -> bool {
        let now = turn.clock.now();
        let accept_paused = self.connections.accept(now);
        self.admit_waiting(now, turn.inputs);
        let scheduled = self.connections.take_scheduled();
        let max_bytes = max_bytes_per_poll(scheduled.len());
        for id in scheduled {
            let now = turn.clock.now();
            let mut turn =
                Turn { now, max_bytes, clock: turn.clock, context: turn.context, inputs: turn.inputs };
            self.process_connection(id, &mut turn);
            self.limit_stream_memory(id, now, turn.inputs);
        }
        accept_paused || self.admission.has_waiting()
    }

    fn owns(&self, ticket: Ticket) -> bool {
        self.owners.contains_key(&ticket.0)
    }

    fn respond(&mut self, now: f64, ticket: Ticket, response: Response, context: &FrontendContext) {
        let Some(id) = self.owners.remove(&ticket.0) else { return };
        let Some(connection) = self.connections.get_mut(id) else { return };
        if let Some(active) = connection.protocol_state.active.as_deref_mut() {
            active.session.respond(now, ticket, response, context);
        }
        self.connections.schedule(id);
    }

    /// Longer than the idle timeout of sessions, which send a GOAWAY first.
    fn idle_timeout_s(&self, _platform_s: f64) -> f64 {
        self.settings.idle_s + IDLE_MARGIN_S
    }

    fn sweep(&mut self, now: f64, availability: &Availability, inputs: &mut Vec<Input>) {
        self.sweep_sessions(now, availability.draining, inputs);
    }

    /// Schedules all connections for processing, which sends each a GOAWAY.
    fn announce_close(&mut self) {
        self.connections.schedule_all();
    }
}
