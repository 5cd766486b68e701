//! Downstream calls to the records service: HTTP/1.1, one at a time on a connection, idle connections used again. A
//! call is abandoned by closing its connection.

mod reply;

pub use reply::ReplyError;

use crate::dispatch::Input;
use crate::interface::Outcome;
use crate::log::LogEvent;
use crate::net::events::UpstreamEvent;
use crate::net::io::buffer::{Link, ReadStatus};
use crate::net::io::idle_pool::{full, take_idle, Pooled};
use crate::net::io::poll::Poll;
use crate::net::io::source::{Readiness, Source};
use crate::net::io::timer_wheel::{Timer, Wheel};
use reply::{parse, MAX_REPLY_BYTES};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// The service closes a connection idle for 10 s; one that may be about to close is not used (seconds).
const MAX_IDLE_S: f64 = 5.0;
/// A connection is used again only after this long without another byte: what comes late behind a reply would be
/// taken for the reply to the next call (seconds).
const QUIET_S: f64 = 0.004;
/// A refused connection is reported after this pause: the controller tries again at once, and without the pause the
/// two would spin while the service is down (seconds).
const REFUSED_PAUSE_S: f64 = 0.04;

/// A call in flight.
struct Call {
    /// The number of its timer.
    number: u64,
    name: Rc<str>,
}

/// A connection to the service.
struct Connection {
    link: Link,
    address: SocketAddr,
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

/// The connections to the records service, and the calls in flight.
pub struct Records {
    address: SocketAddr,
    poll: Poll,
    connections: HashMap<u64, Connection>,
    /// By the name of the run: the connection of its call.
    by_name: HashMap<Rc<str>, u64>,
    /// Calls that were never sent, by the numbers of the timers at which that is reported.
    refused: HashMap<u64, Rc<str>>,
    /// Connections that something happened to.
    touched: Vec<u64>,
}

impl Records {
    /// A service without connections.
    #[must_use]
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

    /// Notes the readiness that the loop reports.
    pub fn mark(&mut self, id: u64, readiness: Readiness) {
        if let Some(c) = self.connections.get_mut(&id) {
            c.link.mark(readiness);
            self.touched.push(id);
        }
    }

    /// Sends new calls to another address; calls in flight end where they are.
    pub fn set_address(&mut self, address: SocketAddr) {
        self.address = address;
        self.connections.retain(|_, c| c.address == address || c.call.is_some());
    }

    /// Whether a call waits to be written: the loop reports nothing of one on an idle connection.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        !self.touched.is_empty()
    }

    /// Makes a call for a run, to be abandoned after `timeout_s` seconds. A second call for a run abandons the first. A call
    /// that is not retryable goes on a new connection: the peer may close an idle one as the call is written, and then it is
    /// indeterminate whether the call ran.
    pub fn call(
        &mut self,
        now: f64,
        name: Rc<str>,
        body: Rc<[u8]>,
        timeout_s: f64,
        is_retryable: bool,
        wheel: &mut Wheel,
    ) {
        self.abandon(&name);
        let number = self.poll.next_id();
        let idle =
            if is_retryable { take_idle(&mut self.connections, now, QUIET_S, MAX_IDLE_S) } else { None };
        let Some(id) = idle.or_else(|| self.open(now)) else {
            // No descriptor is left, or the system refused at once: the call was never sent.
            return self.refuse(now, name, wheel);
        };
        let Some(c) = self.connections.get_mut(&id) else { return };
        let head = format!(
            "POST /records/op HTTP/1.1\r\nHost: {}\r\nOp-Of: {name}\r\nOp-Wait-Ms: {}\r\nContent-Length: {}\r\n\r\n",
            self.address,
            (timeout_s * 1000.0).ceil(),
            body.len()
        );
        c.link.push(head.into_bytes());
        c.link.push_shared(body);
        c.call = Some(Call { number, name: name.clone() });
        self.by_name.insert(name, id);
        self.touched.push(id);
        wheel.set(now, timeout_s, Timer::Call(number));
    }

    fn refuse(&mut self, now: f64, name: Rc<str>, wheel: &mut Wheel) {
        let number = self.poll.next_id();
        self.refused.insert(number, name);
        wheel.set(now, REFUSED_PAUSE_S, Timer::Call(number));
    }

    fn open(&mut self, now: f64) -> Option<u64> {
        let id = self.poll.next_id();
        let link = Link::connect(&self.poll, self.address, Source::Records(id), MAX_REPLY_BYTES).ok()?;
        let connection =
            Connection { link, address: self.address, connected: false, call: None, idle_since: now };
        self.connections.insert(id, connection);
        Some(id)
    }

    /// Abandons the call of a run, if there is one.
    pub fn abandon(&mut self, name: &str) {
        if let Some(id) = self.by_name.remove(name) {
            self.connections.remove(&id);
        }
        self.refused.retain(|_, refused| &**refused != name);
    }

    /// A timer of a call is due: the call is abandoned, or reported as never sent.
    pub fn on_timer(&mut self, number: u64, inputs: &mut Vec<Input>) {
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

    /// Reads and writes on all connections that something happened to.
    pub fn gather(&mut self, now: f64, inputs: &mut Vec<Input>, wheel: &mut Wheel) {
        let mut touched = std::mem::take(&mut self.touched);
        touched.sort_unstable();
        touched.dedup();
        for id in touched {
            self.process_connection(now, id, inputs, wheel);
        }
    }

    fn process_connection(&mut self, now: f64, id: u64, inputs: &mut Vec<Input>, wheel: &mut Wheel) {
        if !self.establish(now, id, wheel) {
            return;
        }
        let Some(c) = self.connections.get_mut(&id) else { return };
        let flushed = c.link.flush();
        let filled = c.link.fill();
        if c.call.is_none() {
            // An idle connection that sends something or ends can't be used again.
            if filled != ReadStatus::Open || !c.link.data().is_empty() {
                self.connections.remove(&id);
            }
            return;
        }
        let reply = parse(c.link.data());
        let (outcome, body, keep) = match reply {
            Ok(Some(reply)) => {
                let body = c.link.data().get(reply.body).unwrap_or(&[]);
                let body = (reply.outcome == Outcome::Ok).then(|| Rc::from(body));
                c.link.consume(reply.length);
                // Bytes beyond the reply spoil the connection, not the reply.
                (reply.outcome, body, reply.keep && filled == ReadStatus::Open && c.link.data().is_empty())
            }
            // Neither a reply that can't be read nor a break proves that the call did not run.
            Err(error) => {
                UpstreamEvent::RecordsReplyMalformed(error).emit();
                (Outcome::Interrupted, None, false)
            }
            Ok(None) if filled != ReadStatus::Open || flushed.is_err() => (Outcome::Interrupted, None, false),
            Ok(None) => return,
        };
        c.idle_since = now;
        let call = c.call.take();
        let keep = keep && c.address == self.address;
        if !keep || full(&self.connections) {
            self.connections.remove(&id);
        }
        if let Some(call) = call {
            self.by_name.remove(&call.name);
            inputs.push(Input::CallEnded { name: call.name, outcome, reply: body });
        }
    }

    /// Whether a connection is established; a call on one that can't be was never sent.
    fn establish(&mut self, now: f64, id: u64, wheel: &mut Wheel) -> bool {
        let Some(c) = self.connections.get_mut(&id) else { return false };
        if c.connected {
            return true;
        }
        match c.link.connected() {
            None => false,
            Some(Ok(())) => {
                c.connected = true;
                true
            }
            Some(Err(_)) => {
                if let Some(call) = self.connections.remove(&id).and_then(|c| c.call) {
                    self.by_name.remove(&call.name);
                    self.refuse(now, call.name, wheel);
                }
                false
            }
        }
    }

    /// Closes connections that have been idle for long.
    pub fn sweep(&mut self, now: f64) {
        self.connections.retain(|_, c| c.call.is_some() || now - c.idle_since < MAX_IDLE_S);
    }
}

#[cfg(test)]
mod tests;
