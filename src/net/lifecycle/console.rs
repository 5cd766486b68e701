//! The operators' address: HTTP/1.1, one call on a connection, answered before anything else of a turn.
//!
//! Its descriptors are its own, so that no crowd of clients can take them, and its oldest connection without a whole
//! call is closed for the next one, so that callers who hold theirs can't either.

use crate::config::console_calls;
use crate::dispatch::metrics::Metrics;
use crate::net::frontends::connections::{ConnectionState, Connections, NextStep};
use crate::net::frontends::request_fields::Catalog;
use crate::net::io::buffer::Filled;
use crate::net::io::poll::{Place, Poll};
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;

/// The longest head of a call (bytes) and the most headers in one.
const HEAD_MOST: usize = 4 * 1024;
const HEADERS_MOST: usize = 32;

/// What operators can ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    Ready,
    Metrics,
    Drain,
    Resume,
}

/// What a call is told: a status, what it allows where that was wrong, and a text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    pub code: u16,
    pub allow: &'static str,
    pub text: String,
}

impl Reply {
    pub fn new(code: u16, text: impl Into<String>) -> Reply {
        Reply { code, allow: "", text: text.into() }
    }
}

/// The listener and its calls.
pub struct Console {
    pub connections: Connections<()>,
}

impl Console {
    /// Listens with a descriptor budget of its own, sized by the limit on the process.
    pub fn bind(poll: &Poll, address: SocketAddr, sockets: usize) -> io::Result<Console> {
        let own = poll.apart(console_calls(sockets));
        let mut connections =
            Connections::bind(&own, address, Place::ConsoleListener, Place::Console, HEAD_MOST)?;
        connections.prefer_newest();
        Ok(Console { connections })
    }

    /// Takes the calls that are whole; `true` if accepting was broken off and wants another look. What can't be
    /// understood is answered here.
    pub fn gather(&mut self, now: f64, calls: &mut Vec<(u64, Call)>) -> bool {
        let paused = self.connections.accept(now);
        for id in self.connections.take_touched() {
            self.look(id, now, calls);
        }
        paused
    }

    fn look(&mut self, id: u64, now: f64, calls: &mut Vec<(u64, Call)>) {
        let Some(c) = self.connections.get_mut(id) else { return };
        match c.advance(now) {
            NextStep::Read => {}
            NextStep::Wait => return,
            NextStep::Later => return self.connections.touch(id),
            NextStep::Close => return self.connections.close(id),
        }
        let filled = c.link.fill();
        if c.state == ConnectionState::Idle && !c.link.data().is_empty() {
            c.set_state(now, ConnectionState::Reading);
        }
        match parse(c.link.data()) {
            // A call that will never be whole is none.
            Ok(None) if filled != Filled::Open => self.connections.close(id),
            Ok(None) => {}
            Ok(Some(call)) => {
                c.set_state(now, ConnectionState::Asked);
                calls.push((id, call));
            }
            Err(reply) => self.answer(id, now, &reply),
        }
    }

    /// Answers a call and says that nothing follows.
    pub fn answer(&mut self, id: u64, now: f64, reply: &Reply) {
        let Some(c) = self.connections.get_mut(id) else { return };
        // What came beyond the head was not asked for.
        c.link.consume(c.link.data().len());
        c.close = true;
        c.link.push(words(reply));
        c.set_state(now, ConnectionState::Answering);
        if c.advance(now) == NextStep::Close {
            self.connections.close(id);
        }
    }
}

/// Reads a call where it lies; `None` while its head is not whole. A body is not waited for: no call has one.
fn parse(data: &[u8]) -> Result<Option<Call>, Reply> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
    let mut head = httparse::Request::new(&mut headers);
    match head.parse(data) {
        Ok(httparse::Status::Complete(_)) => {}
        Ok(httparse::Status::Partial) if data.len() < HEAD_MOST => return Ok(None),
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

fn words(reply: &Reply) -> Vec<u8> {
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

/// The figures, a line each: all classes from the start on, zeros included.
pub fn figures(known: &Catalog, figures: &Metrics, concurrent: usize) -> String {
    let mut text = String::new();
    for (class, counts) in figures.classes().iter().enumerate() {
        let name = known.class_name(class);
        for (what, n) in [
            ("success", counts.success),
            ("overload", counts.overload),
            ("error", counts.error),
            ("dispatches", counts.dispatches),
        ] {
            let _ = writeln!(text, "svc.replies.{name}.{what}={n}");
        }
    }
    let _ = writeln!(text, "svc.concurrent={concurrent}");
    text
}

#[cfg(test)]
mod tests;
