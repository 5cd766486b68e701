//! Client for the executor: JSON objects, one per line. Notices are numbered, so that a new link resumes after the last
//! notice received.
//!
//! Commands sent shortly before a link is lost may be lost with it. The next link starts with JOIN and a METER command
//! that serves as a fence: once its response arrives, all earlier notices have been read, and the dispatcher is told
//! the time span of the commands that may be lost. Only the dispatcher decides which of them to resend.

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

/// Maximum length of a line (bytes); ample for a result of 4 KiB in base64.
const MAX_LINE_BYTES: usize = 64 * 1024;
/// Maximum size of the commands queued for a slow or disconnected executor (bytes); larger than any single request.
const MAX_QUEUED_BYTES: usize = 4 * 1024 * 1024;
/// Commands sent within this time before the loss of the link is noticed may be lost too (seconds): those of the last
/// 50 ms before the loss, plus 100 ms by which the event loop may lag.
const LOSS_WINDOW_S: f64 = 0.15;
/// Lower bound of the exponential backoff between connection attempts (seconds).
const MIN_RECONNECT_S: f64 = 0.02;
/// Upper bound of the exponential backoff between connection attempts (seconds).
const MAX_RECONNECT_S: f64 = 0.5;
/// Gauges older than this are ignored (seconds).
const MAX_GAUGE_AGE_S: f64 = 0.5;
/// Reference of METER commands that only request the gauges.
const GAUGES_REFERENCE: &str = "g";
/// Prefix of the reference of METER commands that serve as fences; the fence's number follows it.
const FENCE_PREFIX: char = 'f';

/// What the executor reports about its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Welcome {
    /// Whether it started with empty caches.
    pub cold: bool,
    /// When it started (event loop's clock, seconds).
    pub started: f64,
}

/// Time span in which commands were sent that may be lost (event loop's clock, seconds).
#[derive(Clone, Copy)]
struct LostCommands {
    from: f64,
    to: f64,
}

/// A connection to the executor, with its id as an event source.
struct ExecutorConnection {
    id: u64,
    link: Link,
}

/// Client for the executor.
pub struct Executor {
    address: SocketAddr,
    poll: Poll,
    /// The link in use.
    link: Option<ExecutorConnection>,
    /// A link being established, which will replace `link`.
    next_link: Option<ExecutorConnection>,
    /// Commands queued while there is no link; sent on the next one.
    queued_commands: Vec<Vec<u8>>,
    queued_command_bytes: usize,
    /// Last time at which the write queue was empty (event loop's clock, seconds).
    flushed_at: f64,
    /// The commands that may be lost, from the loss of a link until the response to the next link's fence arrives.
    lost_commands: Option<LostCommands>,
    /// Number of the last fence sent.
    last_fence: u64,
    /// Number of the last notice received.
    last_notice_number: u64,
    /// When the last notice was received (event loop's clock, seconds).
    last_notice_at: f64,
    welcome: Option<Welcome>,
    gauge_names: Vec<String>,
    /// The last gauges, with the time at which they were received.
    gauges: Option<(f64, Gauges)>,
    reconnect_backoff_s: f64,
    /// Time of the next connection attempt (event loop's clock, seconds); `None` if none is planned.
    reconnect_at: Option<f64>,
}

impl Executor {
    /// Creates a client that connects in the first turn.
    #[must_use]
    pub fn new(poll: &Poll, address: SocketAddr, gauge_names: Vec<String>) -> Executor {
        Executor {
            address,
            poll: poll.clone(),
            link: None,
            next_link: None,
            queued_commands: Vec::new(),
            queued_command_bytes: 0,
            flushed_at: 0.0,
            lost_commands: None,
            last_fence: 0,
            last_notice_number: 0,
            last_notice_at: 0.0,
            welcome: None,
            gauge_names,
            gauges: None,
            reconnect_backoff_s: MIN_RECONNECT_S,
            reconnect_at: Some(0.0),
        }
    }

    /// What the executor reported about its start; `None` before its first WELCOME.
    #[must_use]
    pub fn welcome(&self) -> Option<Welcome> {
        self.welcome
    }

    /// Whether a link is established.
    #[must_use]
    pub fn is_connected(&self) -> bool {
        self.link.is_some()
    }

    /// The last gauges, or the default if they are older than `MAX_GAUGE_AGE_S`.
    #[must_use]
    pub fn gauges(&self, now: f64) -> Gauges {
        let fresh = self.gauges.filter(|(at, _)| now - at < MAX_GAUGE_AGE_S);
        fresh.map_or(Gauges::default(), |(_, gauges)| gauges)
    }

    /// Time until the next connection attempt (seconds); `None` while connected or connecting.
    #[must_use]
    pub fn reconnect_in(&self, now: f64) -> Option<f64> {
        self.reconnect_at.map(|at| (at - now).max(0.0))
    }

    /// Records the readiness that the event loop reported for a link.
    pub fn mark_ready(&mut self, id: u64, readiness: Readiness) {
        for connection in [&mut self.link, &mut self.next_link].into_iter().flatten() {
            if connection.id == id {
                connection.link.mark_ready(readiness);
            }
        }
    }

    /// Sets a new address. The old link stays in use until one to the new address is established.
    pub fn set_address(&mut self, now: f64, address: SocketAddr) {
        if address == self.address {
            return;
        }
        self.address = address;
        self.next_link = None;
        self.reconnect_backoff_s = MIN_RECONNECT_S;
        self.reconnect_at = Some(now);
    }

    /// Connects if an attempt is due, and handles the notices received.
    pub fn gather(&mut self, now: f64, inputs: &mut Vec<Input>) {
        let is_established = self.poll_next_link(now);
        self.read(now, inputs);
        if is_established {
            self.switch_links(now);
            self.read(now, inputs);
        }
    }

    /// Replaces the current link by the one that has just been established.
    fn switch_links(&mut self, now: f64) {
        self.on_link_lost(now, LinkLossCause::Replaced);
        if let Some(next) = &mut self.next_link {
            next.link.push(Command::Join { n: self.last_notice_number }.to_line());
            if self.lost_commands.is_some() {
                self.last_fence += 1;
                let reference = format!("{FENCE_PREFIX}{}", self.last_fence);
                next.link.push(Command::Meter { r#ref: &reference }.to_line());
            }
            self.queued_commands.drain(..).for_each(|command| next.link.push(command));
            self.queued_command_bytes = 0;
            self.flushed_at = now;
        }
        self.link = self.next_link.take();
    }

    /// Handles the loss or replacement of the link: records which commands may be lost and schedules a reconnect.
    fn on_link_lost(&mut self, now: f64, cause: LinkLossCause<'_>) {
        if let Some(lost) = self.link.take() {
            ExecutorEvent::LinkLost(cause).emit();
            let unsent_since = if lost.link.queued() > 0 { self.flushed_at } else { now };
            // If the fence for an earlier loss is still outstanding, the spans of both losses are merged.
            let earlier = self.lost_commands.map_or(f64::INFINITY, |lost| lost.from);
            let from = earlier.min(unsent_since - LOSS_WINDOW_S);
            self.lost_commands = Some(LostCommands { from, to: now });
        }
        if self.next_link.is_none() {
            self.schedule_reconnect(now);
        }
    }

    fn schedule_reconnect(&mut self, now: f64) {
        self.reconnect_at = Some(now + self.reconnect_backoff_s);
        self.reconnect_backoff_s = (self.reconnect_backoff_s * 2.0).min(MAX_RECONNECT_S);
    }

    /// Connects if an attempt is due; returns whether a new link is established.
    fn poll_next_link(&mut self, now: f64) -> bool {
        if self.next_link.is_none() && self.reconnect_at.is_some_and(|at| now >= at) {
            self.connect(now);
        }
        match self.next_link.as_ref().and_then(|next| next.link.connected()) {
            None => false,
            Some(Ok(())) => true,
            Some(Err(error)) => {
                ExecutorEvent::ConnectFailed(&error).emit();
                self.next_link = None;
                self.schedule_reconnect(now);
                false
            }
        }
    }

    fn connect(&mut self, now: f64) {
        let id = self.poll.next_id();
        match Link::connect(&self.poll, self.address, Source::Executor(id), MAX_LINE_BYTES) {
            Ok(link) => {
                self.next_link = Some(ExecutorConnection { id, link });
                self.reconnect_at = None;
            }
            Err(error) => {
                ExecutorEvent::ConnectFailed(&error).emit();
                self.schedule_reconnect(now);
            }
        }
    }

    fn read(&mut self, now: f64, inputs: &mut Vec<Input>) {
        loop {
            let Some(ExecutorConnection { link, .. }) = &mut self.link else { return };
            let read_status = link.fill();
            let lines = Lines::parse(link.data());
            let exceeds_max_line = lines.length == 0 && link.data().len() >= MAX_LINE_BYTES;
            link.consume(lines.length);
            if lines.malformed {
                ExecutorEvent::NoticeMalformed(MalformedNotice::Line).emit();
            }
            for notice in lines.notices {
                self.handle_notice(now, notice, inputs);
                self.last_notice_at = now;
            }
            if exceeds_max_line {
                return self.on_link_lost(now, LinkLossCause::LineTooLong);
            }
            match read_status {
                ReadStatus::Open if lines.length == 0 => return,
                ReadStatus::Open => {}
                ReadStatus::Ended => return self.on_link_lost(now, LinkLossCause::Closed),
                ReadStatus::Broken => return self.on_link_lost(now, LinkLossCause::Reset),
            }
        }
    }

    /// Queues a command; returns `false` if the queue is full.
    fn send(&mut self, command: &Command) -> bool {
        let line = command.to_line();
        match &mut self.link {
            Some(ExecutorConnection { link, .. }) if link.queued() < MAX_QUEUED_BYTES => link.push(line),
            None if self.queued_command_bytes < MAX_QUEUED_BYTES => {
                self.queued_command_bytes += line.len();
                self.queued_commands.push(line);
            }
            _ => return false,
        }
        true
    }

    /// Starts a run; returns `false` if the command could not be queued, so that the run certainly did not start.
    pub fn run(&mut self, name: &str, class: usize, body: &[u8], catalog: &Catalog) -> bool {
        let data = STANDARD.encode(body);
        self.send(&Command::Exec { job: name, kind: catalog.class_name(class), data: &data })
    }

    /// Delivers the reply to a run's downstream call; returns `false` if the command could not be queued.
    pub fn resume(&mut self, name: &str, reply: &[u8]) -> bool {
        self.send(&Command::Return { job: name, data: &STANDARD.encode(reply) })
    }

    /// Lets a run continue without its downstream call; returns `false` if the command could not be queued.
    pub fn skip(&mut self, name: &str, sequence: u64) -> bool {
        self.send(&Command::Bypass { job: name, n: sequence })
    }

    /// Requests the gauges, unless earlier commands are still queued because the executor reads slowly or not at all.
    pub fn request_gauges(&mut self) {
        let idle = self.link.as_mut().filter(|connection| connection.link.queued() == 0);
        if let Some(ExecutorConnection { link, .. }) = idle {
            link.push(Command::Meter { r#ref: GAUGES_REFERENCE }.to_line());
        }
    }

    /// Writes queued commands until the socket would block.
    pub fn flush(&mut self, now: f64) {
        let Some(ExecutorConnection { link, .. }) = &mut self.link else { return };
        let flush_result = link.flush();
        if link.queued() == 0 {
            self.flushed_at = now;
        }
        if let Err(error) = flush_result {
            self.on_link_lost(now, LinkLossCause::WriteFailed(&error));
        }
    }
}
