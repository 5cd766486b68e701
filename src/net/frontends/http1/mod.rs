//! The platform's HTTP/1.1 frontend, with health checks. Each connection handles one request at a time.

#![warn(missing_docs)]

mod parsing;
mod responses;

use crate::dispatch::{Input, Response, Ticket};
use crate::net::frontends::connections::{
    max_steps_per_connection, Connection, ConnectionSet, ConnectionState, Connections, NextStep,
};
use crate::net::frontends::frontend::{Frontend, FrontendTurn};
use crate::net::frontends::request_fields::MAX_BODY_BYTES;
use crate::net::frontends::status_mapping::map_response;
use crate::net::io::buffer::ReadStatus;
use crate::net::io::poll::Poll;
use crate::net::io::source::FrontendKind;
use crate::net::{FrontendContext, ListenError};
use parsing::{parse, Parsed};
use std::fmt::Write;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

/// Limit on the length of a request's head (bytes).
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Limit on the number of headers.
const MAX_HEADERS: usize = 64;

/// Limit on the unread input of a connection: one complete request (bytes).
const MAX_UNREAD_BYTES: usize = MAX_HEAD_BYTES + MAX_BODY_BYTES;

/// The listener and its connections. The protocol state of a connection is whether `100 Continue` has been sent.
pub struct Http1Frontend {
    /// The connections.
    pub connections: Connections<bool>,
    /// The configured address.
    address: SocketAddr,
}

/// What to do with a connection after a parsed request.
enum Progress {
    /// Continue: the next request may already be in the buffer.
    Continue,
    /// Wait for input or for the dispatcher.
    Wait,
    /// Close: the peer has closed within a request.
    Close,
}

impl Http1Frontend {
    /// A frontend that doesn't listen yet; `address` is the configured address.
    #[must_use]
    pub fn new(poll: &Poll, address: SocketAddr) -> Http1Frontend {
        let connections = Connections::new(poll, FrontendKind::Http1, MAX_UNREAD_BYTES);
        Http1Frontend { connections, address }
    }

    fn process_connection(&mut self, id: u64, max_steps: usize, turn: &mut FrontendTurn<'_>) {
        let FrontendTurn { clock, context, inputs, .. } = turn;
        let Some(connection) = self.connections.get_mut(id) else { return };
        let now = clock.now();
        for _ in 0..max_steps {
            match connection.advance(now) {
                // The next request is left to the successor.
                NextStep::Read if context.availability.handing_off => return,
                NextStep::Read => {}
                NextStep::Wait => return,
                NextStep::Yield => break,
                NextStep::Delay => return self.connections.delay(id),
                NextStep::Close => return self.connections.close_and_notify(id, inputs),
            }
            let read_status = connection.link.fill();
            if connection.link.data().is_empty() {
                if read_status != ReadStatus::Open {
                    self.connections.close(id);
                }
                return;
            }
            if connection.state == ConnectionState::Idle {
                connection.set_state(now, ConnectionState::Reading);
            }
            let parsed = parse(connection.link.data(), Ticket(id), &context.catalog, clock);
            match on_parsed(connection, parsed, read_status, now, context, inputs) {
                Progress::Continue => {}
                Progress::Wait => return,
                Progress::Close => return self.connections.close(id),
            }
        }
        self.connections.schedule(id);
    }
}

impl Frontend for Http1Frontend {
    fn kind(&self) -> FrontendKind {
        FrontendKind::Http1
    }

    fn connections(&self) -> &dyn ConnectionSet {
        &self.connections
    }

    fn connections_mut(&mut self) -> &mut dyn ConnectionSet {
        &mut self.connections
    }

    fn open(&mut self, socket: Option<Rc<TcpListener>>) -> Result<(), ListenError> {
        self.connections.open(socket, self.address)
    }

    fn gather(&mut self, turn: &mut FrontendTurn<'_>) -> bool {
        let accept_again = self.connections.accept(turn.clock.now());
        let scheduled = self.connections.take_scheduled();
        let max_steps = max_steps_per_connection(scheduled.len());
        for id in scheduled {
            self.process_connection(id, max_steps, turn);
        }
        accept_again || self.connections.has_delayed()
    }

    fn owns(&self, ticket: Ticket) -> bool {
        self.connections.owns(ticket.0)
    }

    fn respond(&mut self, now: f64, ticket: Ticket, response: Response, context: &FrontendContext) {
        let Some(connection) = self.connections.get_mut(ticket.0) else { return };
        if connection.state != ConnectionState::AwaitingResponse {
            return;
        }
        connection.close_after_response |= context.availability.shutting_down;
        connection.set_state(now, ConnectionState::Responding);
        let mapped = map_response(response);
        let mut extra = String::new();
        if let Some(ms) = mapped.pushback_ms {
            let _ = write!(extra, "X-Pushback-Ms: {ms}\r\n");
        }
        if mapped.stop_trying {
            extra.push_str("X-Stop-Trying: 1\r\n");
        }
        let body_length = mapped.body.as_ref().map_or(0, |body| body.len());
        let head =
            responses::head(mapped.code, body_length, &extra, context, connection.close_after_response);
        connection.link.push(head);
        if let Some(body) = mapped.body {
            connection.link.push_shared(body);
        }
        self.connections.schedule(ticket.0);
    }

    /// `None`: every process of this worker inherits the same socket from the platform.
    fn listener_to_hand_off(&self) -> Option<Rc<TcpListener>> {
        None
    }

    fn hands_off_connections(&self) -> bool {
        true
    }
}

/// Acts on the parsed start of a connection's buffer.
fn on_parsed(
    connection: &mut Connection<bool>,
    parsed: Parsed,
    read_status: ReadStatus,
    now: f64,
    context: &FrontendContext,
    inputs: &mut Vec<Input>,
) -> Progress {
    match parsed {
        // The peer has closed, possibly within the body: the request can't become complete and is ignored.
        Parsed::Partial { .. } if read_status != ReadStatus::Open => Progress::Close,
        Parsed::Partial { wants_continue } => {
            let continue_sent = connection.protocol_state;
            if !wants_continue || continue_sent {
                return Progress::Wait;
            }
            connection.protocol_state = true;
            connection.link.push(b"HTTP/1.1 100 Continue\r\n\r\n".to_vec());
            Progress::Continue
        }
        Parsed::HealthCheck { length, keep_alive } => {
            connection.link.consume(length);
            connection.close_after_response = !keep_alive || context.availability.shutting_down;
            connection.link.push(responses::health_check_response(context, connection.close_after_response));
            connection.set_state(now, ConnectionState::Responding);
            Progress::Continue
        }
        Parsed::Complete { request, length, keep_alive } => {
            connection.link.consume(length);
            connection.close_after_response = !keep_alive;
            connection.protocol_state = false;
            connection.set_state(now, ConnectionState::AwaitingResponse);
            inputs.push(Input::Arrived(*request));
            Progress::Wait
        }
        Parsed::Invalid(error) => {
            connection.close_after_response = true;
            connection.link.push(responses::error_response(&error, context));
            connection.set_state(now, ConnectionState::Responding);
            Progress::Continue
        }
    }
}
