//! The operators' console: HTTP/1.1 with one request per connection, answered before any other work of a turn.
//!
//! The console has its own descriptor budget, so that clients can't exhaust it. When the budget is used up, each new
//! connection closes the oldest one that has not sent a complete request, so that peers that hold connections open
//! can't exhaust it either.

use crate::config::max_console_calls;
use crate::dispatch::metrics::Metrics;
use crate::net::frontends::connections::{ConnectionState, Connections, NextStep};
use crate::net::frontends::request_fields::Catalog;
use crate::net::io::buffer::ReadStatus;
use crate::net::io::poll::Poll;
use crate::net::io::source::FrontendKind;
use crate::net::ListenError;
use std::fmt::Write;
use std::net::SocketAddr;

/// Maximum length of a request's head (bytes).
const MAX_HEAD_BYTES: usize = 4 * 1024;
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 32;

/// An operator's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConsoleRequest {
    /// `GET /-/ready`: reports whether this process can serve requests.
    Ready,
    /// `GET /-/metrics`: returns the metrics.
    Metrics,
    /// `POST /-/drain`: begins a drain, which directs clients to other workers.
    Drain,
    /// `POST /-/resume`: ends the drain.
    Resume,
}

/// The response to a [`ConsoleRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConsoleResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The value of the `Allow` header if the request's method is not allowed, otherwise empty.
    pub allow: &'static str,
    /// The body.
    pub body: String,
}

impl ConsoleResponse {
    /// Creates a response with a status and a body.
    pub fn new(status: u16, body: impl Into<String>) -> ConsoleResponse {
        ConsoleResponse { status, allow: "", body: body.into() }
    }
}

/// The console's listening socket and connections.
pub struct Console {
    /// The listening socket and the connections that it accepted.
    pub connections: Connections<()>,
}

impl Console {
    /// Listens on `address`. The console's own descriptor budget is derived from `sockets`, the process's limit on
    /// sockets.
    ///
    /// # Errors
    /// The address can't be listened on.
    pub fn bind(poll: &Poll, address: SocketAddr, sockets: usize) -> Result<Console, ListenError> {
        let console_poll = poll.with_own_budget(max_console_calls(sockets));
        let mut connections = Connections::new(&console_poll, FrontendKind::Console, MAX_HEAD_BYTES);
        connections.open(None, address)?;
        connections.prefer_newest();
        Ok(Console { connections })
    }

    /// Accepts connections, reads from them and adds complete requests to `requests`. Malformed requests are answered
    /// here. Returns `true` if accepting was paused.
    pub fn gather(&mut self, now: f64, requests: &mut Vec<(u64, ConsoleRequest)>) -> bool {
        let paused = self.connections.accept(now);
        for id in self.connections.take_scheduled() {
            self.process_connection(id, now, requests);
        }
        paused
    }

    fn process_connection(&mut self, id: u64, now: f64, requests: &mut Vec<(u64, ConsoleRequest)>) {
        let Some(c) = self.connections.get_mut(id) else { return };
        match c.advance(now) {
            NextStep::Read => {}
            NextStep::Wait => return,
            NextStep::Yield | NextStep::Delay => return self.connections.schedule(id),
            NextStep::Close => return self.connections.close(id),
        }
        let read_status = c.link.fill();
        if c.state == ConnectionState::Idle && !c.link.data().is_empty() {
            c.set_state(now, ConnectionState::Reading);
        }
        match parse(c.link.data()) {
            // The peer has closed its side, so the request will never be complete.
            Ok(None) if read_status != ReadStatus::Open => self.connections.close(id),
            Ok(None) => {}
            Ok(Some(request)) => {
                c.set_state(now, ConnectionState::AwaitingResponse);
                requests.push((id, request));
            }
            Err(response) => self.respond(id, now, &response),
        }
    }

    /// Sends the response to a request and closes the connection after it.
    pub fn respond(&mut self, id: u64, now: f64, response: &ConsoleResponse) {
        let Some(c) = self.connections.get_mut(id) else { return };
        // Bytes after the head are discarded: a connection carries one request, and a console request has no body.
        c.link.consume(c.link.data().len());
        c.close_after_response = true;
        c.link.push(encode(response));
        c.set_state(now, ConnectionState::Responding);
        if c.advance(now) == NextStep::Close {
            self.connections.close(id);
        }
    }
}

/// Parses a request without consuming it. Returns `None` while its head is incomplete. No request has a body.
fn parse(data: &[u8]) -> Result<Option<ConsoleRequest>, ConsoleResponse> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    match head.parse(data) {
        Ok(httparse::Status::Complete(_)) => {}
        Ok(httparse::Status::Partial) if data.len() < MAX_HEAD_BYTES => return Ok(None),
        _ => return Err(ConsoleResponse::new(400, "the call can't be read\n")),
    }
    let path = head.path.unwrap_or("");
    let (path, _) = path.split_once('?').unwrap_or((path, ""));
    let (request, method) = match path {
        "/-/ready" => (ConsoleRequest::Ready, "GET"),
        "/-/metrics" => (ConsoleRequest::Metrics, "GET"),
        "/-/drain" => (ConsoleRequest::Drain, "POST"),
        "/-/resume" => (ConsoleRequest::Resume, "POST"),
        _ => return Err(ConsoleResponse::new(404, "no such call\n")),
    };
    if head.method != Some(method) {
        let body = format!("this is asked for with {method}\n");
        return Err(ConsoleResponse { status: 405, allow: method, body });
    }
    Ok(Some(request))
}

fn encode(response: &ConsoleResponse) -> Vec<u8> {
    let reason = match response.status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        _ => "Service Unavailable",
    };
    let mut text = String::with_capacity(160 + response.body.len());
    let _ = write!(text, "HTTP/1.1 {} {reason}\r\n", response.status);
    if !response.allow.is_empty() {
        let _ = write!(text, "Allow: {}\r\n", response.allow);
    }
    let length = response.body.len();
    let _ = write!(
        text,
        "Content-Type: text/plain; charset=utf-8\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{}",
        response.body
    );
    text.into_bytes()
}

/// Formats the metrics, one per line. All classes are present from the start, including those with zero counts.
#[must_use]
pub fn metrics_text(catalog: &Catalog, metrics: &Metrics, pending_responses: usize) -> String {
    let mut text = String::new();
    for (class, counts) in metrics.classes().iter().enumerate() {
        let name = catalog.class_name(class);
        for (counter, count) in [
            ("success", counts.success),
            ("overload", counts.overload),
            ("error", counts.error),
            ("dispatches", counts.dispatches),
        ] {
            let _ = writeln!(text, "svc.replies.{name}.{counter}={count}");
        }
    }
    let _ = writeln!(text, "svc.concurrent={pending_responses}");
    text
}

#[cfg(test)]
mod tests;
