//! The HTTP/2 front: cleartext by prior knowledge (RFC 9113), off unless an operator's file has `[http2]`.
//!
//! `pipe` and `session` hold one connection without a socket; this file joins them to the loop. What the codec does not
//! bound is bounded here: bytes and streams taken from one connection in a turn, bodies, answers that wait for windows,
//! connections that say nothing.

mod pipe;
mod session;
#[cfg(test)]
mod tests;

use super::buffer::Filled;
use super::connections::{Connections, Next, Stage};
use super::poll::{Place, Poll};
use super::{Clock, State};
use crate::config::Http2Settings;
use crate::core::{Answer, Input, Ticket};
use session::Session;
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
/// How long a client may take nothing of what waits for it (seconds).
const SLOW_ANSWER_S: f64 = 10.0;
/// How much longer than its settings say an idle connection lasts at most (seconds).
const IDLE_MARGIN_S: f64 = 5.0;
/// Output that waits for a client's socket before the codec is stopped (bytes).
const QUEUE_MOST: usize = 64 * 1024;

/// A connection's session, once its preface is here, and when bytes last went out while some waited.
#[derive(Default)]
pub struct Memory {
    session: Option<Box<Session>>,
    sent: u64,
    sent_at: f64,
}

pub struct Http2Front {
    pub connections: Connections<Memory>,
    settings: Http2Settings,
    poll: Poll,
    /// By ticket: the connection on which its answer is owed.
    owners: HashMap<u64, u64>,
}

impl Http2Front {
    /// A front that lets nobody in yet.
    pub fn shut(poll: &Poll, settings: Http2Settings) -> Http2Front {
        let connections = Connections::shut(poll, Place::Http2, ROOM);
        Http2Front { connections, settings, poll: poll.clone(), owners: HashMap::new() }
    }

    /// Lets clients in, at a socket that listens already or at the address of its settings.
    pub fn open(&mut self, socket: Option<Rc<TcpListener>>) -> Result<(), String> {
        let listen = self.settings.listen;
        let opened = match socket {
            Some(socket) => self.connections.open(&socket, Place::Http2Listener),
            None => self.connections.listen(listen, Place::Http2Listener),
        };
        opened.map_err(|e| format!("{listen}: {e}"))
    }

    pub fn owns(&self, ticket: Ticket) -> bool {
        self.owners.contains_key(&ticket.0)
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
        let now = clock.now();
        let Some(c) = self.connections.get_mut(id) else { return };
        if c.stage == Stage::Closing || c.stage == Stage::Answering {
            match c.settle(now) {
                Next::Close => self.close(id, inputs),
                Next::Later => self.connections.touch(id),
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
                c.step(now, Stage::Answering);
                return self.connections.touch(id);
            }
            if n < PREFACE.len() {
                if filled == Filled::Ended {
                    self.close(id, inputs);
                } else if n > 0 && c.stage == Stage::Idle {
                    c.step(now, Stage::Reading);
                }
                return;
            }
            c.memory.session = Some(Box::new(Session::new(&self.settings)));
        }
        let poll = self.poll.clone();
        let Some(session) = &mut c.memory.session else { return };
        let n = c.link.data().len().min(session.pipe().room()).min(BYTES_A_LOOK);
        session.pipe().feed(&c.link.data()[..n]);
        c.link.consume(n);
        if filled == Filled::Ended && c.link.data().is_empty() {
            session.pipe().end();
        }
        let before = session.taken();
        let seen = session.look(clock, state, STREAMS_A_LOOK, &|| poll.fresh());
        if c.link.queued() < QUEUE_MOST {
            let output = session.pipe().drain();
            if !output.is_empty() {
                c.link.push(output);
            }
        }
        let (busy, took) = (session.busy(), session.taken() > before);
        // More may be there than one look takes; and what could not be fed waits in the link.
        let again = n == BYTES_A_LOOK || session.pipe().unread() > 0 && n > 0 || c.link.unread();
        let flushed = c.link.flush();
        if c.link.sent != c.memory.sent || c.link.queued() == 0 {
            (c.memory.sent, c.memory.sent_at) = (c.link.sent, now);
        }
        if took && c.stage != Stage::Asked {
            // By way of reading: a connection that has asked is no silent one when some must go.
            c.step(now, Stage::Reading);
            c.step(now, Stage::Asked);
        }
        if !busy && c.link.queued() == 0 && c.stage == Stage::Asked {
            c.step(now, Stage::Idle);
        }
        for ticket in seen.gone {
            self.owners.remove(&ticket.0);
            inputs.push(Input::Gone(ticket));
        }
        for request in seen.requests {
            self.owners.insert(request.ticket.0, id);
            inputs.push(Input::Arrived(request));
        }
        if flushed.is_err() {
            return self.close(id, inputs);
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
        let Some(c) = self.connections.get_mut(id) else { return };
        if let Some(session) = c.memory.session.take() {
            let output = session.pipe().drain();
            if !output.is_empty() {
                c.link.push(output);
            }
        }
        c.close = true;
        c.step(now, Stage::Answering);
        self.connections.touch(id);
    }

    fn forget(&mut self, id: u64, inputs: &mut Vec<Input>) {
        let Some(c) = self.connections.get_mut(id) else { return };
        for ticket in c.memory.session.iter().flat_map(|s| s.asked()) {
            self.owners.remove(&ticket.0);
            inputs.push(Input::Gone(ticket));
        }
    }

    fn close(&mut self, id: u64, inputs: &mut Vec<Input>) {
        self.forget(id, inputs);
        self.connections.close(id);
    }

    /// Hands an answer of the core to its stream.
    pub fn answer(&mut self, now: f64, ticket: Ticket, answer: Answer, state: &State) {
        let Some(id) = self.owners.remove(&ticket.0) else { return };
        let Some(c) = self.connections.get_mut(id) else { return };
        if let Some(session) = &mut c.memory.session {
            session.answer(now, ticket, answer, state);
        }
        self.connections.touch(id);
    }

    /// Closes clients that take nothing of what waits for them, and has all others looked at: streams that are too
    /// slow end by time alone.
    pub fn sweep(&mut self, now: f64, inputs: &mut Vec<Input>) {
        let stuck = |m: &Memory, queued: usize| queued > 0 && now - m.sent_at > SLOW_ANSWER_S;
        for id in self.connections.ids_where(|c| c.stage == Stage::Asked && stuck(&c.memory, c.link.queued()))
        {
            self.close(id, inputs);
        }
        let settings = &self.settings;
        let mut over = Vec::new();
        for id in self.connections.ids_where(|c| c.stage == Stage::Idle) {
            let Some(c) = self.connections.get_mut(id) else { continue };
            let since = c.since();
            if c.memory.session.as_mut().is_some_and(|s| s.rest(now, since, settings)) {
                over.push(id);
            }
        }
        over.into_iter().for_each(|id| self.close(id, inputs));
        self.connections.touch_all();
    }

    /// How long the common sweep leaves an idle connection: longer than its session does, which says goodbye first.
    pub fn idle_s(&self) -> f64 {
        self.settings.idle_s + IDLE_MARGIN_S
    }
}
