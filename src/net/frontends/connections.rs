//! What all fronts share: accepting, the stages of a connection, and the one way to close.
//!
//! A close over unread bytes is a reset, and a reset takes answers with it that the peer has not read. So every close
//! that this side begins goes one way, the lingering close of RFC 9112, section 9.6: read until nothing is there; what
//! came is looked at by the front, and served; else the writing side is ended (half-close), what still comes is dropped
//! unread by anybody, and the socket is closed when the peer has ended too or a short bound is over. What is dropped
//! never reaches the core: its answer could not be read, and whoever sent it sees that the connection had ended.

use crate::dispatch::{Input, Ticket};
use crate::net::io::buffer::{Filled, Link};
use crate::net::io::poll::{Accepted, Acceptor, Place, Poll};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::rc::Rc;

/// How long a request may take to come in whole, and the first one of a connection from its very start: a peer that
/// is silent or sends half a request is closed within 3 s (seconds).
const SLOW_REQUEST_S: f64 = 2.0;
/// How much longer one that still sends of its request may put that off: guards against a peer whose next byte is
/// always on its way (seconds).
const NEWS_S: f64 = 0.25;
/// How long an answer may take to be taken (seconds).
const SLOW_ANSWER_S: f64 = 10.0;
/// How long a peer that goes on sending after its refusal is read, so that the close does not reset the answer
/// away, and how long one that does not see the close (seconds).
const LINGER_S: f64 = 1.0;
const LINGER_MOST_S: f64 = 4.0;
/// What of it is dropped in one step (bytes).
const DROP_MOST: usize = 1024 * 1024;
/// A caller that opens a connection has something to ask: one silent for so long may be closed for another (seconds).
const SILENT_S: f64 = 0.05;
/// The rank of connections of which the fewest should go.
const LAST_RANK: u8 = 4;
/// A connection that asked once and has rested for so long may be closed for a new one: a request that crosses the close
/// within that time is sent again by whoever sent it (seconds).
const CROSSING_S: f64 = 0.05;
/// After so long an idle connection keeps no buffers (seconds).
const REST_S: f64 = 1.0;

/// Steps that one connection may take in a turn: a peer that sends without end must not keep the loop to itself.
pub const STEPS_MOST: usize = 32;

/// Where a connection is; one request at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
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
    /// Another process has it, or is about to.
    HandedOff,
}

/// A connection, with what its protocol remembers between two looks.
pub struct Connection<P> {
    pub link: Link,
    pub stage: Stage,
    since: f64,
    opened: f64,
    /// When something last came of what is thrown away.
    heard: f64,
    /// Requests that came in whole.
    asked: u32,
    /// To be closed after this answer.
    pub close: bool,
    /// Bytes have come that its front has not looked at.
    unseen: bool,
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
                // One request at a time: what comes meanwhile waits in the buffer, then with the system. A reset
                // shows in reading alone, and the core need not go on for a caller that is gone.
                Stage::Asked if self.link.fill() == Filled::Broken => return Next::Close,
                Stage::Asked | Stage::HandedOff => return Next::Wait,
                Stage::Answering if self.link.queued() > 0 => return Next::Wait,
                Stage::Answering if self.close => self.half_close(now),
                Stage::Answering => self.step(now, Stage::Idle),
                Stage::Closing => {
                    let (filled, came) = self.link.discard(DROP_MOST);
                    if came {
                        self.heard = now;
                    }
                    return match filled {
                        Filled::Open if self.link.unread() => Next::Later,
                        Filled::Open => Next::Wait,
                        _ => Next::Close,
                    };
                }
                Stage::Idle | Stage::Reading => return Next::Read,
            }
        }
        Next::Later
    }

    /// Nothing more is taken from it: what is queued is written, then it is closed.
    pub fn finish(&mut self, now: f64) {
        self.close = true;
        self.step(now, Stage::Answering);
    }

    /// Ends the writing side. From here on nothing that comes is read as a request.
    fn half_close(&mut self, now: f64) {
        self.link.end_writing();
        self.heard = now;
        self.step(now, Stage::Closing);
    }

    /// Reads what came since its front last looked; `true` if anything did, or the peer has ended.
    /// Guards against a decision to close that rests on what the loop saw a moment ago.
    fn has_news(&mut self) -> bool {
        let before = self.link.data().len();
        self.link.mark(true, false);
        let filled = self.link.fill();
        self.unseen |= self.link.data().len() > before;
        self.unseen || filled != Filled::Open
    }

    /// Whether a connection that is being closed is still waited for.
    fn lingers(&mut self, now: f64) -> bool {
        let lingers = now - self.heard < LINGER_S && now - self.since < LINGER_MOST_S;
        if !lingers {
            self.drop_unread();
        }
        lingers
    }

    /// Nothing is left unread by the close that follows, so far as it has come.
    fn drop_unread(&mut self) {
        self.link.mark(true, false);
        self.link.discard(DROP_MOST);
    }

    /// Since when it is in its stage (seconds).
    pub fn since(&self) -> f64 {
        self.since
    }

    pub fn step(&mut self, now: f64, stage: Stage) {
        if self.stage == Stage::Reading && matches!(stage, Stage::Asked | Stage::Answering) {
            self.asked += 1;
        }
        (self.stage, self.since) = (stage, now);
    }

    /// Who is closed first where descriptors run out: those that never asked, half a request included, then those
    /// that are being closed anyway, then those that asked once and rest, then others that are idle.
    fn rank(&self, now: f64, silent_s: f64) -> Option<u8> {
        match self.stage {
            Stage::Idle | Stage::Reading if self.asked == 0 && now - self.opened >= silent_s => Some(0),
            Stage::Closing => Some(1),
            // Just accepted and not looked at yet: its request may be there.
            Stage::Idle if self.asked == 0 => (now > self.opened).then_some(3),
            Stage::Idle => {
                Some(if self.asked == 1 && now - self.since >= CROSSING_S { 2 } else { LAST_RANK })
            }
            _ => None,
        }
    }
}

/// A connection on its way to another process, with what its protocol remembers.
pub struct DetachedConnection<P> {
    pub stream: OwnedFd,
    pub unread: Vec<u8>,
    /// Requests that came in whole.
    pub asked: u32,
    pub close: bool,
    pub memory: P,
}

/// What became of the wish for one more descriptor.
enum Room {
    Made,
    /// It may be had once what has just come has been looked at.
    Later,
    None,
}

/// A listener and its connections.
pub struct Connections<P> {
    acceptor: Option<Acceptor>,
    poll: Poll,
    place: fn(u64) -> Place,
    room: usize,
    all: HashMap<u64, Connection<P>>,
    touched: Vec<u64>,
    silent_s: f64,
    most: usize,
    /// Accepted, and waits for one that may give way to it once what has just come has been looked at.
    next: Option<TcpStream>,
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
        let mut connections = Connections::shut(poll, place, room);
        connections.acceptor = Some(Acceptor::bind(poll, address, listener)?);
        Ok(connections)
    }

    /// Lets nobody in yet.
    pub fn shut(poll: &Poll, place: fn(u64) -> Place, room: usize) -> Connections<P> {
        Connections {
            acceptor: None,
            poll: poll.clone(),
            place,
            room,
            all: HashMap::new(),
            touched: Vec::new(),
            silent_s: SILENT_S,
            most: usize::MAX,
            next: None,
        }
    }

    /// Lets clients in at a socket that listens already.
    pub fn open(&mut self, socket: &Rc<TcpListener>, listener: Place) -> io::Result<()> {
        self.acceptor = Some(Acceptor::on(&self.poll, socket.clone(), listener)?);
        Ok(())
    }

    /// Lets clients in at an address of its own.
    pub fn listen(&mut self, address: SocketAddr, listener: Place) -> io::Result<()> {
        self.acceptor = Some(Acceptor::bind(&self.poll, address, listener)?);
        Ok(())
    }

    /// The socket that it accepts on.
    pub fn socket(&self) -> Option<Rc<TcpListener>> {
        self.acceptor.as_ref().map(Acceptor::socket)
    }

    /// Goes on with a lent connection; `asked` says that its request is in hand.
    pub fn take_back(&mut self, now: f64, id: u64, asked: bool) {
        let Some(c) = self.all.get_mut(&id).filter(|c| c.stage == Stage::HandedOff) else { return };
        let read = if c.link.data().is_empty() { Stage::Idle } else { Stage::Reading };
        (c.stage, c.since) = (if asked { Stage::Asked } else { read }, now);
        self.touched.push(id);
    }

    /// Takes over a connection from another process, in non-blocking mode; `asked` says that its request is in hand.
    pub fn adopt(&mut self, now: f64, parcel: DetachedConnection<P>, asked: bool) -> Option<u64> {
        let id = self.poll.fresh();
        let mut link =
            Link::new(&self.poll, TcpStream::from(parcel.stream), (self.place)(id), self.room).ok()?;
        link.put_back(&parcel.unread);
        let stage = match asked {
            true => Stage::Asked,
            false if link.data().is_empty() => Stage::Idle,
            false => Stage::Reading,
        };
        let DetachedConnection { asked, close, memory, .. } = parcel;
        let (since, opened, heard) = (now, now, now);
        let unseen = !link.data().is_empty();
        self.all.insert(id, Connection { link, stage, since, opened, heard, asked, close, unseen, memory });
        self.touched.push(id);
        Some(id)
    }

    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Keeps so many connections at most: beyond, whoever comes takes the place of one that rests, or is turned away.
    pub fn at_most(&mut self, most: usize) {
        self.most = most;
    }

    /// Whoever comes takes the place of the oldest that has not asked in whole, however young that is.
    pub fn prefer_newest(&mut self) {
        self.silent_s = 0.0;
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

    /// Lets nobody in any more; another process goes on listening at the same socket.
    pub fn stop_listening(&mut self) {
        (self.acceptor, self.next) = (None, None);
    }

    /// Lets nobody in any more, and nobody else listens: whoever the system has accepted by now is taken in first,
    /// since the close of the socket resets what waits there, requests and all. Between the last look and the close
    /// there is no more than a system call. `false` where some may still wait, until others have been looked at.
    pub fn close_listener(&mut self, now: f64) -> bool {
        // The system knows better than what the loop saw a moment ago.
        self.mark_listener();
        if self.accept(now) {
            return false;
        }
        self.acceptor = None;
        true
    }

    /// Whether all that was asked has been answered and written out, and nothing is on its way in.
    pub fn quiet(&self) -> bool {
        self.all.values().all(|c| matches!(c.stage, Stage::Idle | Stage::Closing | Stage::HandedOff))
    }

    /// Whether nobody is left who has not ended too; what another process holds is its.
    pub fn all_ended(&self) -> bool {
        self.all.values().all(|c| c.stage == Stage::HandedOff)
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

    /// Those of which this is true, in the order in which they were accepted.
    pub fn ids_where(&self, is: impl Fn(&Connection<P>) -> bool) -> Vec<u64> {
        let mut ids: Vec<u64> = self.all.iter().filter(|(_, c)| is(c)).map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }

    /// Has all connections looked at.
    pub fn touch_all(&mut self) {
        self.touched.extend(self.all.keys());
    }

    /// Has this connection looked at again in the same turn.
    pub fn touch(&mut self, id: u64) {
        self.touched.push(id);
    }

    pub fn close(&mut self, id: u64) {
        self.all.remove(&id);
    }

    /// Closes a connection that is broken; what is owed on it is owed no more.
    pub fn gone(&mut self, id: u64, inputs: &mut Vec<Input>) {
        if self.all.remove(&id).is_some_and(|c| c.stage == Stage::Asked) {
            inputs.push(Input::ClientDisconnected(Ticket(id)));
        }
    }

    /// Those that something happened to, each once, in the order in which they were accepted.
    pub fn take_touched(&mut self) -> Vec<u64> {
        let mut touched = std::mem::take(&mut self.touched);
        touched.sort_unstable();
        touched.dedup();
        for id in &touched {
            if let Some(c) = self.all.get_mut(id) {
                c.unseen = false;
            }
        }
        touched
    }

    /// Accepts whoever waits; `true` if it had to be broken off and wants another look later.
    pub fn accept(&mut self, now: f64) -> bool {
        for taken in 0.. {
            let Some(acceptor) = &mut self.acceptor else { return false };
            let accepted = self.next.take().map_or_else(|| acceptor.accept(taken), Accepted::Stream);
            let stream = match accepted {
                Accepted::Stream(stream) => stream,
                Accepted::Nobody => return false,
                // An idle connection may be closed at any time: whoever waits is worth more. Where all are busy,
                // whoever waits is turned away at once: a request that lies unread until its time is over is
                // lost, and one on a connection closed before anything ran may be tried elsewhere.
                Accepted::Full => match self.make_room(now) {
                    Room::Made => continue,
                    Room::None if self.acceptor.as_mut().is_some_and(Acceptor::turn_away) => continue,
                    // Guards against spinning: whoever waits stays there, so the next try is left to a timer.
                    _ => return true,
                },
                Accepted::Pause => return true,
            };
            if self.all.len() >= self.most {
                match self.make_room(now) {
                    Room::Made => {}
                    Room::Later => {
                        self.next = Some(stream);
                        return true;
                    }
                    // Closed with its request unread, which is then a reset: as for a refused connection, nothing has
                    // run. All are busy, and one more to answer on is what the front's bound forbids.
                    Room::None => continue,
                }
            }
            let id = self.poll.fresh();
            if stream.set_nonblocking(true).is_err() {
                continue;
            }
            if let Ok(link) = Link::new(&self.poll, stream, (self.place)(id), self.room) {
                let (stage, close, unseen, memory) = (Stage::Idle, false, false, P::default());
                let (since, opened, heard, asked) = (now, now, now, 0);
                self.all.insert(
                    id,
                    Connection { link, stage, since, opened, heard, asked, close, unseen, memory },
                );
                self.touched.push(id);
            }
        }
        false
    }

    /// Closes one connection for another. Guards routers against a flood of silent clients: what has just been
    /// accepted is looked at before a connection of the last rank goes.
    ///
    /// There is no descriptor to linger with: one that rests goes at once. That is safe where nothing lies unread, so
    /// it is read first; one whose request has just come stays and is looked at.
    fn make_room(&mut self, now: f64) -> Room {
        let just_come = self.all.values().any(|c| c.opened == now);
        loop {
            let unseen = self.all.values().any(|c| c.unseen);
            let ranked = self.all.iter().filter(|(_, c)| !c.unseen);
            let ranked = ranked.filter_map(|(id, c)| Some((c.rank(now, self.silent_s)?, c.since, *id)));
            match ranked.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))) {
                Some((LAST_RANK, ..)) | None if just_come || unseen => return Room::Later,
                Some((.., id)) => {
                    let Some(c) = self.all.get_mut(&id) else { return Room::None };
                    if c.stage == Stage::Closing {
                        c.drop_unread();
                    } else if c.has_news() && c.unseen {
                        self.touched.push(id);
                        continue;
                    }
                    self.all.remove(&id);
                    return Room::Made;
                }
                None => return Room::None,
            }
        }
    }

    /// Ends what has been idle for long, and peers that are too slow to send or to read. With `leaving`, all that rest.
    /// What has news is looked at instead: see [`Connections::pending`].
    pub fn sweep(&mut self, now: f64, idle_s: f64, leaving: bool) {
        let touched = &mut self.touched;
        self.all.retain(|id, c| {
            let lasts = now - c.since;
            // The first request of a connection is due from its start, each other one from its first byte.
            let asks_for = if c.asked == 0 { now - c.opened } else { lasts };
            let over = match c.stage {
                Stage::Idle if c.asked == 0 => leaving || asks_for >= SLOW_REQUEST_S,
                Stage::Idle => {
                    if lasts > REST_S {
                        c.link.shrink();
                    }
                    leaving || lasts >= idle_s
                }
                Stage::Reading => asks_for >= SLOW_REQUEST_S,
                Stage::Asked | Stage::HandedOff => false,
                // It takes nothing, so there is nothing that a gentler end could bring to it.
                Stage::Answering => return lasts < SLOW_ANSWER_S,
                Stage::Closing => return c.lingers(now),
            };
            if over && c.stage == Stage::Reading && asks_for >= SLOW_REQUEST_S + NEWS_S {
                c.finish(now);
                touched.push(*id);
            } else if over {
                end(*id, c, now, touched);
            }
            true
        });
        self.all.shrink_to(4 * self.all.len());
    }

    /// The process is about to end: all that rest are ended, with `at_once` those too that have sent half a request.
    pub fn end_all(&mut self, now: f64, at_once: bool) {
        for (id, c) in &mut self.all {
            if c.stage == Stage::Idle || at_once && c.stage == Stage::Reading {
                end(*id, c, now, &mut self.touched);
            }
        }
    }

    /// The last act before the process ends: what lies unread would make its end a reset.
    pub fn drop_unread(&mut self) {
        self.all.values_mut().filter(|c| c.stage != Stage::HandedOff).for_each(Connection::drop_unread);
    }
}

/// Begins the lingering close, unless there is news: then the front looks first, and the next try decides anew. What
/// comes is bounded by the buffer, so that no peer can put its end off for long.
fn end<P>(id: u64, c: &mut Connection<P>, now: f64, touched: &mut Vec<u64>) {
    if !c.has_news() {
        c.finish(now);
    }
    touched.push(id);
}

impl<P: Default + Copy> Connections<P> {
    /// Lends a connection to another process: nothing is read or written here until it is taken back.
    pub fn lend(&mut self, id: u64) -> Option<DetachedConnection<P>> {
        let c = self.all.get_mut(&id)?;
        let (unread, memory) = (c.link.data().to_vec(), c.memory);
        // Where the system gives no descriptor for it, it stays as it is.
        let stream = c.link.duplicate().ok()?;
        c.stage = Stage::HandedOff;
        Some(DetachedConnection { stream, unread, asked: c.asked, close: c.close, memory })
    }
}

#[cfg(test)]
mod tests;
