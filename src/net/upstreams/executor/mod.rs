//! The link to the executor: one JSON object a line, notices numbered, resumed where it broke.
//!
//! Commands of the last moments before a break may be lost with it. The next link begins with JOIN and a METER command
//! that serves as a fence: once it is answered, all notices from before have been read, and the dispatcher learns
//! which commands may be lost. It alone decides which are sent again.

mod messages;
mod notices;

use crate::dispatch::Input;
use crate::interface::Gauges;
use crate::log::LogEvent;
use crate::net::events::{ExecutorEvent, LinkLossCause, MalformedNotice};
use crate::net::frontends::request_fields::Catalog;
use crate::net::io::buffer::{Link, ReadStatus};
use crate::net::io::poll::Poll;
use crate::net::io::source::{Readiness, Source};
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use messages::{Command, Lines};
use std::net::SocketAddr;

/// The longest line that is accepted (bytes): a result of 4 KiB in base64 leaves much room.
const MAX_LINE_BYTES: usize = 64 * 1024;
/// Commands that wait for the executor to read or to come back (bytes). A queued request is smaller.
const MAX_QUEUED_BYTES: usize = 4 * 1024 * 1024;
/// Commands sent this long before a break may be lost with it: 50 ms, and what this loop may lag (seconds).
const LOSS_WINDOW_S: f64 = 0.15;
/// Backoff between attempts to connect (seconds).
const MIN_RECONNECT_S: f64 = 0.02;
const MAX_RECONNECT_S: f64 = 0.5;
/// Gauges older than this are not used (seconds).
const MAX_GAUGE_AGE_S: f64 = 0.5;
/// References of commands for gauges: a fence's has its number behind the prefix.
const GAUGES_REFERENCE: &str = "g";
const FENCE_PREFIX: char = 'f';

/// What the executor reports of its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Welcome {
    /// It started with empty caches.
    pub cold: bool,
    /// When it started, on the loop's clock.
    pub started: f64,
}

/// A span of time whose commands may be lost (loop's clock, seconds).
#[derive(Clone, Copy)]
struct LostCommands {
    from: f64,
    to: f64,
}

/// A connection to the executor, by its number in the loop.
struct NumberedLink {
    number: u64,
    link: Link,
}

/// The executor as this worker sees it.
pub struct Executor {
    address: SocketAddr,
    poll: Poll,
    /// The link in use.
    link: Option<NumberedLink>,
    /// The link that is being established to take its place.
    next_link: Option<NumberedLink>,
    /// Commands for the next link, given since the last one broke.
    waiting: Vec<Vec<u8>>,
    waiting_bytes: usize,
    /// When all commands were last seen to have gone out.
    flushed_at: f64,
    /// Set by a break until the fence of the next link is answered.
    lost_commands: Option<LostCommands>,
    /// The number of the last fence.
    fence: u64,
    /// The number of the last notice.
    last_notice: u64,
    /// When the last notice came, on the loop's clock.
    last_heard: f64,
    welcome: Option<Welcome>,
    gauge_names: Vec<String>,
    /// The last gauges, and when they came.
    gauges: Option<(f64, Gauges)>,
    reconnect_pause_s: f64,
    reconnect_at: Option<f64>,
}

impl Executor {
    /// An executor that is connected to with the first turn.
    #[must_use]
    pub fn new(poll: &Poll, address: SocketAddr, gauge_names: Vec<String>) -> Executor {
        Executor {
            address,
            poll: poll.clone(),
            link: None,
            next_link: None,
            waiting: Vec::new(),
            waiting_bytes: 0,
            flushed_at: 0.0,
            lost_commands: None,
            fence: 0,
            last_notice: 0,
            last_heard: 0.0,
            welcome: None,
            gauge_names,
            gauges: None,
            reconnect_pause_s: MIN_RECONNECT_S,
            reconnect_at: Some(0.0),
        }
    }

    /// What the executor reported of its start, once it is up.
    #[must_use]
    pub fn welcome(&self) -> Option<Welcome> {
        self.welcome
    }

    /// Whether a link is established.
    #[must_use]
    pub fn is_connected(&self) -> bool {
        self.link.is_some()
    }

    /// The gauges, unless they are stale.
    #[must_use]
    pub fn gauges(&self, now: f64) -> Gauges {
        let fresh = self.gauges.filter(|(at, _)| now - at < MAX_GAUGE_AGE_S);
        fresh.map_or(Gauges::default(), |(_, gauges)| gauges)
    }

    /// How long until the next attempt to connect; `None` while there is a link or an attempt.
    #[must_use]
    pub fn reconnect_in(&self, now: f64) -> Option<f64> {
        self.reconnect_at.map(|at| (at - now).max(0.0))
    }

    /// Notes the readiness that the loop reports.
    pub fn mark(&mut self, number: u64, readiness: Readiness) {
        for connection in [&mut self.link, &mut self.next_link].into_iter().flatten() {
            if connection.number == number {
                connection.link.mark(readiness);
            }
        }
    }

    /// The executor has another address. The old link is used until the new one is established.
    pub fn set_address(&mut self, now: f64, address: SocketAddr) {
        if address == self.address {
            return;
        }
        self.address = address;
        self.next_link = None;
        self.reconnect_pause_s = MIN_RECONNECT_S;
        self.reconnect_at = Some(now);
    }

    /// Connects when it is time, and handles what the executor has sent.
    pub fn gather(&mut self, now: f64, inputs: &mut Vec<Input>) {
        let established = self.establish(now);
        self.read(now, inputs);
        if established {
            self.switch_links(now);
            self.read(now, inputs);
        }
    }

    /// Makes the link that has been established the one in use.
    fn switch_links(&mut self, now: f64) {
        self.link_lost(now, LinkLossCause::Replaced);
        if let Some(next) = &mut self.next_link {
            next.link.push(Command::Join { n: self.last_notice }.to_line());
            if self.lost_commands.is_some() {
                self.fence += 1;
                let reference = format!("{FENCE_PREFIX}{}", self.fence);
                next.link.push(Command::Meter { r#ref: &reference }.to_line());
            }
            self.waiting.drain(..).for_each(|command| next.link.push(command));
            self.waiting_bytes = 0;
            self.flushed_at = now;
        }
        self.link = self.next_link.take();
    }

    /// The link is broken, or replaced by another.
    fn link_lost(&mut self, now: f64, cause: LinkLossCause<'_>) {
        if let Some(lost) = self.link.take() {
            ExecutorEvent::LinkLost(cause).emit();
            let unflushed_since = if lost.link.queued() > 0 { self.flushed_at } else { now };
            // A break before the fence of an earlier one is answered leaves both spans in doubt.
            let earlier = self.lost_commands.map_or(f64::INFINITY, |lost| lost.from);
            let from = earlier.min(unflushed_since - LOSS_WINDOW_S);
            self.lost_commands = Some(LostCommands { from, to: now });
        }
        if self.next_link.is_none() {
            self.back_off(now);
        }
    }

    fn back_off(&mut self, now: f64) {
        self.reconnect_at = Some(now + self.reconnect_pause_s);
        self.reconnect_pause_s = (self.reconnect_pause_s * 2.0).min(MAX_RECONNECT_S);
    }

    /// Connects when it is time; `true` once a new link is established.
    fn establish(&mut self, now: f64) -> bool {
        if self.next_link.is_none() && self.reconnect_at.is_some_and(|at| now >= at) {
            self.connect(now);
        }
        match self.next_link.as_ref().and_then(|next| next.link.connected()) {
            None => false,
            Some(Ok(())) => true,
            Some(Err(fault)) => {
                ExecutorEvent::ConnectFailed(&fault).emit();
                self.next_link = None;
                self.back_off(now);
                false
            }
        }
    }

    fn connect(&mut self, now: f64) {
        let number = self.poll.next_id();
        match Link::connect(&self.poll, self.address, Source::Executor(number), MAX_LINE_BYTES) {
            Ok(link) => {
                self.next_link = Some(NumberedLink { number, link });
                self.reconnect_at = None;
            }
            Err(fault) => {
                ExecutorEvent::ConnectFailed(&fault).emit();
                self.back_off(now);
            }
        }
    }

    fn read(&mut self, now: f64, inputs: &mut Vec<Input>) {
        loop {
            let Some(NumberedLink { link, .. }) = &mut self.link else { return };
            let filled = link.fill();
            let lines = Lines::parse(link.data());
            let endless = lines.length == 0 && link.data().len() >= MAX_LINE_BYTES;
            link.consume(lines.length);
            if lines.malformed {
                ExecutorEvent::NoticeMalformed(MalformedNotice::Line).emit();
            }
            for notice in lines.notices {
                self.handle_notice(now, notice, inputs);
                self.last_heard = now;
            }
            if endless {
                return self.link_lost(now, LinkLossCause::LineTooLong);
            }
            match filled {
                ReadStatus::Open if lines.length == 0 => return,
                ReadStatus::Open => {}
                ReadStatus::Ended => return self.link_lost(now, LinkLossCause::Closed),
                ReadStatus::Broken => return self.link_lost(now, LinkLossCause::Reset),
            }
        }
    }

    /// Queues a command; `false` where too much is queued already.
    fn send(&mut self, command: &Command) -> bool {
        let line = command.to_line();
        match &mut self.link {
            Some(NumberedLink { link, .. }) if link.queued() < MAX_QUEUED_BYTES => link.push(line),
            None if self.waiting_bytes < MAX_QUEUED_BYTES => {
                self.waiting_bytes += line.len();
                self.waiting.push(line);
            }
            _ => return false,
        }
        true
    }

    /// Starts a run; `false` where the command could not even be queued, so that nothing has run.
    pub fn run(&mut self, name: &str, class: usize, body: &[u8], known: &Catalog) -> bool {
        let data = STANDARD.encode(body);
        self.send(&Command::Exec { job: name, kind: known.class_name(class), data: &data })
    }

    /// Gives a run the reply to its downstream call; `false` where the command could not be queued.
    pub fn resume(&mut self, name: &str, reply: &[u8]) -> bool {
        self.send(&Command::Return { job: name, data: &STANDARD.encode(reply) })
    }

    /// Lets a run go on without its downstream call; `false` where the command could not be queued.
    pub fn skip(&mut self, name: &str, sequence: u64) -> bool {
        self.send(&Command::Bypass { job: name, n: sequence })
    }

    /// Asks for the gauges, unless commands wait to be written: then the executor is not reading.
    pub fn request_gauges(&mut self) {
        let idle = self.link.as_mut().filter(|connection| connection.link.queued() == 0);
        if let Some(NumberedLink { link, .. }) = idle {
            link.push(Command::Meter { r#ref: GAUGES_REFERENCE }.to_line());
        }
    }

    /// Writes what the executor takes.
    pub fn flush(&mut self, now: f64) {
        let Some(NumberedLink { link, .. }) = &mut self.link else { return };
        let flushed = link.flush();
        if link.queued() == 0 {
            self.flushed_at = now;
        }
        if let Err(fault) = flushed {
            self.link_lost(now, LinkLossCause::WriteFailed(&fault));
        }
    }
}
