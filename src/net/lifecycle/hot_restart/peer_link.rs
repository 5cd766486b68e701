//! A link to another process: a Unix socket that carries frames, some of them with a file descriptor.

use crate::hot_restart::frame::{Frame, FrameError, HEADER_BYTES, MAX_FRAME_BYTES};
use crate::net::io::poll::{Poll, Watch};
use crate::net::io::source::{Readiness, Source};
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::rc::Rc;

/// Maximum number of descriptors received with one system message.
const MAX_DESCRIPTORS_PER_MESSAGE: usize = 8;
/// Maximum number of received descriptors whose frames are incomplete.
const MAX_UNCLAIMED_DESCRIPTORS: usize = 4096;
/// Maximum number of bytes read with one system call.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// Why data received on a link is invalid.
#[derive(Debug, thiserror::Error)]
pub(in crate::net) enum LinkError {
    /// The bytes are not a valid frame.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// A frame that requires a descriptor was received without one.
    #[error("received a frame without the descriptor that must accompany it")]
    MissingDescriptor,
    /// More than [`MAX_UNCLAIMED_DESCRIPTORS`] descriptors were received without frames that claim them.
    #[error("received more than {MAX_UNCLAIMED_DESCRIPTORS} descriptors without the frames that claim them")]
    UnclaimedDescriptors,
}

/// A received frame with the descriptor that it carries, if any.
pub(super) struct ReceivedFrame {
    pub(super) frame: Frame,
    pub(super) descriptor: Option<OwnedFd>,
}

/// Why no more frames will be received.
pub(super) enum LinkFailure {
    /// The data received is invalid. Everything after it is discarded.
    InvalidInput(LinkError),
    /// The other process has closed the link.
    Closed,
}

/// A frame that waits to be sent or is partially sent.
struct OutgoingFrame {
    bytes: Vec<u8>,
    descriptor: Option<OwnedFd>,
}

/// A link to another process.
pub(super) struct PeerLink {
    id: u64,
    stream: Rc<UnixStream>,
    _watch: Watch,
    input: Vec<u8>,
    /// Offset of the first unprocessed frame in `input`.
    input_start: usize,
    /// Received descriptors whose frames have not been processed, in the order of their frames.
    descriptors: VecDeque<OwnedFd>,
    output: VecDeque<OutgoingFrame>,
    /// Number of bytes of the first outgoing frame that have been sent.
    written: usize,
    readiness: Readiness,
    closed: bool,
    /// Input is discarded; only the end of the link is still reported.
    discards_input: bool,
}

impl PeerLink {
    pub(super) fn new(poll: &Poll, stream: UnixStream) -> io::Result<PeerLink> {
        stream.set_nonblocking(true)?;
        let id = poll.next_id();
        let stream = Rc::new(stream);
        let watch = poll.watch(stream.clone(), Source::HotRestartPeer(id))?;
        Ok(PeerLink {
            id,
            stream,
            _watch: watch,
            input: Vec::new(),
            input_start: 0,
            descriptors: VecDeque::new(),
            output: VecDeque::new(),
            written: 0,
            readiness: Readiness { readable: true, writable: true },
            closed: false,
            discards_input: false,
        })
    }

    /// Records the socket's readiness if `id` is that of this link.
    pub(super) fn mark_ready(&mut self, id: u64, readiness: Readiness) {
        if self.id == id {
            self.readiness.readable |= readiness.readable;
            self.readiness.writable |= readiness.writable;
        }
    }

    /// Discards all input from here on; only the end of the link is still reported.
    pub(super) fn discard_input(&mut self) {
        self.discards_input = true;
    }

    /// Whether all frames have been sent.
    pub(super) fn all_sent(&self) -> bool {
        self.output.is_empty()
    }

    /// Queues a frame.
    pub(super) fn send(&mut self, frame: &Frame, descriptor: Option<OwnedFd>) {
        self.output.push_back(OutgoingFrame { bytes: frame.encode(), descriptor });
    }

    /// Returns the next frame if one has been received completely.
    pub(super) fn receive(&mut self) -> Result<Option<ReceivedFrame>, LinkFailure> {
        self.read();
        if self.discards_input {
            self.input = Vec::new();
            self.input_start = 0;
            self.descriptors.clear();
            return if self.closed { Err(LinkFailure::Closed) } else { Ok(None) };
        }
        match self.next_frame() {
            Ok(None) if self.closed => Err(LinkFailure::Closed),
            Ok(received) => Ok(received),
            Err(error) => {
                self.discard_input();
                Err(LinkFailure::InvalidInput(error))
            }
        }
    }

    fn next_frame(&mut self) -> Result<Option<ReceivedFrame>, LinkError> {
        let Some((frame, length)) = Frame::decode(&self.input[self.input_start..])? else {
            if self.descriptors.len() > MAX_UNCLAIMED_DESCRIPTORS {
                return Err(LinkError::UnclaimedDescriptors);
            }
            return Ok(None);
        };
        self.input_start += length;
        if !frame.carries_descriptor() {
            return Ok(Some(ReceivedFrame { frame, descriptor: None }));
        }
        let descriptor = self.descriptors.pop_front().ok_or(LinkError::MissingDescriptor)?;
        Ok(Some(ReceivedFrame { frame, descriptor: Some(descriptor) }))
    }

    /// Reads until a frame of maximum length would be complete or no more data is available.
    fn read(&mut self) {
        while self.readiness.readable
            && !self.closed
            && self.input.len() - self.input_start < MAX_FRAME_BYTES + HEADER_BYTES
        {
            // Consumed bytes are removed here rather than after each frame, which would move the remaining input each
            // time.
            self.input.drain(..std::mem::take(&mut self.input_start));
            self.read_chunk();
        }
    }

    fn read_chunk(&mut self) {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS_PER_MESSAGE))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let end = self.input.len();
        self.input.resize(end + READ_CHUNK_BYTES, 0);
        let mut buffers = [IoSliceMut::new(&mut self.input[end..])];
        let received = recvmsg(self.stream.as_fd(), &mut buffers, &mut control, RecvFlags::CMSG_CLOEXEC);
        for message in control.drain() {
            if let RecvAncillaryMessage::ScmRights(descriptors) = message {
                self.descriptors.extend(descriptors);
            }
        }
        self.input.truncate(end + received.as_ref().map_or(0, |message| message.bytes));
        match received.map_err(io::Error::from) {
            Ok(message) => self.closed = message.bytes == 0,
            Err(e) if e.kind() == ErrorKind::WouldBlock => self.readiness.readable = false,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => self.closed = true,
        }
    }

    /// Sends queued frames as far as the socket accepts them. Returns `true` if the rest must be retried without
    /// waiting for a readiness event.
    pub(super) fn flush(&mut self) -> bool {
        while self.readiness.writable && !self.output.is_empty() {
            match self.write_chunk() {
                Ok(()) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.readiness.writable = false,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // Too many descriptors are in flight; no readiness event reports when there are fewer.
                Err(e) if e.raw_os_error() == Some(rustix::io::Errno::TOOMANYREFS.raw_os_error()) => {
                    return true;
                }
                // The other process has closed the link, which the next read reports.
                Err(_) => {
                    self.output.clear();
                    self.written = 0;
                    self.closed = true;
                }
            }
        }
        false
    }

    /// Sends a part of the first outgoing frame. Its descriptor is sent with the first byte.
    fn write_chunk(&mut self) -> io::Result<()> {
        let Some(frame) = self.output.front() else { return Ok(()) };
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        let descriptors: Vec<_> = frame.descriptor.iter().map(AsFd::as_fd).collect();
        if !descriptors.is_empty() && self.written == 0 {
            control.push(SendAncillaryMessage::ScmRights(&descriptors));
        }
        let slices = [IoSlice::new(&frame.bytes[self.written..])];
        self.written += sendmsg(self.stream.as_fd(), &slices, &mut control, SendFlags::NOSIGNAL)?;
        if self.written == frame.bytes.len() {
            self.written = 0;
            self.output.pop_front();
        }
        Ok(())
    }
}
