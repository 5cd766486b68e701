//! Backend for AJP servers: each run is a Forward Request to one of them.
//!
//! A reused connection is first checked with a `CPing`. Until a byte of the request has been sent, the run can be moved
//! to another connection or reported as never run. If the connection is lost after the first byte, the server may have
//! executed the run, so the run is never retried.

#![warn(missing_docs)]

mod error;
mod run;

pub use error::ConnectionError;

use crate::config::BackendSettings;
use crate::dispatch::Input;
use crate::interface::Outcome;
use crate::log::LogEvent;
use crate::net::events::UpstreamEvent;
use crate::net::frontends::request_fields::Catalog;
use crate::net::io::buffer::{Link, ReadStatus};
use crate::net::io::idle_pool::{exceeds_max_idle, take_idle, Pooled, MAX_IDLE};
use crate::net::io::poll::Poll;
use crate::net::io::source::{Readiness, Source};
use crate::net::io::timer_wheel::{Timer, Wheel};
use crate::net::upstreams::ajp_codec::{self, Direction, Forward, MAX_PACKET_BYTES};
use run::{Reaction, Run};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// Timeout for connecting and for the response to a `CPing` (seconds).
const ALIVE_TIMEOUT_S: f64 = 1.0;

/// How long the backend waits for a response after the run's deadline (seconds): a client may still request the result.
const POST_DEADLINE_WAIT_S: f64 = 10.0;

/// Idle connections are closed after this time (seconds).
const IDLE_TIMEOUT_S: f64 = 30.0;

/// Whether [`AjpBackend::step`] can be called again or must wait for the socket.
enum Progress {
    Continue,
    Wait,
}

struct Connection {
    link: Link,
    connected: bool,
    /// Whether a request has completed on it.
    used: bool,
    run: Option<Run>,
    idle_since: f64,
}

impl Pooled for Connection {
    fn link(&mut self) -> &mut Link {
        &mut self.link
    }

    fn idle_since(&self) -> Option<f64> {
        (self.run.is_none() && self.connected).then_some(self.idle_since)
    }
}

/// Parts of the worker that the backend uses in one turn of the event loop.
struct Turn<'a> {
    now: f64,
    inputs: &'a mut Vec<Input>,
    wheel: &'a mut Wheel,
}

/// Connection pool for the AJP servers, with the runs in flight.
pub struct AjpBackend {
    settings: BackendSettings,
    poll: Poll,
    connections: HashMap<u64, Connection>,
    /// Ids of connections to process in the next [`AjpBackend::gather`].
    pending_ids: Vec<u64>,
    /// Counts the connections opened, to select the servers round-robin.
    next_server: usize,
    /// Runs that could not be started; reported by the next [`AjpBackend::gather`].
    never_ran: Vec<Rc<str>>,
}

impl AjpBackend {
    /// Creates a backend without connections.
    #[must_use]
    pub fn new(poll: &Poll, settings: BackendSettings) -> AjpBackend {
        AjpBackend {
            settings,
            poll: poll.clone(),
            connections: HashMap::new(),
            pending_ids: Vec::new(),
            next_server: 0,
            never_ran: Vec::new(),
        }
    }

    /// Records the readiness that the event loop reported for a connection.
    pub fn mark_ready(&mut self, id: u64, readiness: Readiness) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.link.mark_ready(readiness);
            self.pending_ids.push(id);
        }
    }

    /// Whether there is something to process without a readiness event.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        !self.pending_ids.is_empty() || !self.never_ran.is_empty()
    }

    /// Starts a run; `deadline` is in seconds on the event loop's clock.
    pub fn run(
        &mut self,
        now: f64,
        name: Rc<str>,
        class: usize,
        body: Rc<[u8]>,
        deadline: f64,
        wheel: &mut Wheel,
    ) {
        self.assign_connection(now, Run::new(name, class, body, deadline), wheel);
    }

    /// Assigns a connection to a run of which no byte has been sent, or reports the run as never run.
    fn assign_connection(&mut self, now: f64, mut run: Run, wheel: &mut Wheel) {
        run.attempts += 1;
        run.request_offset = None;
        // All idle connections may be stale; after them, each server is tried once.
        let max_attempts = self.settings.servers.len() + MAX_IDLE;
        let id = match take_idle(&mut self.connections, now, 0.0, IDLE_TIMEOUT_S) {
            Some(id) => id,
            None if run.attempts <= max_attempts => match self.open(now) {
                Some(id) => id,
                None => return self.try_next_server(now, run, wheel),
            },
            None => return self.never_ran.push(run.name),
        };
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.used {
            connection.link.push(ajp_codec::write_cping());
        }
        run.timer_number = self.poll.next_id();
        wheel.set(now, ALIVE_TIMEOUT_S, Timer::Run(run.timer_number));
        connection.run = Some(run);
        self.pending_ids.push(id);
    }

    /// Tries the next server after connecting to one failed immediately; reports the run as never run once all were
    /// tried.
    fn try_next_server(&mut self, now: f64, run: Run, wheel: &mut Wheel) {
        if run.attempts < self.settings.servers.len() {
            self.assign_connection(now, run, wheel);
        } else {
            self.never_ran.push(run.name);
        }
    }

    /// Starts connecting to the next server.
    fn open(&mut self, now: f64) -> Option<u64> {
        let servers: &[SocketAddr] = &self.settings.servers;
        let address = *servers.get(self.next_server % servers.len().max(1))?;
        self.next_server = self.next_server.wrapping_add(1);
        let id = self.poll.next_id();
        let link = Link::connect(&self.poll, address, Source::AjpServer(id), 2 * MAX_PACKET_BYTES).ok()?;
        let connection = Connection { link, connected: false, used: false, run: None, idle_since: now };
        self.connections.insert(id, connection);
        Some(id)
    }

    /// Handles the expiry of a run's timer.
    pub fn on_timer(&mut self, now: f64, timer_number: u64, inputs: &mut Vec<Input>, wheel: &mut Wheel) {
        let has_timer = |connection: &Connection| {
            connection.run.as_ref().is_some_and(|run| run.timer_number == timer_number)
        };
        let expired_id =
            self.connections.iter().find(|(_, connection)| has_timer(connection)).map(|(id, _)| *id);
        if let Some(id) = expired_id {
            self.on_connection_lost(id, &ConnectionError::Timeout, &mut Turn { now, inputs, wheel });
        }
    }

    /// Processes the connections in `pending_ids`, and adds to `inputs` the runs that have ended or never ran.
    pub fn gather(&mut self, now: f64, catalog: &Catalog, inputs: &mut Vec<Input>, wheel: &mut Wheel) {
        let mut pending_ids = std::mem::take(&mut self.pending_ids);
        pending_ids.sort_unstable();
        pending_ids.dedup();
        let mut turn = Turn { now, inputs, wheel };
        for id in pending_ids {
            self.process_connection(id, catalog, &mut turn);
        }
        turn.inputs.extend(self.never_ran.drain(..).map(|name| Input::NeverRan { name }));
    }

    fn process_connection(&mut self, id: u64, catalog: &Catalog, turn: &mut Turn) {
        loop {
            match self.step(id, catalog, turn) {
                Ok(Progress::Continue) => {}
                Ok(Progress::Wait) => return,
                Err(error) => return self.on_connection_lost(id, &error, turn),
            }
        }
    }

    /// Finishes connecting, sends a request or processes one message.
    fn step(&mut self, id: u64, catalog: &Catalog, turn: &mut Turn) -> Result<Progress, ConnectionError> {
        let Some(connection) = self.connections.get_mut(&id) else { return Ok(Progress::Wait) };
        if !connection.connected {
            match connection.link.connected() {
                None => return Ok(Progress::Wait),
                Some(Err(error)) => return Err(ConnectionError::Connect(error)),
                Some(Ok(())) => connection.connected = true,
            }
        }
        let has_unsent_request = connection.run.as_ref().is_some_and(|run| run.request_offset.is_none());
        if !connection.used && has_unsent_request {
            self.send_request(id, catalog, turn);
            return Ok(Progress::Continue);
        }
        connection.link.flush().map_err(|_| ConnectionError::Write)?;
        let read_status = connection.link.fill();
        let packet = ajp_codec::find_packet(connection.link.data(), Direction::ToWebServer);
        let payload = match packet.map_err(ConnectionError::Packet)? {
            Some(payload) => payload,
            None if read_status != ReadStatus::Open => return Err(ConnectionError::Closed),
            None => return Ok(Progress::Wait),
        };
        let packet_end = payload.end;
        let message = connection.link.data().get(payload).map(ajp_codec::parse_to_web_server);
        let run = connection.run.as_mut().ok_or(ConnectionError::MessageWithoutRequest)?;
        let Some(Ok(message)) = message else { return Err(ConnectionError::UnexpectedMessage) };
        let reaction = run.on_message(&message)?;
        connection.link.consume(packet_end);
        match reaction {
            Reaction::AwaitMessage => {}
            Reaction::SendRequest => self.send_request(id, catalog, turn),
            Reaction::EndBody => connection.link.push(ajp_codec::write_body(&[]).unwrap_or_default()),
            Reaction::Complete { reuse } => self.on_complete(id, reuse, turn),
        }
        Ok(Progress::Continue)
    }

    /// Reports a run that has completed, and returns its connection to the pool unless the server forbids its reuse or
    /// the pool would hold more than [`MAX_IDLE`].
    fn on_complete(&mut self, id: u64, reuse: bool, turn: &mut Turn) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.used = true;
        connection.idle_since = turn.now;
        let run = connection.run.take();
        if !reuse || exceeds_max_idle(&self.connections) {
            self.connections.remove(&id);
        }
        turn.inputs.extend(run.map(Run::into_ended));
    }

    /// Queues the request. Once its first byte is sent, the run may have started.
    fn send_request(&mut self, id: u64, catalog: &Catalog, turn: &mut Turn) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let Some(run) = &mut connection.run else { return };
        let length = run.body.len().to_string();
        let uri = self.settings.path_of(catalog.class_name(run.class));
        let forward = Forward {
            method: "POST",
            uri: &uri,
            server_name: &self.settings.server_name,
            headers: vec![("content-length", length.as_bytes()), ("X-Correlation-Id", run.name.as_bytes())],
            remote_user: None,
            secret: self.settings.secret.as_deref().map(str::as_bytes),
        };
        run.timer_number = self.poll.next_id();
        run.request_offset = Some(connection.link.sent + connection.link.queued() as u64);
        let timeout_s = (run.deadline - turn.now).max(0.0) + POST_DEADLINE_WAIT_S;
        turn.wheel.set(turn.now, timeout_s, Timer::Run(run.timer_number));
        match ajp_codec::write_forward(&forward) {
            Some(head) => connection.link.push(head),
            None => UpstreamEvent::AjpBackendRequestTooLarge.emit(),
        }
        if !run.body.is_empty() {
            // A body is 2 KiB at most, so it fits into one packet, which is sent right after the head without a request
            // for it.
            connection.link.push(ajp_codec::write_body(&run.body).unwrap_or_default());
        }
        self.pending_ids.push(id);
    }

    /// Closes a connection after an error. Its run moves to another connection only if no byte of its request was sent.
    fn on_connection_lost(&mut self, id: u64, error: &ConnectionError, turn: &mut Turn) {
        let Some(connection) = self.connections.remove(&id) else { return };
        let Some(run) = connection.run else { return };
        UpstreamEvent::AjpBackendFailed(error).emit();
        if run.request_offset.is_none_or(|request_offset| connection.link.sent <= request_offset) {
            return self.assign_connection(turn.now, run, turn.wheel);
        }
        turn.inputs.push(Input::RunEnded { name: run.name, outcome: Outcome::Interrupted, result: None });
    }

    /// Closes connections that have been idle for too long.
    pub fn sweep(&mut self, now: f64) {
        self.connections
            .retain(|_, connection| connection.run.is_some() || now - connection.idle_since < IDLE_TIMEOUT_S);
    }
}
