//! The platform's front: HTTP/1.1, one request at a time on a connection, and health checks.

use crate::dispatch::{Input, Request, Response, Ticket};
use crate::net::frontends::connections::{ConnectionState, Connections, NextStep, MAX_STEPS_PER_TURN};
use crate::net::frontends::request_fields::{Catalog, FieldError, RequestFields, MAX_BODY_BYTES};
use crate::net::frontends::status_mapping::{map_response, target, HttpError, Target};
use crate::net::io::buffer::Filled;
use crate::net::io::poll::{Place, Poll};
use crate::net::{Clock, State};
use std::fmt::Write;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

/// The longest head (bytes) and the most headers in one.
const HEAD_MOST: usize = 8 * 1024;
const HEADERS_MOST: usize = 64;
/// One whole request is all that is ever kept unread in memory.
const INPUT_MOST: usize = HEAD_MOST + MAX_BODY_BYTES;

/// The listener and its connections; each remembers whether it has said `100 Continue`.
pub struct HttpFront {
    pub connections: Connections<bool>,
}

/// A request whose body is here too, or what is wrong with it.
enum Parsed {
    Partial { wants_continue: bool },
    Whole { request: Box<Request>, length: usize, keep: bool },
    Check { length: usize, keep: bool },
    Bad(HttpError),
}

fn fail(code: u16, why: &'static str) -> Parsed {
    Parsed::Bad(HttpError::new(code, why))
}

impl HttpFront {
    pub fn bind(poll: &Poll, address: SocketAddr) -> io::Result<HttpFront> {
        let connections = Connections::bind(poll, address, Place::HttpListener, Place::Http, INPUT_MOST)?;
        Ok(HttpFront { connections })
    }

    /// A front that lets nobody in yet.
    pub fn shut(poll: &Poll) -> HttpFront {
        HttpFront { connections: Connections::shut(poll, Place::Http, INPUT_MOST) }
    }

    /// Lets clients in at a socket that listens already.
    pub fn open(&mut self, socket: &Rc<TcpListener>) -> io::Result<()> {
        self.connections.open(socket, Place::HttpListener)
    }

    /// Accepts and reads; `true` if accepting had to be broken off and wants another look.
    pub fn gather(&mut self, clock: &Clock, state: &State, inputs: &mut Vec<Input>) -> bool {
        let paused = self.connections.accept(clock.now());
        for id in self.connections.take_touched() {
            self.look(id, clock, state, inputs);
        }
        paused
    }

    fn look(&mut self, id: u64, clock: &Clock, state: &State, inputs: &mut Vec<Input>) {
        let Some(c) = self.connections.get_mut(id) else { return };
        let now = clock.now();
        for _ in 0..MAX_STEPS_PER_TURN {
            match c.advance(now) {
                // Its next request is another process's.
                NextStep::Read if state.passing => return,
                NextStep::Read => {}
                NextStep::Wait => return,
                NextStep::Later => break,
                NextStep::Close => return self.connections.gone(id, inputs),
            }
            let filled = c.link.fill();
            if c.link.data().is_empty() {
                if filled != Filled::Open {
                    self.connections.close(id);
                }
                return;
            }
            if c.state == ConnectionState::Idle {
                c.set_state(now, ConnectionState::Reading);
            }
            match parse(c.link.data(), Ticket(id), &state.known, clock) {
                Parsed::Partial { wants_continue } => {
                    // A request that will never be whole is none; the peer may have closed mid-body.
                    if filled != Filled::Open {
                        self.connections.close(id);
                        return;
                    }
                    if !wants_continue || c.memory {
                        return;
                    }
                    c.memory = true;
                    c.link.push(b"HTTP/1.1 100 Continue\r\n\r\n".to_vec());
                }
                Parsed::Check { length, keep } => {
                    c.link.consume(length);
                    c.close = !keep || state.leaving;
                    let answer = if state.good() {
                        simple(200, "OK", "good\n", "", state, c.close)
                    } else {
                        simple(503, "Service Unavailable", "bad\n", "", state, c.close)
                    };
                    c.link.push(answer);
                    c.set_state(now, ConnectionState::Answering);
                }
                Parsed::Whole { request, length, keep } => {
                    c.link.consume(length);
                    (c.close, c.memory) = (!keep, false);
                    c.set_state(now, ConnectionState::Asked);
                    inputs.push(Input::Arrived(*request));
                    return;
                }
                Parsed::Bad(fail) => {
                    c.close = true;
                    let allow = if fail.allow.is_empty() {
                        String::new()
                    } else {
                        format!("Allow: {}\r\n", fail.allow)
                    };
                    let text = format!("{}\n", fail.why);
                    c.link.push(simple(fail.code, reason(fail.code), &text, &allow, state, true));
                    c.set_state(now, ConnectionState::Answering);
                }
            }
        }
        self.connections.touch(id);
    }

    /// Writes an answer of the core.
    pub fn answer(&mut self, now: f64, ticket: Ticket, answer: Response, state: &State) {
        let Some(c) = self.connections.get_mut(ticket.0).filter(|c| c.state == ConnectionState::Asked) else {
            return;
        };
        c.close |= state.leaving;
        c.set_state(now, ConnectionState::Answering);
        let meaning = map_response(answer);
        let mut extra = String::new();
        if let Some(ms) = meaning.pushback_ms {
            let _ = write!(extra, "X-Pushback-Ms: {ms}\r\n");
        }
        if meaning.stop_trying {
            extra.push_str("X-Stop-Trying: 1\r\n");
        }
        let length = meaning.body.as_ref().map_or(0, |b| b.len());
        c.link.push(head(meaning.code, reason(meaning.code), length, &extra, state, c.close));
        if let Some(body) = meaning.body {
            c.link.push_shared(body);
        }
        self.connections.touch(ticket.0);
    }
}

fn reason(code: u16) -> &'static str {
    match code {
        400 => "Bad Request",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        504 => "Gateway Timeout",
        200 => "OK",
        _ => "Service Unavailable",
    }
}

fn head(code: u16, reason: &str, length: usize, extra: &str, state: &State, close: bool) -> Vec<u8> {
    let mut text = String::with_capacity(160);
    let _ = write!(text, "HTTP/1.1 {code} {reason}\r\nContent-Length: {length}\r\n{extra}");
    if let Some(level) = state.level {
        let _ = write!(text, "X-Backend-Says: {level}\r\n");
    }
    text.push_str(if close { "Connection: close\r\n\r\n" } else { "\r\n" });
    text.into_bytes()
}

fn simple(code: u16, reason: &str, body: &str, extra: &str, state: &State, close: bool) -> Vec<u8> {
    let mut text = head(code, reason, body.len(), extra, state, close);
    text.extend_from_slice(body.as_bytes());
    text
}

/// Reads a request where it lies in the buffer.
fn parse(data: &[u8], ticket: Ticket, known: &Rc<Catalog>, clock: &Clock) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
    let mut head = httparse::Request::new(&mut headers);
    let start = match head.parse(data) {
        Ok(httparse::Status::Complete(n)) if n <= HEAD_MOST => n,
        Ok(httparse::Status::Partial) if data.len() <= HEAD_MOST => {
            return Parsed::Partial { wants_continue: false }
        }
        Ok(_) => return fail(431, "the head is too long"),
        Err(httparse::Error::TooManyHeaders) => return fail(431, "too many headers"),
        Err(_) => return fail(400, "the head can't be read"),
    };
    let (mut length, mut keep, mut wants_continue) = (None, head.version == Some(1), false);
    let mut fields = RequestFields::default();
    for h in head.headers.iter() {
        let value = std::str::from_utf8(h.value).unwrap_or("").trim();
        if h.name.eq_ignore_ascii_case("Content-Length") {
            let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
            // Two lengths, even equal ones, may be read differently by whoever stands in between.
            match value.parse::<usize>() {
                Ok(n) if digits && length.is_none() => length = Some(n),
                Err(_) if digits && length.is_none() => return fail(413, "the body is too long"),
                _ => return fail(400, "Content-Length is ambiguous"),
            }
        } else if h.name.eq_ignore_ascii_case("Transfer-Encoding") {
            return fail(400, "Transfer-Encoding is not taken");
        } else if h.name.eq_ignore_ascii_case("Connection") {
            for word in value.split(',').map(str::trim) {
                if word.eq_ignore_ascii_case("close") {
                    keep = false;
                } else if word.eq_ignore_ascii_case("keep-alive") && head.version == Some(0) {
                    keep = true;
                }
            }
        } else if h.name.eq_ignore_ascii_case("Expect") {
            wants_continue = value.eq_ignore_ascii_case("100-continue");
        } else if let Err(FieldError::Field(name)) = fields.note(h.name, h.value) {
            return fail(400, name);
        }
    }
    let length = length.unwrap_or(0);
    if length > MAX_BODY_BYTES {
        return fail(413, "the body is too long");
    }
    let target = match target(head.method.unwrap_or(""), head.path.unwrap_or(""), known) {
        Ok(target) => target,
        Err(fail) => return Parsed::Bad(fail),
    };
    let Some(body) = data.get(start..start + length) else { return Parsed::Partial { wants_continue } };
    let length = start + length;
    let Target::Run(class) = target else { return Parsed::Check { length, keep } };
    match fields.request(ticket, class, None, body, known, clock) {
        Ok(request) => Parsed::Whole { request: Box::new(request), length, keep },
        Err(FieldError::UnknownTenant) => fail(403, "unknown tenant"),
        Err(FieldError::Field(name)) => fail(400, name),
    }
}
