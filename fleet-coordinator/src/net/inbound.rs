//! Links that were accepted: workers', operators' and other coordinators'.

use super::limits::MAX_QUEUED_BYTES;
use crate::coordinator::{next_frame, FRAME_HEADER_BYTES};
use crate::ids::LinkId;
use port_worker::fleet::frame::MAX_CLIENT_FRAME_BYTES;
use port_worker::net::io::buffer::{Link, ReadStatus};
use port_worker::net::io::poll::{Accepted, Acceptor, Poll};
use port_worker::net::io::source::Source;
use std::collections::{BTreeMap, BTreeSet};

/// A link without a complete frame for so long is closed (seconds): workers send a heartbeat every second.
const LINK_TIMEOUT_S: f64 = 30.0;
/// How often all links are checked, since nothing else notices silent ones (seconds).
const SWEEP_INTERVAL_S: f64 = 1.0;

/// All links that were accepted, by number.
#[derive(Default)]
pub(super) struct InboundLinks {
    links: BTreeMap<LinkId, Inbound>,
    /// Links on which something may have been received.
    touched: BTreeSet<LinkId>,
    /// When all links were last checked.
    swept_at: f64,
}

struct Inbound {
    link: Link,
    /// When the last complete frame was received.
    received_at: f64,
    /// Nothing is received any more; the link is closed once everything has been written.
    closing: bool,
}

impl Inbound {
    /// Writes what waits; `true` where the link has ended.
    fn flush_or_end(&mut self) -> bool {
        let broken = self.link.flush().is_err() || self.link.queued() > MAX_QUEUED_BYTES;
        broken || self.closing && self.link.queued() == 0
    }
}

/// Whether a link goes on after it was read from.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum LinkState {
    /// More may come.
    Open,
    /// It has ended or was silent for too long: what has been received is still to be processed.
    Ended,
}

/// The result of an attempt to take a frame from a link.
pub(super) enum Taken<E> {
    /// A frame was taken, and its receiver returned this.
    Frame(Result<(), E>),
    /// No complete frame has been received, or the link is closing.
    Nothing,
    /// The link sends a frame that is too long.
    TooLong(String),
}

impl InboundLinks {
    /// Accepts links that wait at the socket; returns their numbers.
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
                self.touched.insert(id);
                self.links.insert(id, Inbound { link, received_at: now, closing: false });
                opened.push(id);
            }
        }
        opened
    }

    /// The link's buffers; `None` where it is not one of these.
    pub(super) fn link(&mut self, id: LinkId) -> Option<&mut Link> {
        self.links.get_mut(&id).map(|inbound| &mut inbound.link)
    }

    /// Something may have been received on this link.
    pub(super) fn touch(&mut self, id: LinkId) {
        self.touched.insert(id);
    }

    /// Takes the numbers of links that are to be read from.
    pub(super) fn take_touched(&mut self, now: f64) -> BTreeSet<LinkId> {
        if now - self.swept_at >= SWEEP_INTERVAL_S {
            self.swept_at = now;
            self.touched.extend(self.links.keys());
        }
        std::mem::take(&mut self.touched)
    }

    /// Reads from the link; `None` where nothing is received on it any more.
    pub(super) fn fill(&mut self, now: f64, id: LinkId) -> Option<LinkState> {
        let inbound = self.open_link(id)?;
        let is_open = inbound.link.fill() == ReadStatus::Open && now - inbound.received_at <= LINK_TIMEOUT_S;
        Some(if is_open { LinkState::Open } else { LinkState::Ended })
    }

    /// Passes one frame with a body of at most `limit` bytes to `receive`.
    pub(super) fn take_frame<E>(
        &mut self,
        now: f64,
        id: LinkId,
        limit: usize,
        receive: impl FnOnce(&[u8]) -> Result<(), E>,
    ) -> Taken<E> {
        let Some(inbound) = self.open_link(id) else { return Taken::Nothing };
        inbound.link.set_max_unread_bytes(limit + FRAME_HEADER_BYTES);
        let taken = match next_frame(inbound.link.data(), limit) {
            Err(error) => return Taken::TooLong(error.to_string()),
            Ok(None) => Taken::Nothing,
            Ok(Some(frame)) => {
                let length = frame.length;
                let result = receive(frame.body);
                inbound.received_at = now;
                inbound.link.consume(length);
                Taken::Frame(result)
            }
        };
        if inbound.link.has_unread() {
            // The buffer was full: the rest is in the socket, which will not become readable again.
            self.touched.insert(id);
        }
        taken
    }

    fn open_link(&mut self, id: LinkId) -> Option<&mut Inbound> {
        self.links.get_mut(&id).filter(|inbound| !inbound.closing)
    }

    /// Receives no more on the link, and closes it once everything has been written.
    pub(super) fn start_closing(&mut self, id: LinkId) {
        if let Some(inbound) = self.links.get_mut(&id) {
            inbound.closing = true;
        }
    }

    /// Writes what waits on all links; returns those that have ended.
    pub(super) fn flush(&mut self) -> Vec<LinkId> {
        let ended = self.links.iter_mut().filter_map(|(id, inbound)| inbound.flush_or_end().then_some(*id));
        ended.collect()
    }

    /// Closes a link; `false` where it was closed before.
    pub(super) fn close(&mut self, id: LinkId) -> bool {
        let Some(mut inbound) = self.links.remove(&id) else { return false };
        // The last message may still be sent.
        let _ = inbound.link.flush();
        true
    }
}
