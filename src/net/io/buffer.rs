//! A watched TCP connection with a bounded input buffer, in which heads are parsed where they lie, and an output
//! queue that is written with gathered writes.

use crate::net::io::poll::{self, Poll, Watch};
use crate::net::io::source::{Readiness, Source};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::collections::VecDeque;
use std::io::{self, IoSlice, Read, Write};
use std::mem::MaybeUninit;
use std::net::{Shutdown, TcpStream};
use std::os::fd::OwnedFd;
use std::rc::Rc;

/// Slices handed to one gathered write.
const MAX_SLICES: usize = 16;
/// Bytes discarded with one call.
const DISCARD_BYTES: usize = 64 * 1024;
/// How far the input buffer grows at a time, and what an empty one keeps (bytes).
const READ_BYTES: usize = 4096;
/// The system's flag that discards received bytes without copying them.
const MSG_TRUNC: i32 = 0x20;

/// Bytes to be written: owned, or a part of shared ones.
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

/// The result of reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadStatus {
    /// All there was has been read, or the buffer is full.
    Open,
    /// The peer will send no more.
    Ended,
    /// The connection is broken.
    Broken,
}

/// A watched TCP connection.
pub struct Link {
    stream: Rc<TcpStream>,
    _watch: Watch,
    input: Vec<u8>,
    start: usize,
    max_unread_bytes: usize,
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
    /// Takes a stream in non-blocking mode; at most `max_unread_bytes` unread bytes are buffered.
    ///
    /// # Errors
    /// No descriptor is left in the budget.
    pub fn new(poll: &Poll, stream: TcpStream, source: Source, max_unread_bytes: usize) -> io::Result<Link> {
        stream.set_nodelay(true)?;
        let stream = Rc::new(stream);
        let watch = poll.watch(stream.clone(), source)?;
        Ok(Link {
            stream,
            _watch: watch,
            input: Vec::new(),
            start: 0,
            max_unread_bytes,
            output: VecDeque::new(),
            written: 0,
            queued: 0,
            sent: 0,
            // What is there before the first event counts too.
            readable: true,
            writable: true,
            ended: false,
        })
    }

    /// Begins to connect; [`Link::connected`] returns the result once the socket is ready.
    ///
    /// # Errors
    /// No descriptor is left, or the system refuses at once.
    pub fn connect(
        poll: &Poll,
        to: std::net::SocketAddr,
        source: Source,
        max_unread_bytes: usize,
    ) -> io::Result<Link> {
        if !poll.has_capacity() {
            return Err(io::Error::from_raw_os_error(poll::EMFILE));
        }
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        match socket.connect(&to.into()) {
            Ok(()) => {}
            Err(e)
                if e.kind() == io::ErrorKind::WouldBlock || e.raw_os_error() == Some(poll::EINPROGRESS) => {}
            Err(e) => return Err(e),
        }
        let mut link = Link::new(poll, socket.into(), source, max_unread_bytes)?;
        link.readable = false;
        link.writable = false;
        Ok(link)
    }

    /// Whether the connection is established: `None` while it is being established.
    #[must_use]
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

    /// Notes the readiness that the loop reports.
    pub fn mark(&mut self, readiness: Readiness) {
        self.readable |= readiness.readable;
        self.writable |= readiness.writable;
    }

    /// Reads what is there, up to the limit of the buffer; the rest waits, and so does the peer.
    pub fn fill(&mut self) -> ReadStatus {
        while self.readable && !self.ended && self.data().len() < self.max_unread_bytes {
            if self.start > 0 {
                self.input.drain(..self.start);
                self.start = 0;
            }
            let len = self.input.len();
            let target = self.max_unread_bytes.min(len + READ_BYTES);
            self.input.resize(target, 0);
            let got = (&*self.stream).read(&mut self.input[len..]);
            self.input.truncate(len + got.as_ref().map_or(0, |n| *n));
            match got {
                Ok(0) => self.ended = true,
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.readable = false,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return ReadStatus::Broken,
            }
        }
        if self.ended {
            ReadStatus::Ended
        } else {
            ReadStatus::Open
        }
    }

    /// Discards what is there, up to `most` bytes, without copying it: a peer that goes on sending after its rejection
    /// must not cost processor time. Returns the result of reading and whether anything came.
    #[expect(clippy::large_stack_arrays, reason = "it is never initialized, and the stack has room for it")]
    pub fn discard(&mut self, most: usize) -> (ReadStatus, bool) {
        self.consume(self.input.len());
        let mut scratch = [MaybeUninit::uninit(); DISCARD_BYTES];
        let mut dropped = 0;
        while self.readable && !self.ended && dropped < most {
            match SockRef::from(&*self.stream).recv_with_flags(&mut scratch, MSG_TRUNC) {
                Ok(0) => self.ended = true,
                Ok(n) => dropped += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.readable = false,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return (ReadStatus::Broken, dropped > 0),
            }
        }
        (if self.ended { ReadStatus::Ended } else { ReadStatus::Open }, dropped > 0)
    }

    /// Sets how many unread bytes are buffered at most.
    pub fn set_max_unread_bytes(&mut self, max_unread_bytes: usize) {
        self.max_unread_bytes = max_unread_bytes;
    }

    /// Whether more may be there to be read.
    #[must_use]
    pub fn has_unread(&self) -> bool {
        self.readable && !self.ended
    }

    /// Frees the memory of an idle connection's buffers.
    pub fn shrink(&mut self) {
        if self.input.is_empty() && self.output.is_empty() {
            self.input = Vec::new();
            self.output = VecDeque::new();
        }
    }

    /// Frees what the input buffer holds beyond its bytes, for a connection that may wait for long.
    pub fn shrink_input(&mut self) {
        self.input.drain(..self.start);
        self.start = 0;
        self.input.shrink_to_fit();
    }

    /// What has been read and not yet consumed.
    #[must_use]
    pub fn data(&self) -> &[u8] {
        &self.input[self.start..]
    }

    /// Consumes the first `n` bytes of the input.
    pub fn consume(&mut self, n: usize) {
        self.start = (self.start + n).min(self.input.len());
        if self.start == self.input.len() {
            self.input.clear();
            self.start = 0;
            // An idle connection keeps no large buffer.
            self.input.shrink_to(READ_BYTES);
        }
    }

    /// Queues bytes to be written.
    pub fn push(&mut self, bytes: Vec<u8>) {
        self.queued += bytes.len();
        self.output.push_back(Chunk::Owned(bytes));
    }

    /// Queues shared bytes.
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
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queued
    }

    /// Writes as much as the peer takes, with gathered writes.
    ///
    /// # Errors
    /// The connection is broken.
    pub fn flush(&mut self) -> io::Result<()> {
        while self.writable && !self.output.is_empty() {
            let mut slices = [IoSlice::new(&[]); MAX_SLICES];
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
    ///
    /// # Errors
    /// The system has no descriptor left.
    pub fn duplicate(&self) -> io::Result<OwnedFd> {
        Ok(self.stream.try_clone()?.into())
    }

    /// Puts bytes that another process has read in front of what is still to be read.
    pub fn prepend_input(&mut self, bytes: &[u8]) {
        self.input.splice(self.start..self.start, bytes.iter().copied());
    }

    /// Ends the writing side: the peer sees that no more will come.
    pub fn end_writing(&self) {
        // A peer that has gone already does not care.
        let _ = self.stream.shutdown(Shutdown::Write);
    }
}
