//! What all fronts share: accepting, the stages of a connection, and closing what is idle or too slow.

use super::buffer::{Filled, Link};
use super::poll::{Accepted, Acceptor, Place, Poll};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;

/// How long a request may take to come in whole, an answer to be taken, and a peer to see a close (seconds).
const SLOW_REQUEST_S: f64 = 10.0;
const SLOW_ANSWER_S: f64 = 10.0;
const LINGER_S: f64 = 1.0;

/// Steps that one connection may take in a turn: a peer that sends without end must not keep the loop to itself.
pub const STEPS_MOST: usize = 32;

/// Where a connection is; one request at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Nothing has come of the next request.
    Idle,
    /// A part of a request has come.
    Reading,
    /// The core, or the directory before it, owes word.
    Asked,
    /// The answer is being written.
    Answering,
    /// All is said: what still comes is thrown away until the peer closes.
    Closing,
}

/// A connection, with what its protocol remembers between two looks.
pub struct Connection<P> {
    pub link: Link,
    pub stage: Stage,
    since: f64,
    /// To be closed after this answer.
    pub close: bool,
    pub memory: P,
}

/// What a connection is to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Take its next request.
    Read,
    /// Wait for an event, or for the core.
    Wait,
    /// Go on with it after the others.
    Later,
    /// It is over.
    Close,
}

impl<P> Connection<P> {
    /// Writes what can be written, and walks the stages that are the same on every front.
    pub fn settle(&mut self, now: f64) -> Next {
        for _ in 0..STEPS_MOST {
            if self.link.flush().is_err() {
                return Next::Close;
            }
            match self.stage {
                // One request at a time: what comes meanwhile waits in the buffer, then with the system.
                Stage::Asked => return Next::Wait,
                Stage::Answering if self.link.queued() > 0 => return Next::Wait,
                Stage::Answering if self.close => {
                    self.link.end_writing();
                    self.step(now, Stage::Closing);
                }
                Stage::Answering => self.step(now, Stage::Idle),
                Stage::Closing => {
                    let filled = self.link.fill();
                    let n = self.link.data().len();
                    self.link.consume(n);
                    if filled != Filled::Open {
                        return Next::Close;
                    }
                    if n == 0 {
                        return Next::Wait;
                    }
                }
                Stage::Idle | Stage::Reading => return Next::Read,
            }
        }
        Next::Later
    }

    pub fn step(&mut self, now: f64, stage: Stage) {
        (self.stage, self.since) = (stage, now);
    }
}

/// A listener and its connections.
pub struct Connections<P> {
    acceptor: Option<Acceptor>,
    poll: Poll,
    place: fn(u64) -> Place,
    room: usize,
    all: HashMap<u64, Connection<P>>,
    touched: Vec<u64>,
}

impl<P: Default> Connections<P> {
    /// Listens; each connection keeps at most `room` unread bytes.
    pub fn bind(
        poll: &Poll,
        address: SocketAddr,
        listener: Place,
        place: fn(u64) -> Place,
        room: usize,
    ) -> io::Result<Connections<P>> {
        let acceptor = Some(Acceptor::bind(poll, address, listener)?);
        Ok(Connections {
            acceptor,
            poll: poll.clone(),
            place,
            room,
            all: HashMap::new(),
            touched: Vec::new(),
        })
    }

    /// Where it listens, by the system's word.
    pub fn address(&self) -> Option<SocketAddr> {
        self.acceptor.as_ref().and_then(|a| a.address().ok())
    }

    pub fn mark_listener(&mut self) {
        if let Some(a) = &mut self.acceptor {
            a.mark();
        }
    }

    pub fn mark(&mut self, id: u64, readable: bool, writable: bool) {
        if let Some(c) = self.all.get_mut(&id) {
            c.link.mark(readable, writable);
            self.touched.push(id);
        }
    }

    pub fn stop_listening(&mut self) {
        self.acceptor = None;
    }

    /// Whether all that was asked has been answered and written out.
    pub fn quiet(&self) -> bool {
        self.all.values().all(|c| matches!(c.stage, Stage::Idle | Stage::Closing))
    }

    /// Whether a connection has news that the loop has not told of.
    pub fn pending(&self) -> bool {
        !self.touched.is_empty()
    }

    pub fn owns(&self, id: u64) -> bool {
        self.all.contains_key(&id)
    }

    pub fn get_mut(&mut self, id: u64) -> Option<&mut Connection<P>> {
        self.all.get_mut(&id)
    }

    /// Has this connection looked at again in the same turn.
    pub fn touch(&mut self, id: u64) {
        self.touched.push(id);
    }

    pub fn close(&mut self, id: u64) {
        self.all.remove(&id);
    }

    /// Those that something happened to, each once, in the order in which they were accepted.
    pub fn take_touched(&mut self) -> Vec<u64> {
        let mut touched = std::mem::take(&mut self.touched);
        touched.sort_unstable();
        touched.dedup();
        touched
    }

    /// Accepts whoever waits; `true` if it had to be broken off and wants another look later.
    pub fn accept(&mut self, now: f64) -> bool {
        for taken in 0.. {
            let Some(acceptor) = &mut self.acceptor else { return false };
            let stream = match acceptor.accept(taken) {
                Accepted::Stream(stream) => stream,
                Accepted::Nobody => return false,
                // An idle connection may be closed at any time: whoever waits is worth more.
                Accepted::Full if self.close_longest_idle() => continue,
                // Guards against spinning: whoever waits stays there, so the next try is left to a timer.
                Accepted::Full | Accepted::Pause => return true,
            };
            let id = self.poll.fresh();
            if stream.set_nonblocking(true).is_err() {
                continue;
            }
            if let Ok(link) = Link::new(&self.poll, stream, (self.place)(id), self.room) {
                let (stage, since, close, memory) = (Stage::Idle, now, false, P::default());
                self.all.insert(id, Connection { link, stage, since, close, memory });
                self.touched.push(id);
            }
        }
        false
    }

    /// `false` where none is idle, or none but what has just been accepted and not yet looked at.
    fn close_longest_idle(&mut self) -> bool {
        let idle = self.all.iter().filter(|(id, c)| c.stage == Stage::Idle && !self.touched.contains(id));
        let longest = idle.min_by(|a, b| a.1.since.total_cmp(&b.1.since)).map(|(id, _)| *id);
        longest.is_some_and(|id| self.all.remove(&id).is_some())
    }

    /// Closes what has been idle for long, and peers that are too slow to send or to read.
    pub fn sweep(&mut self, now: f64, idle_s: f64, leaving: bool) {
        self.all.retain(|_, c| {
            let lasts = now - c.since;
            match c.stage {
                Stage::Idle => lasts < idle_s && !leaving,
                Stage::Reading => lasts < SLOW_REQUEST_S,
                Stage::Asked => true,
                Stage::Answering => lasts < SLOW_ANSWER_S,
                Stage::Closing => lasts < LINGER_S,
            }
        });
    }
}
