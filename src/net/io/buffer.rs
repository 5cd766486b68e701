//! A watched TCP connection with a bounded input buffer, in which messages are parsed in place, and an output queue
//! that is written with vectored writes.

use crate::net::io::poll::{self, Poll, Watch};
use crate::net::io::source::{Readiness, Source};
use rustix::event::{poll as poll_descriptors, PollFd, PollFlags, Timespec};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::collections::VecDeque;
use std::io::{self, IoSlice, Read, Write};
use std::mem::MaybeUninit;
use std::net::{Shutdown, TcpStream};
use std::os::fd::OwnedFd;
use std::rc::Rc;

/// Maximum number of slices in one vectored write.
const MAX_SLICES: usize = 16;
/// Maximum number of bytes discarded with one system call.
const DISCARD_BYTES: usize = 64 * 1024;
/// Increment by which the input buffer grows, and the capacity that an empty buffer keeps (bytes).
const READ_BYTES: usize = 4096;
/// Flag for `recv`: discards the received bytes without copying them.
const MSG_TRUNC: i32 = 0x20;

/// Bytes to be written: an owned vector or a range of a shared buffer.
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

/// State of the connection after a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadStatus {
    /// The connection is open; all available data has been read, or a limit was reached.
    Open,
    /// The peer has closed its sending side.
    Ended,
    /// The connection has failed.
    Broken,
}

/// What the system knows of the peer, whatever is still unread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// It can send and receive.
    Open,
    /// It has closed its sending side. Whether it still receives shows only when it is sent something: a peer that has closed
    /// its socket answers that with a reset.
    EndedSending,
    /// It has reset the connection, or both sides are closed.
    Gone,
}

/// A watched TCP connection.
pub struct Link {
    stream: Rc<TcpStream>,
    _watch: Watch,
    input: Vec<u8>,
    /// Number of bytes at the start of `input` that have been consumed.
    consumed: usize,
    max_unread_bytes: usize,
    output: VecDeque<Chunk>,
    /// Number of bytes of the first chunk of `output` that have been written.
    front_written: usize,
    /// Number of bytes in `output` that have not been written.
    queued: usize,
    /// Total number of bytes written to the socket.
    pub sent: u64,
    readable: bool,
    writable: bool,
    /// Whether the peer has closed its sending side.
    read_ended: bool,
}

impl Link {
    /// Wraps a stream, which must be in non-blocking mode; at most `max_unread_bytes` unread bytes are buffered.
    ///
    /// # Errors
    /// The descriptor budget is exhausted, or the system can't watch the socket.
    pub fn new(poll: &Poll, stream: TcpStream, source: Source, max_unread_bytes: usize) -> io::Result<Link> {
        stream.set_nodelay(true)?;
        let stream = Rc::new(stream);
        let watch = poll.watch(stream.clone(), source)?;
        Ok(Link {
            stream,
            _watch: watch,
            input: Vec::new(),
            consumed: 0,
            max_unread_bytes,
            output: VecDeque::new(),
            front_written: 0,
            queued: 0,
            sent: 0,
            // Data may be available before the first event is reported.
            readable: true,
            writable: true,
            read_ended: false,
        })
    }

    /// Starts connecting; [`Link::connected`] returns the result once the socket is ready.
    ///
    /// # Errors
    /// The descriptor budget is exhausted, or connecting fails immediately.
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

    /// The result of connecting; `None` while it is still in progress.
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

    /// Records the readiness that the event loop reported.
    pub fn mark_ready(&mut self, readiness: Readiness) {
        self.readable |= readiness.readable;
        self.writable |= readiness.writable;
    }

    /// Reads the available data up to the limit of the input buffer. The rest stays in the kernel's buffer, which slows
    /// the peer down by flow control.
    pub fn fill(&mut self) -> ReadStatus {
        while self.readable && !self.read_ended && self.data().len() < self.max_unread_bytes {
            if self.consumed > 0 {
                self.input.drain(..self.consumed);
                self.consumed = 0;
            }
            let old_length = self.input.len();
            let target_length = self.max_unread_bytes.min(old_length + READ_BYTES);
            self.input.resize(target_length, 0);
            let result = (&*self.stream).read(&mut self.input[old_length..]);
            self.input.truncate(old_length + result.as_ref().map_or(0, |n| *n));
            match result {
                Ok(0) => self.read_ended = true,
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.readable = false,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return ReadStatus::Broken,
            }
        }
        if self.read_ended {
            ReadStatus::Ended
        } else {
            ReadStatus::Open
        }
    }

    /// Asks the system for the state of the peer. Costs a system call.
    #[must_use]
    pub fn peer_state(&self) -> PeerState {
        let mut descriptors = [PollFd::new(&*self.stream, PollFlags::RDHUP)];
        // An interrupted call is one in which nothing has been reported.
        let _ = poll_descriptors(&mut descriptors, Some(&Timespec { tv_sec: 0, tv_nsec: 0 }));
        let reported = descriptors[0].revents();
        if reported.intersects(PollFlags::ERR | PollFlags::HUP | PollFlags::NVAL) {
            PeerState::Gone
        } else if self.read_ended || reported.contains(PollFlags::RDHUP) {
            PeerState::EndedSending
        } else {
            PeerState::Open
        }
    }

    /// The state of the peer if [`Link::fill`] can't notice it, because the input buffer is full and nothing more is read;
    /// otherwise [`PeerState::Open`].
    #[must_use]
    pub fn peer_state_behind_full_input(&self) -> PeerState {
        let is_full = self.data().len() >= self.max_unread_bytes;
        if is_full && self.has_unread() {
            self.peer_state()
        } else {
            PeerState::Open
        }
    }

    /// Discards the available data without copying it, since the data of a peer that keeps sending after it was
    /// rejected is not worth the processor time. Stops once `max_bytes` bytes are discarded, or up to 64 KiB more.
    /// Returns the state of the connection and whether any data was received.
    #[expect(clippy::large_stack_arrays, reason = "it is never initialized, and the stack has room for it")]
    pub fn discard(&mut self, max_bytes: usize) -> (ReadStatus, bool) {
        self.consume(self.input.len());
        let mut scratch = [MaybeUninit::uninit(); DISCARD_BYTES];
        let mut discarded_bytes = 0;
        while self.readable && !self.read_ended && discarded_bytes < max_bytes {
            match SockRef::from(&*self.stream).recv_with_flags(&mut scratch, MSG_TRUNC) {
                Ok(0) => self.read_ended = true,
                Ok(n) => discarded_bytes += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.readable = false,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return (ReadStatus::Broken, discarded_bytes > 0),
            }
        }
        (if self.read_ended { ReadStatus::Ended } else { ReadStatus::Open }, discarded_bytes > 0)
    }

    /// Sets the maximum number of unread bytes that are buffered.
    pub fn set_max_unread_bytes(&mut self, max_unread_bytes: usize) {
        self.max_unread_bytes = max_unread_bytes;
    }

    /// Whether there may be more data to read from the socket.
    #[must_use]
    pub fn has_unread(&self) -> bool {
        self.readable && !self.read_ended
    }

    /// Frees the memory of the buffers if both are empty.
    pub fn shrink(&mut self) {
        if self.input.is_empty() && self.output.is_empty() {
            self.input = Vec::new();
            self.output = VecDeque::new();
        }
    }

    /// Shrinks the input buffer to its unread bytes, for a connection that may stay inactive for long.
    pub fn shrink_input(&mut self) {
        self.input.drain(..self.consumed);
        self.consumed = 0;
        self.input.shrink_to_fit();
    }

    /// The bytes read from the socket and not consumed yet.
    #[must_use]
    pub fn data(&self) -> &[u8] {
        &self.input[self.consumed..]
    }

    /// Consumes the first `n` bytes of [`Link::data`].
    pub fn consume(&mut self, n: usize) {
        self.consumed = (self.consumed + n).min(self.input.len());
        if self.consumed == self.input.len() {
            self.input.clear();
            self.consumed = 0;
            // An idle connection must not keep a large buffer.
            self.input.shrink_to(READ_BYTES);
        }
    }

    /// Queues bytes to be written.
    pub fn push(&mut self, bytes: Vec<u8>) {
        self.queued += bytes.len();
        self.output.push_back(Chunk::Owned(bytes));
    }

    /// Queues a shared buffer to be written.
    pub fn push_shared(&mut self, bytes: Rc<[u8]>) {
        let all = 0..bytes.len();
        self.push_part(bytes, all);
    }

    /// Queues a range of a shared buffer to be written.
    pub fn push_part(&mut self, bytes: Rc<[u8]>, range: std::ops::Range<usize>) {
        self.queued += range.len();
        self.output.push_back(Chunk::Shared(bytes, range));
    }

    /// Number of bytes queued and not written yet.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queued
    }

    /// Writes queued bytes until the socket would block, with vectored writes.
    ///
    /// # Errors
    /// The connection has failed.
    pub fn flush(&mut self) -> io::Result<()> {
        while self.writable && !self.output.is_empty() {
            let mut slices = [IoSlice::new(&[]); MAX_SLICES];
            let mut count = 0;
            for (slice, chunk) in slices.iter_mut().zip(&self.output) {
                let skip = if count == 0 { self.front_written } else { 0 };
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
            self.front_written += sent;
            while let Some(front_bytes) = self.output.front().map(|c| c.bytes().len()) {
                if self.front_written < front_bytes {
                    break;
                }
                self.front_written -= front_bytes;
                self.output.pop_front();
            }
        }
        Ok(())
    }

    /// Duplicates the connection's descriptor, to be handed to another process.
    ///
    /// # Errors
    /// The system has no descriptor left.
    pub fn duplicate(&self) -> io::Result<OwnedFd> {
        Ok(self.stream.try_clone()?.into())
    }

    /// Inserts bytes that another process has read from the connection, in front of the unread ones.
    pub fn prepend_input(&mut self, bytes: &[u8]) {
        self.input.splice(self.consumed..self.consumed, bytes.iter().copied());
    }

    /// Shuts down the sending side (half-close).
    pub fn end_writing(&self) {
        // An error means that the connection is closed already.
        let _ = self.stream.shutdown(Shutdown::Write);
    }
}
