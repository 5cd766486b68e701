//! AJP servers as the backend: a run is a Forward Request to one of them.
//!
//! A connection that has carried a request is asked with `CPing` first. As long as no byte of the request has gone out,
//! the run can go elsewhere or be returned as never run; from the first byte on any break means that it may have run,
//! and it is never repeated.

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
use crate::net::io::idle_pool::{full, take_idle, Pooled, MAX_IDLE};
use crate::net::io::poll::Poll;
use crate::net::io::source::{Readiness, Source};
use crate::net::io::timer_wheel::{Timer, Wheel};
use crate::net::upstreams::ajp_codec::{self, Direction, Forward, MAX_PACKET_BYTES};
use run::{Reaction, Run};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// How long a server may take to accept a connection or to answer a `CPing` (seconds).
const PONG_TIMEOUT_S: f64 = 1.0;

/// How long a run may go on after its deadline: its result may still be asked for (seconds).
const OVERTIME_S: f64 = 10.0;

/// How long an idle connection is kept (seconds).
const IDLE_TIMEOUT_S: f64 = 30.0;

/// What becomes of a connection after a step.
enum Progress {
    Continue,
    Wait,
}

struct Connection {
    link: Link,
    connected: bool,
    /// Whether it has carried a request.
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

/// The parts of the worker that the backend uses in one turn of the loop.
struct Turn<'a> {
    now: f64,
    inputs: &'a mut Vec<Input>,
    wheel: &'a mut Wheel,
}

/// The connections to the servers, and the runs on them.
pub struct AjpBackend {
    settings: BackendSettings,
    poll: Poll,
    connections: HashMap<u64, Connection>,
    /// Connections that are to be processed.
    touched: Vec<u64>,
    /// Counts connections opened, to take the servers in turn.
    next_server: usize,
    /// Runs that could not be begun, returned with the next [`AjpBackend::gather`].
    never_ran: Vec<Rc<str>>,
}

impl AjpBackend {
    /// A backend without connections.
    #[must_use]
    pub fn new(poll: &Poll, settings: BackendSettings) -> AjpBackend {
        AjpBackend {
            settings,
            poll: poll.clone(),
            connections: HashMap::new(),
            touched: Vec::new(),
            next_server: 0,
            never_ran: Vec::new(),
        }
    }

    /// Records a connection's readiness, and has it processed.
    pub fn mark(&mut self, id: u64, readiness: Readiness) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.link.mark(readiness);
            self.touched.push(id);
        }
    }

    /// Whether there is something to process without an event of the poll.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        !self.touched.is_empty() || !self.never_ran.is_empty()
    }

    /// Starts a run; `deadline` is on the loop's clock (seconds).
    pub fn run(
        &mut self,
        now: f64,
        name: Rc<str>,
        class: usize,
        body: Rc<[u8]>,
        deadline: f64,
        wheel: &mut Wheel,
    ) {
        self.place(now, Run::new(name, class, body, deadline), wheel);
    }

    /// Finds a connection for a run of which no byte has gone out, or returns it as never run.
    fn place(&mut self, now: f64, mut run: Run, wheel: &mut Wheel) {
        run.attempts += 1;
        run.sent_before = None;
        // Idle connections may all be stale: beyond them each server is tried once.
        let max_attempts = self.settings.servers.len() + MAX_IDLE;
        let id = match take_idle(&mut self.connections, now, 0.0, IDLE_TIMEOUT_S) {
            Some(id) => id,
            None if run.attempts <= max_attempts => match self.open(now) {
                Some(id) => id,
                None => return self.place_elsewhere(now, run, wheel),
            },
            None => return self.never_ran.push(run.name),
        };
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.used {
            connection.link.push(ajp_codec::write_cping());
        }
        run.timer_number = self.poll.next_id();
        wheel.set(now, PONG_TIMEOUT_S, Timer::Run(run.timer_number));
        connection.run = Some(run);
        self.touched.push(id);
    }

    /// Tries the next server after one that could not be connected to, while there are any.
    fn place_elsewhere(&mut self, now: f64, run: Run, wheel: &mut Wheel) {
        if run.attempts < self.settings.servers.len() {
            self.place(now, run, wheel);
        } else {
            self.never_ran.push(run.name);
        }
    }

    /// Begins a connection to the next server.
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

    /// Takes the expiry of a run's timer.
    pub fn on_timer(&mut self, now: f64, number: u64, inputs: &mut Vec<Input>, wheel: &mut Wheel) {
        let waits =
            |connection: &Connection| connection.run.as_ref().is_some_and(|run| run.timer_number == number);
        let expired = self.connections.iter().find(|(_, connection)| waits(connection)).map(|(id, _)| *id);
        if let Some(id) = expired {
            self.on_broken(id, &ConnectionError::Timeout, &mut Turn { now, inputs, wheel });
        }
    }

    /// Processes the connections that something happened to.
    pub fn gather(&mut self, now: f64, catalog: &Catalog, inputs: &mut Vec<Input>, wheel: &mut Wheel) {
        let mut touched = std::mem::take(&mut self.touched);
        touched.sort_unstable();
        touched.dedup();
        let mut turn = Turn { now, inputs, wheel };
        for id in touched {
            self.process_connection(id, catalog, &mut turn);
        }
        turn.inputs.extend(self.never_ran.drain(..).map(|name| Input::NeverRan { name }));
    }

    fn process_connection(&mut self, id: u64, catalog: &Catalog, turn: &mut Turn) {
        loop {
            match self.step(id, catalog, turn) {
                Ok(Progress::Continue) => {}
                Ok(Progress::Wait) => return,
                Err(error) => return self.on_broken(id, &error, turn),
            }
        }
    }

    /// Connects, sends a request, or takes one message.
    fn step(&mut self, id: u64, catalog: &Catalog, turn: &mut Turn) -> Result<Progress, ConnectionError> {
        let Some(connection) = self.connections.get_mut(&id) else { return Ok(Progress::Wait) };
        if !connection.connected {
            match connection.link.connected() {
                None => return Ok(Progress::Wait),
                Some(Err(error)) => return Err(ConnectionError::Connect(error)),
                Some(Ok(())) => connection.connected = true,
            }
        }
        let request_waits = connection.run.as_ref().is_some_and(|run| run.sent_before.is_none());
        if !connection.used && request_waits {
            self.send_request(id, catalog, turn);
            return Ok(Progress::Continue);
        }
        connection.link.flush().map_err(|_| ConnectionError::Write)?;
        let filled = connection.link.fill();
        let packet = ajp_codec::find_packet(connection.link.data(), Direction::ToWebServer);
        let payload = match packet.map_err(ConnectionError::Packet)? {
            Some(payload) => payload,
            None if filled != ReadStatus::Open => return Err(ConnectionError::Closed),
            None => return Ok(Progress::Wait),
        };
        let packet_end = payload.end;
        let message = connection.link.data().get(payload).map(ajp_codec::parse_to_web_server);
        let run = connection.run.as_mut().ok_or(ConnectionError::MessageWithoutRequest)?;
        let Some(Ok(message)) = message else { return Err(ConnectionError::UnexpectedMessage) };
        let reaction = run.on_message(&message)?;
        connection.link.consume(packet_end);
        match reaction {
            Reaction::ReadOn => {}
            Reaction::SendRequest => self.send_request(id, catalog, turn),
            Reaction::EndBody => connection.link.push(ajp_codec::write_body(&[]).unwrap_or_default()),
            Reaction::Complete { reuse } => self.on_complete(id, reuse, turn),
        }
        Ok(Progress::Continue)
    }

    /// Ends a run with its response, and keeps its connection where there is room in the pool.
    fn on_complete(&mut self, id: u64, reuse: bool, turn: &mut Turn) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.used = true;
        connection.idle_since = turn.now;
        let run = connection.run.take();
        if !reuse || full(&self.connections) {
            self.connections.remove(&id);
        }
        turn.inputs.extend(run.map(Run::into_ended));
    }

    /// Queues the request: from its first byte on the run may have begun.
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
        run.sent_before = Some(connection.link.sent + connection.link.queued() as u64);
        let timeout_s = (run.deadline - turn.now).max(0.0) + OVERTIME_S;
        turn.wheel.set(turn.now, timeout_s, Timer::Run(run.timer_number));
        match ajp_codec::write_forward(&forward) {
            Some(head) => connection.link.push(head),
            None => UpstreamEvent::AjpBackendRequestTooLarge.emit(),
        }
        if !run.body.is_empty() {
            // A body is 2 KiB at most and goes in one packet, unasked, behind the head.
            connection.link.push(ajp_codec::write_body(&run.body).unwrap_or_default());
        }
        self.touched.push(id);
    }

    /// Gives a connection up. What it carried goes elsewhere only if no byte of it has gone out.
    fn on_broken(&mut self, id: u64, error: &ConnectionError, turn: &mut Turn) {
        let Some(connection) = self.connections.remove(&id) else { return };
        let Some(run) = connection.run else { return };
        UpstreamEvent::AjpBackendFailed(error).emit();
        if run.sent_before.is_none_or(|sent_before| connection.link.sent <= sent_before) {
            return self.place(turn.now, run, turn.wheel);
        }
        turn.inputs.push(Input::RunEnded { name: run.name, outcome: Outcome::Interrupted, result: None });
    }

    /// Closes connections that have been idle for long.
    pub fn sweep(&mut self, now: f64) {
        self.connections
            .retain(|_, connection| connection.run.is_some() || now - connection.idle_since < IDLE_TIMEOUT_S);
    }
}
