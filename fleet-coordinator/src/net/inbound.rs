//! Accepted links, from workers, operators and other coordinators.

use super::limits::MAX_QUEUED_BYTES;
use crate::coordinator::{next_frame, FRAME_HEADER_BYTES};
use crate::ids::LinkId;
use port_worker::fleet::frame::MAX_CLIENT_FRAME_BYTES;
use port_worker::net::io::buffer::{Link, ReadStatus};
use port_worker::net::io::poll::{Accepted, Acceptor, Poll};
use port_worker::net::io::source::Source;
use std::collections::{BTreeMap, BTreeSet};

/// A link is closed after this time without a complete frame (seconds). Workers send a heartbeat every second.
const LINK_TIMEOUT_S: f64 = 30.0;
/// How often all links are checked for timeouts (seconds), since a silent link causes no event.
const SWEEP_INTERVAL_S: f64 = 1.0;

/// All accepted links, by number.
#[derive(Default)]
pub(super) struct InboundLinks {
    links: BTreeMap<LinkId, Inbound>,
    /// Links that may have received data.
    readable_links: BTreeSet<LinkId>,
    /// When all links were last checked.
    swept_at: f64,
}

struct Inbound {
    link: Link,
    /// When the last complete frame was received.
    received_at: f64,
    /// Nothing is received any more; the link is closed once all queued data has been written.
    closing: bool,
}

impl Inbound {
    /// Writes queued data; returns whether the link must be closed.
    fn flush(&mut self) -> bool {
        let failed = self.link.flush().is_err() || self.link.queued() > MAX_QUEUED_BYTES;
        failed || self.closing && self.link.queued() == 0
    }
}

/// The state of a link after it was read from.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum LinkState {
    /// More data may arrive.
    Open,
    /// The link has ended or timed out; data received before is still to be processed.
    Ended,
}

/// The result of reading a frame from a link.
pub(super) enum ReadResult<E> {
    /// A frame was read, and its receiver returned this.
    Frame(Result<(), E>),
    /// There is no complete frame, or the link is closing.
    Nothing,
    /// The frame exceeds the limit.
    TooLong(String),
}

impl InboundLinks {
    /// Accepts pending connections; returns the numbers of the new links.
    pub(super) fn accept(&mut self, now: f64, poll: &Poll, acceptor: &mut Acceptor) -> Vec<LinkId> {
        let mut opened = Vec::new();
        let mut accepted = 0;
        while let Accepted::Stream(stream) = acceptor.accept(accepted) {
            accepted += 1;
            let number = poll.next_id();
            let id = LinkId(number);
            let buffer_bytes = MAX_CLIENT_FRAME_BYTES + FRAME_HEADER_BYTES;
            let link = stream
                .set_nonblocking(true)
                .and_then(|()| Link::new(poll, stream, Source::Coordinator(number), buffer_bytes));
            if let Ok(link) = link {
                self.readable_links.insert(id);
                self.links.insert(id, Inbound { link, received_at: now, closing: false });
                opened.push(id);
            }
        }
        opened
    }

    /// Returns the link's buffers; `None` if it is not an accepted link.
    pub(super) fn link(&mut self, id: LinkId) -> Option<&mut Link> {
        self.links.get_mut(&id).map(|inbound| &mut inbound.link)
    }

    /// Records that the link may have received data.
    pub(super) fn mark_readable(&mut self, id: LinkId) {
        self.readable_links.insert(id);
    }

    /// Returns the links to read from: those that may have received data, and once per [`SWEEP_INTERVAL_S`] all links.
    pub(super) fn take_readable(&mut self, now: f64) -> BTreeSet<LinkId> {
        if now - self.swept_at >= SWEEP_INTERVAL_S {
            self.swept_at = now;
            self.readable_links.extend(self.links.keys());
        }
        std::mem::take(&mut self.readable_links)
    }

    /// Reads from the link; returns `None` if nothing is received on it any more.
    pub(super) fn fill(&mut self, now: f64, id: LinkId) -> Option<LinkState> {
        let inbound = self.open_link(id)?;
        let is_open = inbound.link.fill() == ReadStatus::Open && now - inbound.received_at <= LINK_TIMEOUT_S;
        Some(if is_open { LinkState::Open } else { LinkState::Ended })
    }

    /// Passes the next frame, whose body may have at most `limit` bytes, to `receive`.
    pub(super) fn take_frame<E>(
        &mut self,
        now: f64,
        id: LinkId,
        limit: usize,
        receive: impl FnOnce(&[u8]) -> Result<(), E>,
    ) -> ReadResult<E> {
        let Some(inbound) = self.open_link(id) else { return ReadResult::Nothing };
        inbound.link.set_max_unread_bytes(limit + FRAME_HEADER_BYTES);
        let taken = match next_frame(inbound.link.data(), limit) {
            Err(error) => return ReadResult::TooLong(error.to_string()),
            Ok(None) => ReadResult::Nothing,
            Ok(Some(frame)) => {
                let length = frame.length;
                let result = receive(frame.body);
                inbound.received_at = now;
                inbound.link.consume(length);
                ReadResult::Frame(result)
            }
        };
        if inbound.link.has_unread() {
            // The buffer was full. The rest is still in the socket, which will not signal readiness again.
            self.readable_links.insert(id);
        }
        taken
    }

    fn open_link(&mut self, id: LinkId) -> Option<&mut Inbound> {
        self.links.get_mut(&id).filter(|inbound| !inbound.closing)
    }

    /// Stops receiving on the link, and closes it once all queued data has been written.
    pub(super) fn start_closing(&mut self, id: LinkId) {
        if let Some(inbound) = self.links.get_mut(&id) {
            inbound.closing = true;
        }
    }

    /// Writes queued data on all links; returns those that must be closed.
    pub(super) fn flush(&mut self) -> Vec<LinkId> {
        let ended = self.links.iter_mut().filter_map(|(id, inbound)| inbound.flush().then_some(*id));
        ended.collect()
    }

    /// Closes a link; returns `false` if it was closed already.
    pub(super) fn close(&mut self, id: LinkId) -> bool {
        let Some(mut inbound) = self.links.remove(&id) else { return false };
        // Tries to send the data that is still queued.
        let _ = inbound.link.flush();
        true
    }
}
