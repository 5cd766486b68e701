//! Links that were accepted: workers', operators' and other coordinators'.

use super::server::{Server, MAX_QUEUED_BYTES};
use crate::coordinator::{next_frame, FRAME_HEADER_BYTES};
use crate::events::ServerEvent;
use port_worker::fleet::frame::MAX_CLIENT_FRAME_BYTES;
use port_worker::log::LogEvent;
use port_worker::net::io::buffer::{Filled, Link};
use port_worker::net::io::poll::{Accepted, Place};

/// A link without a complete frame for so long is closed (seconds): workers send a heartbeat every second.
const LINK_TIMEOUT_S: f64 = 30.0;
/// How often all links are looked at (seconds).
const SWEEP_INTERVAL_S: f64 = 1.0;
/// The largest number of frames that are taken from one link at once.
const MAX_FRAMES_AT_ONCE: usize = 128;

pub(super) struct Inbound {
    pub(super) link: Link,
    received_at: f64,
    /// Nothing is received any more; the link is closed once everything has been written.
    pub(super) closing: bool,
}

impl Inbound {
    /// Writes what waits; `true` where the link has ended.
    pub(super) fn flush_or_end(&mut self) -> bool {
        let broken = self.link.flush().is_err() || self.link.queued() > MAX_QUEUED_BYTES;
        broken || self.closing && self.link.queued() == 0
    }
}

/// What became of an attempt to take a frame from a link.
enum Taken {
    Frame,
    /// No complete frame has been received, or the link is closing.
    Nothing,
    /// The link is to be closed.
    Invalid,
}

impl Server {
    pub(super) fn accept(&mut self, now: f64) {
        let mut accepted = 0;
        while let Accepted::Stream(stream) = self.acceptor.accept(accepted) {
            accepted += 1;
            let id = self.poll.fresh();
            let buffer_bytes = MAX_CLIENT_FRAME_BYTES + FRAME_HEADER_BYTES;
            let link = stream
                .set_nonblocking(true)
                .and_then(|()| Link::new(&self.poll, stream, Place::Fleet(id), buffer_bytes));
            if let Ok(link) = link {
                self.coordinator.opened(id);
                self.touched.insert(id);
                self.inbound.insert(id, Inbound { link, received_at: now, closing: false });
            }
        }
    }

    pub(super) fn receive(&mut self, now: f64) {
        if now - self.swept_at >= SWEEP_INTERVAL_S {
            // Silent links are found by looking at all of them.
            self.swept_at = now;
            self.touched.extend(self.inbound.keys());
        }
        for id in std::mem::take(&mut self.touched) {
            self.receive_on(now, id);
        }
    }

    fn receive_on(&mut self, now: f64, id: u64) {
        let Some(inbound) = self.inbound.get_mut(&id).filter(|inbound| !inbound.closing) else { return };
        let filled = inbound.link.fill();
        let mut ended = filled != Filled::Open || now - inbound.received_at > LINK_TIMEOUT_S;
        for count in 1..=MAX_FRAMES_AT_ONCE {
            if count == MAX_FRAMES_AT_ONCE {
                self.touched.insert(id);
            }
            match self.take_frame(now, id) {
                Taken::Frame => {}
                Taken::Nothing => break,
                Taken::Invalid => {
                    ended = true;
                    break;
                }
            }
        }
        if ended {
            self.close_inbound(id);
        }
    }

    fn take_frame(&mut self, now: f64, id: u64) -> Taken {
        let limit = self.coordinator.max_frame_bytes(id);
        let Some(inbound) = self.inbound.get_mut(&id).filter(|inbound| !inbound.closing) else {
            return Taken::Nothing;
        };
        inbound.link.set_room(limit + FRAME_HEADER_BYTES);
        let result: Result<(), String> = match next_frame(inbound.link.data(), limit) {
            Ok(None) => {
                if inbound.link.unread() {
                    self.touched.insert(id);
                }
                return Taken::Nothing;
            }
            Ok(Some(frame)) => {
                let length = frame.length;
                let result = self.coordinator.receive(now, id, frame.body);
                inbound.received_at = now;
                inbound.link.consume(length);
                if inbound.link.unread() {
                    // The buffer was full: the rest is in the socket, which will not become readable again.
                    self.touched.insert(id);
                }
                result.map_err(|error| error.to_string())
            }
            Err(error) => Err(error.to_string()),
        };
        self.carry_out();
        match result {
            Ok(()) => Taken::Frame,
            Err(cause) => {
                ServerEvent::LinkRejected { link: id, cause }.emit();
                Taken::Invalid
            }
        }
    }

    pub(super) fn close_inbound(&mut self, id: u64) {
        if let Some(mut inbound) = self.inbound.remove(&id) {
            // The last message may still be sent.
            let _ = inbound.link.flush();
            self.coordinator.closed(id);
        }
    }
}
