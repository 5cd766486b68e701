//! The platform's frontend: HTTP/1.1, one request at a time on a connection, and health checks.

#![warn(missing_docs)]

mod parsing;
mod responses;

use crate::dispatch::{Input, Response, Ticket};
use crate::net::frontends::connections::{
    Connection, ConnectionState, Connections, NextStep, MAX_STEPS_PER_TURN,
};
use crate::net::frontends::request_fields::MAX_BODY_BYTES;
use crate::net::frontends::status_mapping::map_response;
use crate::net::io::buffer::Filled;
use crate::net::io::poll::{Place, Poll};
use crate::net::{Clock, FrontendContext};
use parsing::{parse, Parsed};
use std::fmt::Write;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

/// The longest head (bytes).
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// The most headers in a head.
const MAX_HEADERS: usize = 64;

/// The most that a connection keeps unread: one complete request (bytes).
const MAX_UNREAD_BYTES: usize = MAX_HEAD_BYTES + MAX_BODY_BYTES;

/// The listener and its connections; each remembers whether it has sent `100 Continue`.
pub struct HttpFront {
    /// The connections.
    pub connections: Connections<bool>,
}

/// What becomes of a connection after a parsed request.
enum Progress {
    /// Its next request may lie in the buffer.
    Continue,
    /// It waits for bytes or for the dispatcher.
    Wait,
    /// It is closed: its peer has ended within a request.
    Close,
}

impl HttpFront {
    /// Listens at an address.
    ///
    /// # Errors
    ///
    /// Where the system doesn't let it listen there.
    pub fn bind(poll: &Poll, address: SocketAddr) -> io::Result<HttpFront> {
        let connections =
            Connections::bind(poll, address, Place::HttpListener, Place::Http, MAX_UNREAD_BYTES)?;
        Ok(HttpFront { connections })
    }

    /// A frontend that accepts nothing yet.
    pub fn shut(poll: &Poll) -> HttpFront {
        HttpFront { connections: Connections::shut(poll, Place::Http, MAX_UNREAD_BYTES) }
    }

    /// Accepts at a socket that listens already.
    ///
    /// # Errors
    ///
    /// Where the socket can't be polled.
    pub fn open(&mut self, socket: &Rc<TcpListener>) -> io::Result<()> {
        self.connections.open(socket, Place::HttpListener)
    }

    /// Accepts and reads; `true` if accepting had to stop early and wants to be called again.
    pub fn gather(&mut self, clock: &Clock, context: &FrontendContext, inputs: &mut Vec<Input>) -> bool {
        let accept_again = self.connections.accept(clock.now());
        for id in self.connections.take_touched() {
            self.process_connection(id, clock, context, inputs);
        }
        accept_again
    }

    fn process_connection(
        &mut self,
        id: u64,
        clock: &Clock,
        context: &FrontendContext,
        inputs: &mut Vec<Input>,
    ) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let now = clock.now();
        for _ in 0..MAX_STEPS_PER_TURN {
            match connection.advance(now) {
                // Its next request is for the successor.
                NextStep::Read if context.availability.handing_off => return,
                NextStep::Read => {}
                NextStep::Wait => return,
                NextStep::Later => break,
                NextStep::Close => return self.connections.gone(id, inputs),
            }
            let filled = connection.link.fill();
            if connection.link.data().is_empty() {
                if filled != Filled::Open {
                    self.connections.close(id);
                }
                return;
            }
            if connection.state == ConnectionState::Idle {
                connection.set_state(now, ConnectionState::Reading);
            }
            let parsed = parse(connection.link.data(), Ticket(id), &context.catalog, clock);
            match on_parsed(connection, parsed, filled, now, context, inputs) {
                Progress::Continue => {}
                Progress::Wait => return,
                Progress::Close => return self.connections.close(id),
            }
        }
        self.connections.touch(id);
    }

    /// Writes a response of the dispatcher.
    pub fn answer(&mut self, now: f64, ticket: Ticket, response: Response, context: &FrontendContext) {
        let Some(connection) = self.connections.get_mut(ticket.0) else { return };
        if connection.state != ConnectionState::Asked {
            return;
        }
        connection.close |= context.availability.shutting_down;
        connection.set_state(now, ConnectionState::Answering);
        let mapped = map_response(response);
        let mut extra = String::new();
        if let Some(ms) = mapped.pushback_ms {
            let _ = write!(extra, "X-Pushback-Ms: {ms}\r\n");
        }
        if mapped.stop_trying {
            extra.push_str("X-Stop-Trying: 1\r\n");
        }
        let body_length = mapped.body.as_ref().map_or(0, |body| body.len());
        let head = responses::head(mapped.code, body_length, &extra, context, connection.close);
        connection.link.push(head);
        if let Some(body) = mapped.body {
            connection.link.push_shared(body);
        }
        self.connections.touch(ticket.0);
    }
}

/// Acts on what the buffer of a connection begins with.
fn on_parsed(
    connection: &mut Connection<bool>,
    parsed: Parsed,
    filled: Filled,
    now: f64,
    context: &FrontendContext,
    inputs: &mut Vec<Input>,
) -> Progress {
    match parsed {
        // A request that will never be complete is none; the peer may have closed within the body.
        Parsed::Partial { .. } if filled != Filled::Open => Progress::Close,
        Parsed::Partial { wants_continue } => {
            let continue_sent = connection.memory;
            if !wants_continue || continue_sent {
                return Progress::Wait;
            }
            connection.memory = true;
            connection.link.push(b"HTTP/1.1 100 Continue\r\n\r\n".to_vec());
            Progress::Continue
        }
        Parsed::Check { length, keep_alive } => {
            connection.link.consume(length);
            connection.close = !keep_alive || context.availability.shutting_down;
            connection.link.push(responses::check_response(context, connection.close));
            connection.set_state(now, ConnectionState::Answering);
            Progress::Continue
        }
        Parsed::Complete { request, length, keep_alive } => {
            connection.link.consume(length);
            connection.close = !keep_alive;
            connection.memory = false;
            connection.set_state(now, ConnectionState::Asked);
            inputs.push(Input::Arrived(*request));
            Progress::Wait
        }
        Parsed::Invalid(error) => {
            connection.close = true;
            connection.link.push(responses::error_response(&error, context));
            connection.set_state(now, ConnectionState::Answering);
            Progress::Continue
        }
    }
}
