//! The links between a process and its successor: Unix sockets in `$TMPDIR` that carry frames, and descriptors with
//! some of them. What is done about what they say is decided in `src/handover/`.

use crate::hot_restart::frame::{Frame, FRAME_MOST, HEAD};
use crate::net::io::poll::{Place, Poll, Watch};
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// The socket's name in `$TMPDIR`.
const NAME: &str = "honeypost-handover.sock";
/// Descriptors that one message of the system may carry here, and that wait for their frames at most.
const DESCRIPTORS_A_MESSAGE: usize = 8;
const DESCRIPTORS_MOST: usize = 4096;
/// Bytes read in one step.
const STEP: usize = 16 * 1024;
/// Links and listeners of this kind: to the old process, to the new one, and one that waits.
const LINKS: usize = 4;

/// One link.
struct Peer {
    number: u64,
    stream: Rc<UnixStream>,
    _watch: Watch,
    input: Vec<u8>,
    /// Where the first frame begins in it.
    start: usize,
    descriptors: VecDeque<OwnedFd>,
    output: VecDeque<(Vec<u8>, Option<OwnedFd>)>,
    /// Bytes of the first frame that have gone out.
    written: usize,
    readable: bool,
    writable: bool,
    ended: bool,
    /// It said what can't be read: only its end still counts.
    deaf: bool,
}

/// What a look at a link has brought.
enum Look {
    Frame(Frame, Option<OwnedFd>),
    Damaged(String),
    Ended,
    Nothing,
}

impl Peer {
    fn new(poll: &Poll, stream: UnixStream) -> io::Result<Peer> {
        stream.set_nonblocking(true)?;
        let number = poll.fresh();
        let stream = Rc::new(stream);
        let watch = poll.watch(stream.clone(), Place::Handover(number))?;
        Ok(Peer {
            number,
            stream,
            _watch: watch,
            input: Vec::new(),
            start: 0,
            descriptors: VecDeque::new(),
            output: VecDeque::new(),
            written: 0,
            readable: true,
            writable: true,
            ended: false,
            deaf: false,
        })
    }

    fn read(&mut self) {
        while self.readable && !self.ended && self.input.len() - self.start < FRAME_MOST + HEAD {
            // Only here, not with each frame: what waits would be moved for every one.
            self.input.drain(..std::mem::take(&mut self.start));
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(DESCRIPTORS_A_MESSAGE))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let at = self.input.len();
            self.input.resize(at + STEP, 0);
            let mut room = [IoSliceMut::new(&mut self.input[at..])];
            let got = recvmsg(self.stream.as_fd(), &mut room, &mut control, RecvFlags::CMSG_CLOEXEC);
            for message in control.drain() {
                if let RecvAncillaryMessage::ScmRights(descriptors) = message {
                    self.descriptors.extend(descriptors);
                }
            }
            self.input.truncate(at + got.as_ref().map_or(0, |m| m.bytes));
            match got.map_err(io::Error::from) {
                Ok(message) => self.ended = message.bytes == 0,
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.readable = false,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => self.ended = true,
            }
        }
    }

    /// The next frame, or what stands in its place.
    fn look(&mut self) -> Look {
        self.read();
        if self.deaf {
            (self.input, self.start) = (Vec::new(), 0);
            self.descriptors.clear();
            return if self.ended { Look::Ended } else { Look::Nothing };
        }
        match Frame::decode(&self.input[self.start..]) {
            Ok(Some((frame, length))) => {
                self.start += length;
                let descriptor = if frame.carries() { self.descriptors.pop_front() } else { None };
                if frame.carries() && descriptor.is_none() {
                    return self.damaged("a frame came without its descriptor".to_owned());
                }
                Look::Frame(frame, descriptor)
            }
            Ok(None) if self.descriptors.len() > DESCRIPTORS_MOST => {
                self.damaged("descriptors without frames".to_owned())
            }
            Ok(None) if self.ended => Look::Ended,
            Ok(None) => Look::Nothing,
            Err(why) => self.damaged(why),
        }
    }

    fn damaged(&mut self, why: String) -> Look {
        self.deaf = true;
        Look::Damaged(why)
    }

    fn push(&mut self, frame: &Frame, descriptor: Option<OwnedFd>) {
        self.output.push_back((frame.encode(), descriptor));
    }

    /// Writes what the other side takes; `true` if the rest must be tried again without an event.
    fn flush(&mut self) -> bool {
        while self.writable {
            let Some((bytes, descriptor)) = self.output.front() else { return false };
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut control = SendAncillaryBuffer::new(&mut space);
            let with: Vec<_> = descriptor.iter().map(AsFd::as_fd).collect();
            if !with.is_empty() && self.written == 0 {
                control.push(SendAncillaryMessage::ScmRights(&with));
            }
            let slices = [IoSlice::new(&bytes[self.written..])];
            let sent = sendmsg(self.stream.as_fd(), &slices, &mut control, SendFlags::NOSIGNAL);
            match sent.map_err(io::Error::from) {
                Ok(n) => {
                    self.written += n;
                    if self.written == bytes.len() {
                        self.written = 0;
                        self.output.pop_front();
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.writable = false,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // Too many descriptors are on their way: no event tells when there are fewer.
                Err(e) if e.raw_os_error() == Some(rustix::io::Errno::TOOMANYREFS.raw_os_error()) => {
                    return true;
                }
                // It has gone, which shows in reading.
                Err(_) => {
                    self.output.clear();
                    self.written = 0;
                    self.ended = true;
                }
            }
        }
        false
    }
}

/// What was heard on the links, in order.
pub enum Heard {
    /// Of the process before this one.
    Old(Frame, Option<OwnedFd>),
    OldDamaged(String),
    OldLost,
    /// Of the process after this one.
    New(Frame),
    NewDamaged(String),
    NewLost,
}

/// What a first look round has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    Nobody,
    Dead,
    Linked,
}

/// The links of one process.
pub struct Links {
    path: PathBuf,
    poll: Poll,
    listener: Option<(Rc<UnixListener>, Watch)>,
    waiting: bool,
    old: Option<Peer>,
    new: Option<Peer>,
}

impl Links {
    pub fn new(poll: &Poll, folder: &Path) -> Links {
        let poll = poll.apart(LINKS);
        Links { path: folder.join(NAME), poll, listener: None, waiting: false, old: None, new: None }
    }

    /// Looks for a process that serves already.
    pub fn seek(&mut self) -> io::Result<Found> {
        match UnixStream::connect(&self.path).and_then(|stream| Peer::new(&self.poll, stream)) {
            Ok(peer) => {
                self.old = Some(peer);
                Ok(Found::Linked)
            }
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(Found::Nobody),
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => Ok(Found::Dead),
            Err(e) => Err(e),
        }
    }

    /// Can be found from here on, in the place of whoever could be before.
    pub fn listen(&mut self) -> io::Result<()> {
        let new = self.path.with_extension(format!("{}", std::process::id()));
        // What a process of the same number has left behind.
        let _ = std::fs::remove_file(&new);
        let listener = Rc::new(UnixListener::bind(&new)?);
        listener.set_nonblocking(true)?;
        let watch = self.poll.watch(listener.clone(), Place::HandoverListener)?;
        std::fs::rename(&new, &self.path)?;
        (self.listener, self.waiting) = (Some((listener, watch)), true);
        Ok(())
    }

    /// Can be found no more; the socket's file is another process's by now.
    pub fn stop_listening(&mut self) {
        self.listener = None;
    }

    /// Leaves no file behind for the next process to wonder about.
    pub fn leave(&mut self) {
        if self.listener.take().is_some() {
            let _ = std::fs::remove_file(&self.path);
        }
    }

    pub fn mark_listener(&mut self) {
        self.waiting = true;
    }

    pub fn mark(&mut self, number: u64, readable: bool, writable: bool) {
        for peer in [&mut self.old, &mut self.new].into_iter().flatten().filter(|p| p.number == number) {
            peer.readable |= readable;
            peer.writable |= writable;
        }
    }

    /// The next thing that one of the links has to say.
    pub fn hear(&mut self) -> Option<Heard> {
        if let Some(peer) = &mut self.old {
            match peer.look() {
                Look::Frame(frame, descriptor) => return Some(Heard::Old(frame, descriptor)),
                Look::Damaged(why) => return Some(Heard::OldDamaged(why)),
                Look::Ended => {
                    self.old = None;
                    return Some(Heard::OldLost);
                }
                Look::Nothing => {}
            }
        }
        if self.new.is_none() && self.waiting {
            if let Some((listener, _)) = &self.listener {
                match listener.accept() {
                    Ok((stream, _)) => self.new = Peer::new(&self.poll, stream).ok(),
                    Err(_) => self.waiting = false,
                }
            }
        }
        match self.new.as_mut()?.look() {
            Look::Frame(frame, _) => Some(Heard::New(frame)),
            Look::Damaged(why) => Some(Heard::NewDamaged(why)),
            Look::Ended => {
                self.new = None;
                self.waiting = true;
                Some(Heard::NewLost)
            }
            Look::Nothing => None,
        }
    }

    pub fn to_old(&mut self, frame: &Frame) {
        if let Some(peer) = &mut self.old {
            peer.push(frame, None);
        }
    }

    pub fn to_new(&mut self, frame: &Frame, descriptor: Option<OwnedFd>) {
        if let Some(peer) = &mut self.new {
            peer.push(frame, descriptor);
        }
    }

    pub fn drop_new(&mut self) {
        self.new = None;
        self.waiting = true;
    }

    /// Keeps a silent link to the old process in the place of the one that was talked on.
    pub fn watch_old(&mut self) {
        self.old = None;
        if let Ok(Found::Linked) = self.seek() {
            if let Some(peer) = &mut self.old {
                peer.deaf = true;
            }
        }
    }

    /// Whether a successor is linked.
    pub fn has_new(&self) -> bool {
        self.new.is_some()
    }

    /// Whether all that was said has gone out.
    pub fn quiet(&self) -> bool {
        [&self.old, &self.new].into_iter().flatten().all(|p| p.output.is_empty())
    }

    /// Writes what the others take; `true` if the rest must be tried again without an event.
    pub fn flush(&mut self) -> bool {
        let mut again = false;
        for peer in [&mut self.old, &mut self.new].into_iter().flatten() {
            again |= peer.flush();
        }
        again
    }
}

/// Takes over the listening socket that the platform names: another descriptor for it, in non-blocking mode.
pub fn inherited(number: &str) -> Result<Rc<std::net::TcpListener>, String> {
    use std::os::fd::{BorrowedFd, RawFd};
    let wrong = |found: String| {
        format!("ROUTER_SOCKET_FD: expected the number of a descriptor that listens, found {found}")
    };
    // Those below are the standard streams.
    let fd: RawFd = number.parse().ok().filter(|fd| *fd > 2).ok_or_else(|| wrong(format!("{number:?}")))?;
    // The platform has opened it for this process and nothing here closes it, so it stays what it is while it is
    // borrowed; a number that names nothing shows in the first call.
    #[allow(unsafe_code)]
    let borrowed = unsafe { BorrowedFd::borrow_raw(fd) };
    match rustix::net::sockopt::socket_acceptconn(borrowed) {
        Ok(true) => {}
        Ok(false) => return Err(wrong(format!("{fd}, a socket that does not"))),
        Err(e) => return Err(wrong(format!("{fd}: {}", io::Error::from(e)))),
    }
    let own = borrowed.try_clone_to_owned().map_err(|e| wrong(format!("{fd}: {e}")))?;
    let listener = std::net::TcpListener::from(own);
    listener.set_nonblocking(true).map_err(|e| wrong(format!("{fd}: {e}")))?;
    Ok(Rc::new(listener))
}
