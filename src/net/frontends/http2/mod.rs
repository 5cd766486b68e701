//! The HTTP/2 front: cleartext by prior knowledge (RFC 9113), off unless an operator's file has `[http2]`.
//!
//! `pipe` and `session` hold one connection without a socket; this file joins them to the loop. What the codec does not
//! bound is bounded here: bytes and streams taken from one connection in a turn, bodies, answers that wait for windows,
//! through `lobby` the
//! sessions of those that have not asked, through `conduct` what asks for nothing, and through `backlog` answers that
//! wait in all.

mod abuse_detection;
mod response_backlog;
mod session;
mod session_admission;
#[cfg(test)]
mod tests;
mod transport;

use crate::config::Http2Settings;
use crate::dispatch::{Input, Response, Ticket};
use crate::net::frontends::connections::{ConnectionState, Connections, NextStep};
use crate::net::io::buffer::Filled;
use crate::net::io::poll::{Place, Poll};
use crate::net::Log;
use crate::net::{Clock, ListenError, State};
use abuse_detection::{AbuseDetector, Allowance, PressureMonitor, Verdict};
use response_backlog::Waiting;
use session::Session;
use session_admission::SessionAdmission;
use std::collections::HashMap;
use std::net::TcpListener;
use std::rc::Rc;

/// What a client says first.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
/// Unread bytes that a connection keeps.
const ROOM: usize = 8 * 1024;
/// New streams and bytes taken from one connection in one look; looks of a turn are bounded by its rounds.
const STREAMS_A_LOOK: usize = 16;
const BYTES_A_LOOK: usize = 8 * 1024;
/// Of a connection's first request, what comes beside its fields: preface, settings, frame heads, a body.
const FIRST_BYTES: f64 = 4096.0;
/// How long a client may take nothing of what waits for it (seconds).
const SLOW_ANSWER_S: f64 = 10.0;
/// How much longer than its settings say an idle connection lasts at most (seconds).
const IDLE_MARGIN_S: f64 = 5.0;
/// Output that waits for a client's socket before the codec is stopped (bytes).
const QUEUE_MOST: usize = 64 * 1024;

fn allowance(settings: &Http2Settings) -> Allowance {
    let kb = |n: u32| f64::from(n) * 1024.0;
    let first_bytes = kb(settings.header_list_kb) + FIRST_BYTES;
    let most_bytes = kb(settings.overhead_kb).max(first_bytes);
    Allowance { most_bytes, bytes_per_s: kb(settings.overhead_kb_per_s), first_bytes }
}

/// A connection's session and account, once its preface is here, and when bytes last went out while some waited.
#[derive(Default)]
pub struct Memory {
    session: Option<Box<(Session, AbuseDetector)>>,
    sent: u64,
    sent_at: f64,
}

pub struct Http2Front {
    pub connections: Connections<Memory>,
    settings: Http2Settings,
    poll: Poll,
    /// By ticket: the connection on which its answer is owed.
    owners: HashMap<u64, u64>,
    wariness: PressureMonitor,
    lobby: SessionAdmission,
}

impl Http2Front {
    /// A front that lets nobody in yet.
    pub fn shut(poll: &Poll, settings: Http2Settings) -> Http2Front {
        let mut connections = Connections::shut(poll, Place::Http2, ROOM);
        connections.at_most(settings.connections);
        let (lobby, wariness) = (SessionAdmission::new(settings.newcomers), PressureMonitor::default());
        Http2Front { connections, settings, poll: poll.clone(), owners: HashMap::new(), wariness, lobby }
    }

    /// Lets clients in, at a socket that listens already or at the address of its settings.
    pub fn open(&mut self, socket: Option<Rc<TcpListener>>) -> Result<(), ListenError> {
        let address = self.settings.listen;
        let opened = match socket {
            Some(socket) => self.connections.open(&socket, Place::Http2Listener),
            None => self.connections.listen(address, Place::Http2Listener),
        };
        opened.map_err(|source| ListenError { address, source })
    }

    pub fn owns(&self, ticket: Ticket) -> bool {
        self.owners.contains_key(&ticket.0)
    }

    /// Accepts and reads; `true` if accepting had to be broken off, or newcomers wait, and another look is wanted.
    pub fn gather(&mut self, clock: &Clock, state: &State, inputs: &mut Vec<Input>, log: &mut Log) -> bool {
        let now = clock.now();
        let paused = self.connections.accept(now);
        if self.lobby.waits() {
            self.lobby.keep(|id| self.connections.owns(id));
            while let Some(moved) = self.lobby.move_up(now) {
                if let Some(id) = moved.out {
                    self.finish(id, now, inputs);
                }
                self.connections.touch(moved.seated);
            }
        }
        for id in self.connections.take_touched() {
            self.look(id, clock, state, inputs, log);
        }
        paused || self.lobby.waits()
    }

    fn look(&mut self, id: u64, clock: &Clock, state: &State, inputs: &mut Vec<Input>, log: &mut Log) {
        let now = clock.now();
        let Some(c) = self.connections.get_mut(id) else { return };
        if c.state == ConnectionState::Closing || c.state == ConnectionState::Answering {
            // Swept: whatever its codec still has to say is said before the end.
            if c.memory.session.is_some() {
                return self.finish(id, now, inputs);
            }
            match c.advance(now) {
                NextStep::Close => self.close(id, inputs),
                NextStep::Later => self.connections.touch(id),
                _ => {}
            }
            return;
        }
        if c.link.flush().is_err() {
            return self.close(id, inputs);
        }
        let filled = c.link.fill();
        if filled == Filled::Broken {
            return self.close(id, inputs);
        }
        if c.memory.session.is_none() {
            let data = c.link.data();
            let n = data.len().min(PREFACE.len());
            if data[..n] != PREFACE[..n] {
                // Most likely HTTP/1.1: it gets a word that it can read.
                let words = "this port speaks HTTP/2 by prior knowledge\n";
                let answer = format!(
                    "HTTP/1.1 505 HTTP Version Not Supported\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{words}",
                    words.len()
                );
                c.link.push(answer.into_bytes());
                c.close = true;
                c.set_state(now, ConnectionState::Answering);
                return self.connections.touch(id);
            }
            if n < PREFACE.len() {
                if filled == Filled::Ended {
                    self.close(id, inputs);
                } else if n > 0 && c.state == ConnectionState::Idle {
                    c.set_state(now, ConnectionState::Reading);
                } else if n == 0 {
                    c.link.shrink();
                }
                return;
            }
            if !self.lobby.enter(now, id) {
                c.link.tighten();
                return;
            }
            let conduct = AbuseDetector::new(now, allowance(&self.settings), self.wariness.wary(now));
            c.memory.session = Some(Box::new((Session::new(&self.settings), conduct)));
        }
        let poll = self.poll.clone();
        let Some(both) = &mut c.memory.session else { return };
        let (session, conduct) = (&mut both.0, &mut both.1);
        let room = c.link.data().len().min(session.pipe().room()).min(BYTES_A_LOOK);
        let (n, waits) = match conduct.judge(now, room) {
            Verdict::Take(n) => (n, false),
            Verdict::Wait { first } => {
                if first {
                    self.wariness.ran_short(now);
                    log.often("http2: a client sends much that asks for nothing: it is read slowly");
                }
                (0, true)
            }
            Verdict::End => {
                log.often("http2: a client goes on sending what asks for nothing: it is told to go");
                session.calm();
                (0, true)
            }
        };
        session.pipe().feed(&c.link.data()[..n]);
        c.link.consume(n);
        if filled == Filled::Ended && c.link.data().is_empty() {
            session.pipe().end();
        }
        let before = session.taken();
        let seen = session.look(clock, state, STREAMS_A_LOOK, &|| poll.fresh());
        conduct.brought(seen.brought);
        conduct.taken_back(seen.taken_back);
        if c.link.queued() < QUEUE_MOST {
            let output = session.pipe().drain();
            if !output.is_empty() {
                c.link.push(output);
            }
        }
        let (busy, took) = (session.busy(), session.taken() > before);
        // More may be there than one look takes; and what could not be fed waits in the link.
        // A client that has run short waits for the sweep.
        let more = n == BYTES_A_LOOK || session.pipe().unread() > 0 && n > 0 || c.link.unread();
        let again = more && !waits;
        let flushed = c.link.flush();
        if c.link.sent != c.memory.sent || c.link.queued() == 0 {
            (c.memory.sent, c.memory.sent_at) = (c.link.sent, now);
        }
        if took {
            self.lobby.leave(id);
        }
        if took && c.state != ConnectionState::Asked {
            // By way of reading: a connection that has asked is no silent one when some must go.
            c.set_state(now, ConnectionState::Reading);
            c.set_state(now, ConnectionState::Asked);
        }
        if !busy && c.link.queued() == 0 && c.state == ConnectionState::Asked {
            c.set_state(now, ConnectionState::Idle);
        }
        for ticket in seen.gone {
            self.owners.remove(&ticket.0);
            inputs.push(Input::ClientDisconnected(ticket));
        }
        for request in seen.requests {
            self.owners.insert(request.ticket.0, id);
            inputs.push(Input::Arrived(request));
        }
        if flushed.is_err() {
            return self.close(id, inputs);
        }
        if seen.broke {
            self.wariness.ran_short(now);
        }
        if seen.over {
            return self.finish(id, now, inputs);
        }
        if again {
            self.connections.touch(id);
        }
    }

    /// The codec is done with a connection: what is queued is written, then it is closed; who is owed an answer on it
    /// has gone.
    fn finish(&mut self, id: u64, now: f64, inputs: &mut Vec<Input>) {
        self.forget(id, inputs);
        self.lobby.leave(id);
        let Some(c) = self.connections.get_mut(id) else { return };
        if let Some((session, _)) = c.memory.session.take().map(|both| *both) {
            let output = session.pipe().drain();
            if !output.is_empty() {
                c.link.push(output);
            }
        }
        c.finish(now);
        self.connections.touch(id);
    }

    fn forget(&mut self, id: u64, inputs: &mut Vec<Input>) {
        let Some(c) = self.connections.get_mut(id) else { return };
        for ticket in c.memory.session.iter().flat_map(|s| s.0.asked()) {
            self.owners.remove(&ticket.0);
            inputs.push(Input::ClientDisconnected(ticket));
        }
    }

    fn close(&mut self, id: u64, inputs: &mut Vec<Input>) {
        self.forget(id, inputs);
        self.lobby.leave(id);
        self.connections.close(id);
    }

    /// Hands an answer of the core to its stream.
    pub fn answer(&mut self, now: f64, ticket: Ticket, answer: Response, state: &State) {
        let Some(id) = self.owners.remove(&ticket.0) else { return };
        let Some(c) = self.connections.get_mut(id) else { return };
        if let Some((session, _)) = c.memory.session.as_deref_mut() {
            session.answer(now, ticket, answer, state);
        }
        self.connections.touch(id);
    }

    /// Closes clients that take nothing of what waits for them, and has all others looked at: streams that are too
    /// slow end by time alone. `send_away` says that operators drain this worker: a health check moves no client that
    /// keeps its connection, so those that rest are told to go, as gently as for idleness.
    pub fn sweep(&mut self, now: f64, send_away: bool, inputs: &mut Vec<Input>, log: &mut Log) {
        let stuck = |m: &Memory, queued: usize| queued > 0 && now - m.sent_at > SLOW_ANSWER_S;
        for id in self
            .connections
            .ids_where(|c| c.state == ConnectionState::Asked && stuck(&c.memory, c.link.queued()))
        {
            self.close(id, inputs);
        }
        let mut waiting = Vec::new();
        for id in self.connections.ids_where(|c| c.memory.session.is_some()) {
            let Some(c) = self.connections.get_mut(id) else { continue };
            let bytes = c.memory.session.as_ref().map_or(0, |s| s.0.waiting()) + c.link.queued();
            waiting.push(Waiting { id, bytes });
        }
        for id in response_backlog::too_much(waiting, self.settings.waiting_kb as usize * 1024) {
            log.often("http2: too much waits for clients: who has most of it is told to go");
            if let Some((session, _)) =
                self.connections.get_mut(id).and_then(|c| c.memory.session.as_deref_mut())
            {
                session.calm();
            }
            self.finish(id, now, inputs);
        }
        let settings = &self.settings;
        let mut over = Vec::new();
        for id in self.connections.ids_where(|c| c.state == ConnectionState::Idle) {
            let Some(c) = self.connections.get_mut(id) else { continue };
            let since = c.since();
            if c.memory.session.as_mut().is_some_and(|s| s.0.rest(now, since, settings, send_away)) {
                over.push(id);
            }
        }
        over.into_iter().for_each(|id| self.finish(id, now, inputs));
        self.connections.touch_all();
    }

    /// How long the common sweep leaves an idle connection: longer than its session does, which says goodbye first.
    pub fn idle_s(&self) -> f64 {
        self.settings.idle_s + IDLE_MARGIN_S
    }
}
