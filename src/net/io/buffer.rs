//! A watched TCP connection with a bounded input buffer, in which heads are parsed where they lie, and an output
//! queue that is written with gathered writes.

use crate::net::io::poll::{Place, Poll, Watch};
use socket2::SockRef;
use std::collections::VecDeque;
use std::io::{self, IoSlice, Read, Write};
use std::mem::MaybeUninit;
use std::net::{Shutdown, TcpStream};
use std::os::fd::OwnedFd;
use std::rc::Rc;

/// Slices handed to one gathered write.
const GATHER: usize = 16;
/// Bytes dropped with one call, and the system's flag that drops them without a copy.
const DISCARD: usize = 64 * 1024;
const MSG_TRUNC: i32 = 0x20;

/// Bytes to be written: made for this purpose, or shared with whoever else keeps them.
enum Chunk {
    Owned(Vec<u8>),
    Shared(Rc<[u8]>, std::ops::Range<usize>),
}

impl Chunk {
    fn bytes(&self) -> &[u8] {
        match self {
            Chunk::Owned(b) => b,
            Chunk::Shared(b, range) => &b[range.clone()],
        }
    }
}

/// How reading went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Filled {
    /// All there was has been read, or the buffer is full.
    Open,
    /// The peer will send no more.
    Ended,
    /// The connection is broken.
    Broken,
}

/// One connection.
pub struct Link {
    stream: Rc<TcpStream>,
    _watch: Watch,
    input: Vec<u8>,
    start: usize,
    room: usize,
    output: VecDeque<Chunk>,
    written: usize,
    queued: usize,
    /// Bytes given to the system so far.
    pub sent: u64,
    readable: bool,
    writable: bool,
    ended: bool,
}

impl Link {
    /// Takes a stream in non-blocking mode; at most `room` unread bytes are kept.
    pub fn new(poll: &Poll, stream: TcpStream, place: Place, room: usize) -> io::Result<Link> {
        stream.set_nodelay(true)?;
        let stream = Rc::new(stream);
        let watch = poll.watch(stream.clone(), place)?;
        Ok(Link {
            stream,
            _watch: watch,
            input: Vec::new(),
            start: 0,
            room,
            output: VecDeque::new(),
            written: 0,
            queued: 0,
            sent: 0,
            // The first look is free: what is there before the first event counts too.
            readable: true,
            writable: true,
            ended: false,
        })
    }

    /// Begins a connection; whether it comes about shows in [`Link::connect_error`] when something is ready.
    pub fn connect(poll: &Poll, to: std::net::SocketAddr, place: Place, room: usize) -> io::Result<Link> {
        if !poll.room() {
            return Err(io::Error::from_raw_os_error(poll::EMFILE));
        }
        use socket2::{Domain, Protocol, Socket, Type};
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        match socket.connect(&to.into()) {
            Ok(()) => {}
            Err(e)
                if e.kind() == io::ErrorKind::WouldBlock || e.raw_os_error() == Some(poll::EINPROGRESS) => {}
            Err(e) => return Err(e),
        }
        let mut link = Link::new(poll, socket.into(), place, room)?;
        (link.readable, link.writable) = (false, false);
        Ok(link)
    }

    /// Whether the connection has come about: `None` while it is under way.
    pub fn connected(&self) -> Option<io::Result<()>> {
        match self.stream.take_error() {
            Ok(Some(e)) | Err(e) => return Some(Err(e)),
            Ok(None) => {}
        }
        match self.stream.peer_addr() {
            Ok(_) => Some(Ok(())),
            Err(e) if e.kind() == io::ErrorKind::NotConnected => None,
            Err(e) => Some(Err(e)),
        }
    }

    /// Notes what the loop saw.
    pub fn mark(&mut self, readable: bool, writable: bool) {
        self.readable |= readable;
        self.writable |= writable;
    }

    /// Reads what is there, up to the room in the buffer; the rest waits, and so does the peer.
    pub fn fill(&mut self) -> Filled {
        while self.readable && !self.ended && self.data().len() < self.room {
            if self.start > 0 {
                self.input.drain(..self.start);
                self.start = 0;
            }
            let (len, target) = (self.input.len(), self.room.min(self.input.len() + 4096));
            self.input.resize(target, 0);
            let got = (&*self.stream).read(&mut self.input[len..]);
            self.input.truncate(len + got.as_ref().map_or(0, |n| *n));
            match got {
                Ok(0) => self.ended = true,
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.readable = false,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Filled::Broken,
            }
        }
        if self.ended {
            Filled::Ended
        } else {
            Filled::Open
        }
    }

    /// Reads what is there only to drop it, up to `most` bytes; how it went, and whether anything came. Guards the
    /// processor: what a peer still sends after its refusal is not even copied.
    pub fn discard(&mut self, most: usize) -> (Filled, bool) {
        self.consume(self.input.len());
        let (mut scratch, mut dropped) = ([MaybeUninit::uninit(); DISCARD], 0);
        while self.readable && !self.ended && dropped < most {
            match SockRef::from(&*self.stream).recv_with_flags(&mut scratch, MSG_TRUNC) {
                Ok(0) => self.ended = true,
                Ok(n) => dropped += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.readable = false,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return (Filled::Broken, dropped > 0),
            }
        }
        (if self.ended { Filled::Ended } else { Filled::Open }, dropped > 0)
    }

    /// So many unread bytes are kept at most from here on.
    pub fn set_room(&mut self, room: usize) {
        self.room = room;
    }

    /// Whether more may be there to be read.
    pub fn unread(&self) -> bool {
        self.readable && !self.ended
    }

    /// Gives back the memory of an idle connection's buffers.
    pub fn shrink(&mut self) {
        if self.input.is_empty() && self.output.is_empty() {
            (self.input, self.output) = (Vec::new(), VecDeque::new());
        }
    }

    /// Gives back what the input buffer holds beyond its bytes, for a connection that may wait for long.
    pub fn tighten(&mut self) {
        self.input.drain(..self.start);
        self.start = 0;
        self.input.shrink_to_fit();
    }

    /// What has been read and not yet consumed.
    pub fn data(&self) -> &[u8] {
        &self.input[self.start..]
    }

    pub fn consume(&mut self, n: usize) {
        self.start = (self.start + n).min(self.input.len());
        if self.start == self.input.len() {
            self.input.clear();
            self.start = 0;
            // An idle connection keeps no large buffer.
            self.input.shrink_to(4096);
        }
    }

    pub fn push(&mut self, bytes: Vec<u8>) {
        self.queued += bytes.len();
        self.output.push_back(Chunk::Owned(bytes));
    }

    pub fn push_shared(&mut self, bytes: Rc<[u8]>) {
        let all = 0..bytes.len();
        self.push_part(bytes, all);
    }

    /// Queues a part of shared bytes.
    pub fn push_part(&mut self, bytes: Rc<[u8]>, part: std::ops::Range<usize>) {
        self.queued += part.len();
        self.output.push_back(Chunk::Shared(bytes, part));
    }

    /// Bytes still to be written.
    pub fn queued(&self) -> usize {
        self.queued
    }

    /// Writes what the peer takes, gathered; an error means that the connection is broken.
    pub fn flush(&mut self) -> io::Result<()> {
        while self.writable && !self.output.is_empty() {
            let mut slices = [IoSlice::new(&[]); GATHER];
            let mut count = 0;
            for (slice, chunk) in slices.iter_mut().zip(&self.output) {
                let skip = if count == 0 { self.written } else { 0 };
                *slice = IoSlice::new(&chunk.bytes()[skip..]);
                count += 1;
            }
            let sent = match (&*self.stream).write_vectored(&slices[..count]) {
                Ok(0) if self.queued > 0 => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.writable = false;
                    return Ok(());
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) => return Err(e),
            };
            self.sent += sent as u64;
            self.queued -= sent;
            self.written += sent;
            while let Some(first) = self.output.front().map(|c| c.bytes().len()) {
                if self.written < first {
                    break;
                }
                self.written -= first;
                self.output.pop_front();
            }
        }
        Ok(())
    }

    /// Another descriptor of the same connection, for another process.
    pub fn duplicate(&self) -> io::Result<OwnedFd> {
        Ok(self.stream.try_clone()?.into())
    }

    /// Puts bytes that another process has read before what is still to be read.
    pub fn put_back(&mut self, bytes: &[u8]) {
        self.input.splice(self.start..self.start, bytes.iter().copied());
    }

    /// Says that no more will be written.
    pub fn end_writing(&self) {
        // A peer that has gone already needs no word of it.
        let _ = self.stream.shutdown(Shutdown::Write);
    }
}

use crate::net::io::poll;
