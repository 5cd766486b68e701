//! AJP servers as the backend: a run is a Forward Request to one of them.
//!
//! A connection that has been used is asked with CPING first. As long as no byte of the request has gone out, the
//! run can go elsewhere or be given back as never run; from the first byte on any break means that it may have run,
//! and it is never repeated.

use crate::config::ServerSettings;
use crate::dispatch::Input;
use crate::interface::Outcome;
use crate::net::frontends::request_fields::Catalog;
use crate::net::io::buffer::{Filled, Link};
use crate::net::io::idle_pool::{full, take_idle, Pooled, MAX_IDLE};
use crate::net::io::poll::{Place, Poll};
use crate::net::io::timer_wheel::{Timer, Wheel};
use crate::net::upstreams::ajp_codec::{self, Forward, ToWebServer, Way, MAX_PACKET_BYTES};
use crate::net::Log;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// A server has this long to take a connection or to answer a CPING (seconds).
const PONG_S: f64 = 1.0;
/// A run may go on for so long after its due time: its result may still be asked for (seconds).
const OVERTIME_S: f64 = 10.0;
/// A server's answer may be this long (bytes).
const RESULT_MOST: usize = 64 * 1024;
const IDLE_KEEP_S: f64 = 30.0;

struct Run {
    /// Changes with each timer that is set for the run; an old timer finds nothing.
    number: u64,
    name: Rc<str>,
    class: usize,
    body: Rc<[u8]>,
    due: f64,
    /// Connections tried so far without a byte of the request having gone out.
    tries: usize,
    /// What the link had sent before the request; `None` before it is queued.
    mark: Option<u64>,
    status: u16,
    result: Vec<u8>,
}

struct Connection {
    link: Link,
    connected: bool,
    /// Carried a request before.
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

/// The servers, and the runs in their hands.
pub struct AjpBackend {
    settings: ServerSettings,
    poll: Poll,
    connections: HashMap<u64, Connection>,
    touched: Vec<u64>,
    next: usize,
    /// Runs that could not be begun, told with the next look.
    given_back: Vec<Rc<str>>,
}

impl AjpBackend {
    pub fn new(poll: &Poll, settings: ServerSettings) -> AjpBackend {
        let (connections, touched, given_back) = (HashMap::new(), Vec::new(), Vec::new());
        AjpBackend { settings, poll: poll.clone(), connections, touched, next: 0, given_back }
    }

    pub fn mark(&mut self, id: u64, readable: bool, writable: bool) {
        if let Some(c) = self.connections.get_mut(&id) {
            c.link.mark(readable, writable);
            self.touched.push(id);
        }
    }

    /// Whether something happened that the loop has not told of.
    pub fn pending(&self) -> bool {
        !self.touched.is_empty() || !self.given_back.is_empty()
    }

    /// Starts a run; `due` is when its answer is.
    pub fn run(
        &mut self,
        now: f64,
        name: Rc<str>,
        class: usize,
        body: Rc<[u8]>,
        due: f64,
        wheel: &mut Wheel,
    ) {
        let (number, tries, mark, status) = (0, 0, None, 0);
        self.place(
            now,
            Run { number, name, class, body, due, tries, mark, status, result: Vec::new() },
            wheel,
        );
    }

    /// Finds a connection for a run of which no byte has gone out, or gives it back.
    fn place(&mut self, now: f64, mut run: Run, wheel: &mut Wheel) {
        run.tries += 1;
        run.mark = None;
        // Idle connections may all be stale: beyond them each server is tried once.
        let idle = take_idle(&mut self.connections, now, 0.0, IDLE_KEEP_S);
        let id = match idle {
            Some(id) => id,
            None if run.tries <= self.settings.servers.len() + MAX_IDLE => match self.open(now) {
                Some(id) => id,
                None => return self.place_or_give_back(now, run, wheel),
            },
            None => return self.given_back.push(run.name),
        };
        let Some(c) = self.connections.get_mut(&id) else { return };
        if c.used {
            c.link.push(ajp_codec::write_cping());
        }
        run.number = self.poll.fresh();
        wheel.set(now, PONG_S, Timer::Run(run.number));
        c.run = Some(run);
        self.touched.push(id);
    }

    fn place_or_give_back(&mut self, now: f64, run: Run, wheel: &mut Wheel) {
        if run.tries < self.settings.servers.len() {
            self.place(now, run, wheel);
        } else {
            self.given_back.push(run.name);
        }
    }

    fn open(&mut self, now: f64) -> Option<u64> {
        let servers: &[SocketAddr] = &self.settings.servers;
        let to = *servers.get(self.next % servers.len().max(1))?;
        self.next = self.next.wrapping_add(1);
        let id = self.poll.fresh();
        let link = Link::connect(&self.poll, to, Place::AjpServer(id), 2 * MAX_PACKET_BYTES).ok()?;
        let (connected, used, run) = (false, false, None);
        self.connections.insert(id, Connection { link, connected, used, run, idle_since: now });
        Some(id)
    }

    /// A timer of a run has come.
    pub fn due(&mut self, now: f64, number: u64, inputs: &mut Vec<Input>, wheel: &mut Wheel, log: &mut Log) {
        let of = |c: &Connection| c.run.as_ref().is_some_and(|r| r.number == number);
        if let Some(id) = self.connections.iter().find(|(_, c)| of(c)).map(|(id, _)| *id) {
            self.broken(now, id, "no answer in time", inputs, wheel, log);
        }
    }

    /// Takes what has come, for all connections that something happened to.
    pub fn gather(
        &mut self,
        now: f64,
        known: &Catalog,
        inputs: &mut Vec<Input>,
        wheel: &mut Wheel,
        log: &mut Log,
    ) {
        let mut touched = std::mem::take(&mut self.touched);
        touched.sort_unstable();
        touched.dedup();
        for id in touched {
            self.look(now, id, known, inputs, wheel, log);
        }
        inputs.extend(self.given_back.drain(..).map(|name| Input::NeverRan { name }));
    }

    fn look(
        &mut self,
        now: f64,
        id: u64,
        known: &Catalog,
        inputs: &mut Vec<Input>,
        wheel: &mut Wheel,
        log: &mut Log,
    ) {
        loop {
            let Some(c) = self.connections.get_mut(&id) else { return };
            if !c.connected {
                match c.link.connected() {
                    None => return,
                    Some(Err(e)) => return self.broken(now, id, &e.to_string(), inputs, wheel, log),
                    Some(Ok(())) => c.connected = true,
                }
            }
            if !c.used && c.run.as_ref().is_some_and(|r| r.mark.is_none()) {
                self.send(now, id, known, wheel, log);
                continue;
            }
            if c.link.flush().is_err() {
                return self.broken(now, id, "broken", inputs, wheel, log);
            }
            let filled = c.link.fill();
            let range = match ajp_codec::packet(c.link.data(), Way::ToWebServer) {
                Ok(Some(range)) => range,
                Ok(None) if filled != Filled::Open => {
                    return self.broken(now, id, "closed", inputs, wheel, log)
                }
                Ok(None) => return,
                Err(bad) => {
                    return self.broken(now, id, &format!("a bad packet: {bad:?}"), inputs, wheel, log)
                }
            };
            let consumed = range.end;
            let message = c.link.data().get(range).map(ajp_codec::to_web_server);
            let Some(run) = &mut c.run else {
                return self.broken(now, id, "a message without a request", inputs, wheel, log);
            };
            let (sent, mut pong, mut get_body, mut end) = (run.mark.is_some(), false, false, None);
            match message {
                Some(Ok(ToWebServer::CPong)) if !sent => pong = true,
                Some(Ok(ToWebServer::Headers { status, .. })) if sent => run.status = status,
                Some(Ok(ToWebServer::Chunk(bytes)))
                    if sent && run.result.len() + bytes.len() <= RESULT_MOST =>
                {
                    run.result.extend_from_slice(bytes);
                }
                // All of the body has been sent unasked: there is no more.
                Some(Ok(ToWebServer::GetBody(_))) if sent => get_body = true,
                Some(Ok(ToWebServer::End { reuse })) if sent => end = Some(reuse),
                _ => return self.broken(now, id, "an unfit message", inputs, wheel, log),
            }
            c.link.consume(consumed);
            if pong {
                self.send(now, id, known, wheel, log);
            } else if get_body {
                c.link.push(ajp_codec::write_body(&[]).unwrap_or_default());
            } else if let Some(reuse) = end {
                (c.used, c.idle_since) = (true, now);
                let run = c.run.take();
                if !reuse || full(&self.connections) {
                    self.connections.remove(&id);
                }
                if let Some(run) = run {
                    inputs.push(ended(run));
                }
            }
        }
    }

    /// Queues the request: from its first byte on the run may have begun.
    fn send(&mut self, now: f64, id: u64, known: &Catalog, wheel: &mut Wheel, log: &mut Log) {
        let Some(c) = self.connections.get_mut(&id) else { return };
        let Some(run) = &mut c.run else { return };
        let (length, class) = (run.body.len().to_string(), known.class_name(run.class));
        let uri = self.settings.uri_of(class);
        let forward = Forward {
            method: "POST",
            uri: &uri,
            server_name: &self.settings.server_name,
            headers: vec![("content-length", length.as_bytes()), ("X-Correlation-Id", run.name.as_bytes())],
            remote_user: None,
            secret: self.settings.secret.as_deref().map(str::as_bytes),
        };
        run.number = self.poll.fresh();
        run.mark = Some(c.link.sent + c.link.queued() as u64);
        wheel.set(now, (run.due - now).max(0.0) + OVERTIME_S, Timer::Run(run.number));
        match ajp_codec::write_forward(&forward) {
            Some(head) => c.link.push(head),
            None => log.line("ajp server: the request does not fit into a packet"),
        }
        if !run.body.is_empty() {
            // A body is 2 KiB at most and goes in one packet, unasked, behind the head.
            c.link.push(ajp_codec::write_body(&run.body).unwrap_or_default());
        }
        self.touched.push(id);
    }

    /// A connection is lost, or no longer of use. What it carried goes elsewhere only if no byte has gone out.
    fn broken(
        &mut self,
        now: f64,
        id: u64,
        why: &str,
        inputs: &mut Vec<Input>,
        wheel: &mut Wheel,
        log: &mut Log,
    ) {
        let Some(c) = self.connections.remove(&id) else { return };
        let Some(run) = c.run else { return };
        log.line(&format!("ajp server: {why}"));
        if run.mark.map_or(true, |mark| c.link.sent <= mark) {
            return self.place(now, run, wheel);
        }
        inputs.push(Input::RunEnded { name: run.name, outcome: Outcome::Interrupted, result: None });
    }

    /// Closes connections that have been idle for long.
    pub fn sweep(&mut self, now: f64) {
        self.connections.retain(|_, c| c.run.is_some() || now - c.idle_since < IDLE_KEEP_S);
    }
}

/// A status of success carries the result; any other is a failed run.
fn ended(run: Run) -> Input {
    let served = (200..300).contains(&run.status);
    let outcome = if served { Outcome::Ok } else { Outcome::Error };
    Input::RunEnded { name: run.name, outcome, result: served.then(|| run.result.into()) }
}
