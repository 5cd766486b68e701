//! Calls to the records service: HTTP/1.1, one at a time on a connection, kept connections used again. A call is
//! given up by closing its connection.

use crate::dispatch::Input;
use crate::interface::Outcome;
use crate::net::io::buffer::{Filled, Link};
use crate::net::io::idle_pool::{full, take_idle, Pooled};
use crate::net::io::poll::{Place, Poll};
use crate::net::io::timer_wheel::{Timer, Wheel};
use crate::net::Log;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// A reply's head, and both with its body, at most (bytes).
const HEAD_MOST: usize = 8 * 1024;
const REPLY_MOST: usize = 64 * 1024;
const HEADERS_MOST: usize = 64;
/// The service closes a connection idle for 10 s; one that may be about to close is not used (seconds).
const IDLE_KEEP_S: f64 = 5.0;
/// A connection is used again only after so long without another byte: what comes late behind a reply would be
/// taken for the reply to the next call (seconds).
const QUIET_S: f64 = 0.004;
/// A refused connection comes back at once and is tried again at once; this keeps the two from spinning while
/// the service is down (seconds).
const REFUSED_S: f64 = 0.04;

struct Call {
    number: u64,
    name: Rc<str>,
}

struct Connection {
    link: Link,
    to: SocketAddr,
    connected: bool,
    call: Option<Call>,
    idle_since: f64,
}

impl Pooled for Connection {
    fn link(&mut self) -> &mut Link {
        &mut self.link
    }

    fn idle_since(&self) -> Option<f64> {
        (self.call.is_none() && self.connected).then_some(self.idle_since)
    }
}

/// The pool of connections, and the calls in hand.
pub struct Records {
    address: SocketAddr,
    poll: Poll,
    connections: HashMap<u64, Connection>,
    by_name: HashMap<Rc<str>, u64>,
    /// Calls that never left, by their numbers: told after a pause.
    refused: HashMap<u64, Rc<str>>,
    touched: Vec<u64>,
}

impl Records {
    pub fn new(poll: &Poll, address: SocketAddr) -> Records {
        Records {
            address,
            poll: poll.clone(),
            connections: HashMap::new(),
            by_name: HashMap::new(),
            refused: HashMap::new(),
            touched: Vec::new(),
        }
    }

    pub fn mark(&mut self, id: u64, readable: bool, writable: bool) {
        if let Some(c) = self.connections.get_mut(&id) {
            c.link.mark(readable, writable);
            self.touched.push(id);
        }
    }

    /// New calls go to another address from here on; calls in hand end where they are.
    pub fn move_to(&mut self, address: SocketAddr) {
        self.address = address;
        self.connections.retain(|_, c| c.to == address || c.call.is_some());
    }

    /// Whether a call waits to be written. Guards against a call on a kept connection, of which the loop tells
    /// nothing, lying there until the next wake-up.
    pub fn pending(&self) -> bool {
        !self.touched.is_empty()
    }

    /// Places a call for a run, to be given up after `for_s`. A second call for a run gives up the first. One that
    /// can't be made `again` goes on a new connection: a kept one may be reset by the call, which proves nothing.
    pub fn call(
        &mut self,
        now: f64,
        name: Rc<str>,
        body: Rc<[u8]>,
        for_s: f64,
        again: bool,
        wheel: &mut Wheel,
    ) {
        self.give_up(&name);
        let number = self.poll.fresh();
        let kept = if again { take_idle(&mut self.connections, now, QUIET_S, IDLE_KEEP_S) } else { None };
        let Some(id) = kept.or_else(|| self.open(now)) else {
            // No descriptor is left, or the system refused at once: the call never left.
            return self.refuse(now, name, wheel);
        };
        let Some(c) = self.connections.get_mut(&id) else { return };
        let head = format!(
            "POST /records/op HTTP/1.1\r\nHost: {}\r\nOp-Of: {name}\r\nOp-Wait-Ms: {}\r\nContent-Length: {}\r\n\r\n",
            self.address,
            (for_s * 1000.0).ceil(),
            body.len()
        );
        c.link.push(head.into_bytes());
        c.link.push_shared(body);
        c.call = Some(Call { number, name: name.clone() });
        self.by_name.insert(name, id);
        self.touched.push(id);
        wheel.set(now, for_s, Timer::Call(number));
    }

    fn refuse(&mut self, now: f64, name: Rc<str>, wheel: &mut Wheel) {
        let number = self.poll.fresh();
        self.refused.insert(number, name);
        wheel.set(now, REFUSED_S, Timer::Call(number));
    }

    fn open(&mut self, now: f64) -> Option<u64> {
        let id = self.poll.fresh();
        let link = Link::connect(&self.poll, self.address, Place::Records(id), REPLY_MOST).ok()?;
        let (to, connected, call, idle_since) = (self.address, false, None, now);
        self.connections.insert(id, Connection { link, to, connected, call, idle_since });
        Some(id)
    }

    /// Gives up the call of a run, if there is one.
    pub fn give_up(&mut self, name: &str) {
        if let Some(id) = self.by_name.remove(name) {
            self.connections.remove(&id);
        }
        self.refused.retain(|_, refused| &**refused != name);
    }

    /// A timer of a call has come: the call is given up, or it is told that it never left.
    pub fn due(&mut self, number: u64, inputs: &mut Vec<Input>) {
        if let Some(name) = self.refused.remove(&number) {
            inputs.push(Input::CallEnded { name, outcome: Outcome::Unreachable, reply: None });
            return;
        }
        let of = |c: &Connection| c.call.as_ref().is_some_and(|call| call.number == number);
        let Some(id) = self.connections.iter().find(|(_, c)| of(c)).map(|(id, _)| *id) else { return };
        if let Some(call) = self.connections.remove(&id).and_then(|c| c.call) {
            self.by_name.remove(&call.name);
            inputs.push(Input::CallEnded { name: call.name, outcome: Outcome::TimedOut, reply: None });
        }
    }

    /// Takes what has come, for all connections that something happened to.
    pub fn gather(&mut self, now: f64, inputs: &mut Vec<Input>, wheel: &mut Wheel, log: &mut Log) {
        let mut touched = std::mem::take(&mut self.touched);
        touched.sort_unstable();
        touched.dedup();
        for id in touched {
            self.look(now, id, inputs, wheel, log);
        }
    }

    fn look(&mut self, now: f64, id: u64, inputs: &mut Vec<Input>, wheel: &mut Wheel, log: &mut Log) {
        let Some(c) = self.connections.get_mut(&id) else { return };
        if !c.connected {
            match c.link.connected() {
                None => return,
                // Nothing has been sent: refused or not, the call never ran.
                Some(Err(_)) => {
                    let call = self.connections.remove(&id).and_then(|c| c.call);
                    if let Some(call) = call {
                        self.by_name.remove(&call.name);
                        self.refuse(now, call.name, wheel);
                    }
                    return;
                }
                Some(Ok(())) => c.connected = true,
            }
        }
        let flushed = c.link.flush();
        let filled = c.link.fill();
        let reply = parse(c.link.data());
        if c.call.is_none() {
            // An idle connection that says something or ends is of no more use.
            if filled != Filled::Open || !c.link.data().is_empty() {
                self.connections.remove(&id);
            }
            return;
        }
        let (outcome, body, keep) = match reply {
            Ok(Some(reply)) => {
                let body = c.link.data().get(reply.body).unwrap_or(&[]);
                let body = (reply.outcome == Outcome::Ok).then(|| Rc::from(body));
                c.link.consume(reply.length);
                // Bytes beyond the reply spoil the connection, not the reply.
                (reply.outcome, body, reply.keep && filled == Filled::Open && c.link.data().is_empty())
            }
            // What can't be read proves nothing, and neither does a break.
            Err(why) => {
                log.often(why);
                (Outcome::Interrupted, None, false)
            }
            Ok(None) if filled != Filled::Open || flushed.is_err() => (Outcome::Interrupted, None, false),
            Ok(None) => return,
        };
        c.idle_since = now;
        let call = c.call.take();
        let keep = keep && c.to == self.address;
        if !keep || full(&self.connections) {
            self.connections.remove(&id);
        }
        if let Some(call) = call {
            self.by_name.remove(&call.name);
            inputs.push(Input::CallEnded { name: call.name, outcome, reply: body });
        }
    }

    /// Closes connections that have been idle for long.
    pub fn sweep(&mut self, now: f64) {
        self.connections.retain(|_, c| c.call.is_some() || now - c.idle_since < IDLE_KEEP_S);
    }
}

struct Reply {
    outcome: Outcome,
    body: std::ops::Range<usize>,
    length: usize,
    keep: bool,
}

/// Reads a reply where it lies, behind interim ones if there are any; `None` while it is not whole.
fn parse(data: &[u8]) -> Result<Option<Reply>, &'static str> {
    let mut start = 0;
    loop {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
        let mut head = httparse::Response::new(&mut headers);
        let rest = data.get(start..).unwrap_or(&[]);
        match head.parse(rest) {
            Ok(httparse::Status::Complete(n)) if start + n <= HEAD_MOST => start += n,
            Ok(httparse::Status::Partial) if data.len() < HEAD_MOST => return Ok(None),
            _ => return Err("records service: the head of a reply can't be read"),
        }
        // An interim answer has no body, and the reply follows it. A change of protocol was not asked for.
        match head.code {
            Some(101) => return Err("records service: a reply changes the protocol"),
            Some(100..=199) => {}
            _ => return whole(&head, start, data),
        }
    }
}

fn whole(head: &httparse::Response, start: usize, data: &[u8]) -> Result<Option<Reply>, &'static str> {
    let (mut length, mut never_ran, mut keep) = (None, false, head.version == Some(1));
    for h in head.headers.iter() {
        let value = std::str::from_utf8(h.value).unwrap_or("").trim();
        if h.name.eq_ignore_ascii_case("Content-Length") {
            let digits = value.bytes().all(|b| b.is_ascii_digit());
            // Two lengths, or one with a sign, could be read two ways.
            length = value.parse::<usize>().ok().filter(|_| digits && length.is_none());
            if length.is_none() {
                return Err("records service: a reply has no fit Content-Length");
            }
        } else if h.name.eq_ignore_ascii_case("Transfer-Encoding") {
            return Err("records service: a reply comes in an encoding that was not asked for");
        } else if h.name.eq_ignore_ascii_case("Op-Not-Begun") {
            never_ran = value == "1";
        } else if h.name.eq_ignore_ascii_case("Connection") {
            keep &= !value.eq_ignore_ascii_case("close");
        }
    }
    let fit = |n: &usize| *n <= REPLY_MOST - HEAD_MOST;
    let length = length.filter(fit).ok_or("records service: a reply has no fit Content-Length")?;
    if data.len() < start + length {
        return Ok(None);
    }
    let outcome = match (head.code.unwrap_or(0), never_ran) {
        (200, _) => Outcome::Ok,
        (503, true) => Outcome::Rejected,
        (409, true) => Outcome::NotStarted,
        (504, _) => Outcome::TimedOut,
        _ => Outcome::Error,
    };
    Ok(Some(Reply { outcome, body: start..start + length, length: start + length, keep }))
}

#[cfg(test)]
mod tests;
