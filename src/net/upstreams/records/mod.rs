//! Client for downstream calls to the records service: HTTP/1.1, one call at a time per connection, idle connections
//! reused. Closing the connection cancels a call.

mod reply;

pub use reply::ReplyError;

use crate::dispatch::Input;
use crate::interface::Outcome;
use crate::log::LogEvent;
use crate::net::events::UpstreamEvent;
use crate::net::io::buffer::{Link, ReadStatus};
use crate::net::io::idle_pool::{exceeds_max_idle, take_idle, Pooled};
use crate::net::io::poll::Poll;
use crate::net::io::source::{Readiness, Source};
use crate::net::io::timer_wheel::{Timer, Wheel};
use reply::{parse, MAX_REPLY_BYTES};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// Connections that have been idle for this long are closed instead of reused (seconds). The service closes its side
/// after 10 s idle, and a call must not race with that.
const IDLE_TIMEOUT_S: f64 = 5.0;
/// How long a connection must be idle before reuse (seconds). Stray bytes that arrive late after a reply would
/// otherwise be parsed as the reply to the next call.
const MIN_IDLE_S: f64 = 0.004;
/// Delay before a failed connection attempt is reported (seconds). The controller retries immediately, so without the
/// delay the worker would busy-loop while the service is down.
const UNREACHABLE_DELAY_S: f64 = 0.04;

/// A call in flight.
struct Call {
    /// Identifies its timer.
    timer_number: u64,
    name: Rc<str>,
}

/// One TCP connection to the service.
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

/// Connection pool for the records service, with the calls in flight.
pub struct Records {
    address: SocketAddr,
    poll: Poll,
    connections: HashMap<u64, Connection>,
    /// Connection id of each call in flight, by run name.
    connection_by_run: HashMap<Rc<str>, u64>,
    /// Run names of calls that could not be sent, by the number of the timer at whose expiry the failure is reported.
    unreachable: HashMap<u64, Rc<str>>,
    /// Ids of connections to process in the next [`Records::gather`].
    pending_ids: Vec<u64>,
}

impl Records {
    /// Creates a client without connections.
    #[must_use]
    pub fn new(poll: &Poll, address: SocketAddr) -> Records {
        Records {
            address,
            poll: poll.clone(),
            connections: HashMap::new(),
            connection_by_run: HashMap::new(),
            unreachable: HashMap::new(),
            pending_ids: Vec::new(),
        }
    }

    /// Records the readiness that the event loop reported for a connection.
    pub fn mark_ready(&mut self, id: u64, readiness: Readiness) {
        if let Some(c) = self.connections.get_mut(&id) {
            c.link.mark_ready(readiness);
            self.pending_ids.push(id);
        }
    }

    /// Sets the address for new calls; calls in flight finish at the old address.
    pub fn set_address(&mut self, address: SocketAddr) {
        self.address = address;
        self.connections.retain(|_, c| c.address == address || c.call.is_some());
    }

    /// Whether a connection must be processed without a readiness event: a call queued on an idle connection, which is
    /// already writable, triggers none.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        !self.pending_ids.is_empty()
    }

    /// Starts a call for a run, with a timeout of `timeout_s` seconds. A second call for the same run cancels the
    /// first. A call that is not retryable always gets a new connection: the peer may close an idle one while the call
    /// is written, and then it is unknown whether the call ran.
    pub fn call(
        &mut self,
        now: f64,
        name: Rc<str>,
        body: Rc<[u8]>,
        timeout_s: f64,
        is_retryable: bool,
        wheel: &mut Wheel,
    ) {
        self.cancel(&name);
        let timer_number = self.poll.next_id();
        let idle = if is_retryable {
            take_idle(&mut self.connections, now, MIN_IDLE_S, IDLE_TIMEOUT_S)
        } else {
            None
        };
        let Some(id) = idle.or_else(|| self.open(now)) else {
            // The descriptor budget is exhausted, or connecting failed immediately: the call was never sent.
            return self.report_unreachable(now, name, wheel);
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
        c.call = Some(Call { timer_number, name: name.clone() });
        self.connection_by_run.insert(name, id);
        self.pending_ids.push(id);
        wheel.set(now, timeout_s, Timer::Call(timer_number));
    }

    fn report_unreachable(&mut self, now: f64, name: Rc<str>, wheel: &mut Wheel) {
        let timer_number = self.poll.next_id();
        self.unreachable.insert(timer_number, name);
        wheel.set(now, UNREACHABLE_DELAY_S, Timer::Call(timer_number));
    }

    fn open(&mut self, now: f64) -> Option<u64> {
        let id = self.poll.next_id();
        let link = Link::connect(&self.poll, self.address, Source::Records(id), MAX_REPLY_BYTES).ok()?;
        let connection =
            Connection { link, address: self.address, connected: false, call: None, idle_since: now };
        self.connections.insert(id, connection);
        Some(id)
    }

    /// Cancels a run's call, if it has one.
    pub fn cancel(&mut self, name: &str) {
        if let Some(id) = self.connection_by_run.remove(name) {
            self.connections.remove(&id);
        }
        self.unreachable.retain(|_, unreachable| &**unreachable != name);
    }

    /// Handles an expired call timer: the call times out, or is reported as never sent.
    pub fn on_timer(&mut self, timer_number: u64, inputs: &mut Vec<Input>) {
        if let Some(name) = self.unreachable.remove(&timer_number) {
            inputs.push(Input::CallEnded { name, outcome: Outcome::Unreachable, reply: None });
            return;
        }
        let has_timer =
            |c: &Connection| c.call.as_ref().is_some_and(|call| call.timer_number == timer_number);
        let Some(id) = self.connections.iter().find(|(_, c)| has_timer(c)).map(|(id, _)| *id) else { return };
        if let Some(call) = self.connections.remove(&id).and_then(|c| c.call) {
            self.connection_by_run.remove(&call.name);
            inputs.push(Input::CallEnded { name: call.name, outcome: Outcome::TimedOut, reply: None });
        }
    }

    /// Reads and writes on all connections marked for processing, and appends the ended calls to `inputs`.
    pub fn gather(&mut self, now: f64, inputs: &mut Vec<Input>, wheel: &mut Wheel) {
        let mut pending_ids = std::mem::take(&mut self.pending_ids);
        pending_ids.sort_unstable();
        pending_ids.dedup();
        for id in pending_ids {
            self.process_connection(now, id, inputs, wheel);
        }
    }

    fn process_connection(&mut self, now: f64, id: u64, inputs: &mut Vec<Input>, wheel: &mut Wheel) {
        if !self.check_established(now, id, wheel) {
            return;
        }
        let Some(c) = self.connections.get_mut(&id) else { return };
        let flush_result = c.link.flush();
        let read_status = c.link.fill();
        if c.call.is_none() {
            // An idle connection that received data or was closed by the peer can't be reused.
            if read_status != ReadStatus::Open || !c.link.data().is_empty() {
                self.connections.remove(&id);
            }
            return;
        }
        let reply = parse(c.link.data());
        let (outcome, body, keep_open) = match reply {
            Ok(Some(reply)) => {
                let body = c.link.data().get(reply.body).unwrap_or(&[]);
                let body = (reply.outcome == Outcome::Ok).then(|| Rc::from(body));
                c.link.consume(reply.length);
                // Data after the reply makes the connection unusable, but the reply is valid.
                (
                    reply.outcome,
                    body,
                    reply.keep_open && read_status == ReadStatus::Open && c.link.data().is_empty(),
                )
            }
            // After a malformed reply or a lost connection the call may still have run.
            Err(error) => {
                UpstreamEvent::RecordsReplyMalformed(error).emit();
                (Outcome::Interrupted, None, false)
            }
            Ok(None) if read_status != ReadStatus::Open || flush_result.is_err() => {
                (Outcome::Interrupted, None, false)
            }
            Ok(None) => return,
        };
        c.idle_since = now;
        let call = c.call.take();
        let keep_open = keep_open && c.address == self.address;
        if !keep_open || exceeds_max_idle(&self.connections) {
            self.connections.remove(&id);
        }
        if let Some(call) = call {
            self.connection_by_run.remove(&call.name);
            inputs.push(Input::CallEnded { name: call.name, outcome, reply: body });
        }
    }

    /// Returns whether a connection is established. If connecting failed, its call is reported as never sent.
    fn check_established(&mut self, now: f64, id: u64, wheel: &mut Wheel) -> bool {
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
                    self.connection_by_run.remove(&call.name);
                    self.report_unreachable(now, call.name, wheel);
                }
                false
            }
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn sweep(&mut self, now: f64) {
        self.connections.retain(|_, c| c.call.is_some() || now - c.idle_since < IDLE_TIMEOUT_S);
    }
}

#[cfg(test)]
mod tests;
