//! The operators' console: HTTP/1.1, one call on a connection, answered before anything else of a turn.
//!
//! It has a descriptor budget of its own, so that clients can't exhaust it. Where it is used up, the oldest connection
//! without a complete call is closed for the next one, so that callers who hold connections open can't exhaust it
//! either.

use crate::config::max_console_calls;
use crate::dispatch::metrics::Metrics;
use crate::net::frontends::connections::{ConnectionState, Connections, NextStep};
use crate::net::frontends::request_fields::Catalog;
use crate::net::io::buffer::Filled;
use crate::net::io::poll::Poll;
use crate::net::io::source::FrontendKind;
use crate::net::ListenError;
use std::fmt::Write;
use std::net::SocketAddr;

/// The longest head of a call (bytes).
const MAX_HEAD_BYTES: usize = 4 * 1024;
/// Headers of a call at most.
const MAX_HEADERS: usize = 32;

/// A call of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `GET /-/ready`: whether this process can serve.
    Ready,
    /// `GET /-/metrics`.
    Metrics,
    /// `POST /-/drain`: send clients away.
    Drain,
    /// `POST /-/resume`: the end of the drain.
    Resume,
}

/// The reply to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The status.
    pub code: u16,
    /// The methods that the path allows, where the method was wrong; else empty.
    pub allow: &'static str,
    /// The body.
    pub text: String,
}

impl Reply {
    /// A reply with a status and a body.
    pub fn new(code: u16, text: impl Into<String>) -> Reply {
        Reply { code, allow: "", text: text.into() }
    }
}

/// The console's listening socket and connections.
pub struct Console {
    /// Its connections.
    pub connections: Connections<()>,
}

impl Console {
    /// Listens with a descriptor budget of its own, sized by the limit on the process.
    ///
    /// # Errors
    /// The system can't listen there.
    pub fn bind(poll: &Poll, address: SocketAddr, sockets: usize) -> Result<Console, ListenError> {
        let own = poll.with_own_budget(max_console_calls(sockets));
        let mut connections = Connections::new(&own, FrontendKind::Console, MAX_HEAD_BYTES);
        connections.open(None, address)?;
        connections.prefer_newest();
        Ok(Console { connections })
    }

    /// Accepts and reads, and adds the calls that are complete. Malformed ones are answered here. Returns `true` if
    /// accepting was paused.
    pub fn gather(&mut self, now: f64, calls: &mut Vec<(u64, Call)>) -> bool {
        let paused = self.connections.accept(now);
        for id in self.connections.take_touched() {
            self.process_connection(id, now, calls);
        }
        paused
    }

    fn process_connection(&mut self, id: u64, now: f64, calls: &mut Vec<(u64, Call)>) {
        let Some(c) = self.connections.get_mut(id) else { return };
        match c.advance(now) {
            NextStep::Read => {}
            NextStep::Wait => return,
            NextStep::Yield => return self.connections.touch(id),
            NextStep::Close => return self.connections.close(id),
        }
        let filled = c.link.fill();
        if c.state == ConnectionState::Idle && !c.link.data().is_empty() {
            c.set_state(now, ConnectionState::Reading);
        }
        match parse(c.link.data()) {
            // The peer has ended: the call will never be complete.
            Ok(None) if filled != Filled::Open => self.connections.close(id),
            Ok(None) => {}
            Ok(Some(call)) => {
                c.set_state(now, ConnectionState::AwaitingResponse);
                calls.push((id, call));
            }
            Err(reply) => self.answer(id, now, &reply),
        }
    }

    /// Answers a call and closes the connection behind the reply.
    pub fn answer(&mut self, id: u64, now: f64, reply: &Reply) {
        let Some(c) = self.connections.get_mut(id) else { return };
        // Bytes beyond the head belong to no call.
        c.link.consume(c.link.data().len());
        c.close = true;
        c.link.push(encode(reply));
        c.set_state(now, ConnectionState::Responding);
        if c.advance(now) == NextStep::Close {
            self.connections.close(id);
        }
    }
}

/// Parses a call where it lies; `None` while its head is not complete. No call has a body.
fn parse(data: &[u8]) -> Result<Option<Call>, Reply> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    match head.parse(data) {
        Ok(httparse::Status::Complete(_)) => {}
        Ok(httparse::Status::Partial) if data.len() < MAX_HEAD_BYTES => return Ok(None),
        _ => return Err(Reply::new(400, "the call can't be read\n")),
    }
    let path = head.path.unwrap_or("");
    let (path, _) = path.split_once('?').unwrap_or((path, ""));
    let (call, method) = match path {
        "/-/ready" => (Call::Ready, "GET"),
        "/-/metrics" => (Call::Metrics, "GET"),
        "/-/drain" => (Call::Drain, "POST"),
        "/-/resume" => (Call::Resume, "POST"),
        _ => return Err(Reply::new(404, "no such call\n")),
    };
    if head.method != Some(method) {
        let text = format!("this is asked for with {method}\n");
        return Err(Reply { code: 405, allow: method, text });
    }
    Ok(Some(call))
}

fn encode(reply: &Reply) -> Vec<u8> {
    let reason = match reply.code {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        _ => "Service Unavailable",
    };
    let mut text = String::with_capacity(160 + reply.text.len());
    let _ = write!(text, "HTTP/1.1 {} {reason}\r\n", reply.code);
    if !reply.allow.is_empty() {
        let _ = write!(text, "Allow: {}\r\n", reply.allow);
    }
    let length = reply.text.len();
    let _ = write!(
        text,
        "Content-Type: text/plain; charset=utf-8\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{}",
        reply.text
    );
    text.into_bytes()
}

/// The metrics, a line each: all classes from the start on, zeros included.
#[must_use]
pub fn metrics_text(catalog: &Catalog, metrics: &Metrics, pending_responses: usize) -> String {
    let mut text = String::new();
    for (class, counts) in metrics.classes().iter().enumerate() {
        let name = catalog.class_name(class);
        for (what, n) in [
            ("success", counts.success),
            ("overload", counts.overload),
            ("error", counts.error),
            ("dispatches", counts.dispatches),
        ] {
            let _ = writeln!(text, "svc.replies.{name}.{what}={n}");
        }
    }
    let _ = writeln!(text, "svc.concurrent={pending_responses}");
    text
}

#[cfg(test)]
mod tests;
