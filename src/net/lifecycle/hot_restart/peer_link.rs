//! One link to another process: a Unix socket that carries frames, and file descriptors with some of them.

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

/// Descriptors that one message of the system may carry here.
const MAX_DESCRIPTORS_PER_MESSAGE: usize = 8;
/// Descriptors that may wait for their frames.
const MAX_UNCLAIMED_DESCRIPTORS: usize = 4096;
/// Bytes read in one step.
const READ_STEP_BYTES: usize = 16 * 1024;

/// Why what came on a link can't be used.
#[derive(Debug, thiserror::Error)]
pub(in crate::net) enum LinkError {
    /// The bytes are not a frame.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// A frame that needs a descriptor came without one.
    #[error("a frame came without its descriptor")]
    MissingDescriptor,
    /// More descriptors came than frames can claim.
    #[error("descriptors without frames")]
    UnclaimedDescriptors,
}

/// A frame, with the descriptor that it carries.
pub(super) struct ReceivedFrame {
    pub(super) frame: Frame,
    pub(super) descriptor: Option<OwnedFd>,
}

/// Why no frame will be received any more.
pub(super) enum LinkFailure {
    /// What came can't be used. Nothing is read as a frame after it.
    Damaged(LinkError),
    /// The other process has closed the link.
    Closed,
}

/// A frame that is being sent.
struct OutgoingFrame {
    bytes: Vec<u8>,
    descriptor: Option<OwnedFd>,
}

/// One link.
pub(super) struct PeerLink {
    number: u64,
    stream: Rc<UnixStream>,
    _watch: Watch,
    input: Vec<u8>,
    /// Where the first frame begins in the input.
    input_start: usize,
    descriptors: VecDeque<OwnedFd>,
    output: VecDeque<OutgoingFrame>,
    /// Bytes of the first outgoing frame that have been sent.
    written: usize,
    readiness: Readiness,
    closed: bool,
    /// What comes is discarded: only the end of the link still counts.
    discards_input: bool,
}

impl PeerLink {
    pub(super) fn new(poll: &Poll, stream: UnixStream) -> io::Result<PeerLink> {
        stream.set_nonblocking(true)?;
        let number = poll.next_id();
        let stream = Rc::new(stream);
        let watch = poll.watch(stream.clone(), Source::HotRestartPeer(number))?;
        Ok(PeerLink {
            number,
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

    /// Notes that the loop has found the socket ready.
    pub(super) fn mark_ready(&mut self, number: u64, readiness: Readiness) {
        if self.number == number {
            self.readiness.readable |= readiness.readable;
            self.readiness.writable |= readiness.writable;
        }
    }

    /// From here on only the end of the link counts.
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

    /// The next frame, if one has been received completely.
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
                Err(LinkFailure::Damaged(error))
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

    /// Reads until a frame of any length would be complete, or nothing more is there.
    fn read(&mut self) {
        while self.readiness.readable
            && !self.closed
            && self.input.len() - self.input_start < MAX_FRAME_BYTES + HEADER_BYTES
        {
            // Only here, not with each frame: what waits would be moved for every one.
            self.input.drain(..std::mem::take(&mut self.input_start));
            self.read_step();
        }
    }

    fn read_step(&mut self) {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS_PER_MESSAGE))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let end = self.input.len();
        self.input.resize(end + READ_STEP_BYTES, 0);
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

    /// Sends what the other process takes; `true` if the rest must be tried again without an event.
    pub(super) fn flush(&mut self) -> bool {
        while self.readiness.writable && !self.output.is_empty() {
            match self.write_step() {
                Ok(()) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.readiness.writable = false,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // Too many descriptors are on their way: no event tells when there are fewer.
                Err(e) if e.raw_os_error() == Some(rustix::io::Errno::TOOMANYREFS.raw_os_error()) => {
                    return true;
                }
                // The other process has gone, which shows in reading.
                Err(_) => {
                    self.output.clear();
                    self.written = 0;
                    self.closed = true;
                }
            }
        }
        false
    }

    /// Sends a part of the first outgoing frame; a descriptor goes with its first byte.
    fn write_step(&mut self) -> io::Result<()> {
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
