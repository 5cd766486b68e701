//! The link to the coordinators and the scheduled calls of a lease holder: the network side of [`crate::fleet`].
//!
//! It never blocks a turn of the worker. There is one link, with bounded buffers in both directions, and at most one
//! call in flight per task. Its clock includes time during which the machine is suspended, since leases expire
//! meanwhile.

mod scheduled_call;

use crate::fleet::frame::{self, CallOutcome, Counters, ServerMessage, MAX_SERVER_FRAME_BYTES};
use crate::fleet::tasks::ScheduledCall;
use crate::fleet::{FleetMember, Incarnation, MemberAction, MembershipConfig};
use crate::log::LogEvent;
use crate::net::io::buffer::{Link, ReadStatus};
use crate::net::io::poll::Poll;
use crate::net::io::source::{Readiness, Source};
use crate::net::io::timer_wheel::{Timer, Wheel};
use rustix::time::{clock_gettime, ClockId};
use scheduled_call::CallInFlight;
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::net::SocketAddr;

/// Maximum number of bytes queued for a coordinator; a link with more is closed.
const MAX_QUEUED_BYTES: usize = 256 * 1024;
/// Maximum number of messages read in one turn; further ones are read in the next turn.
const MAX_MESSAGES_PER_TURN: usize = 64;
/// Executing actions can produce further actions. This is the maximum number of times in one turn that the new actions
/// are taken and executed; the rest is left for the next turn.
const MAX_ACTION_ROUNDS: usize = 8;
/// Size of a frame's length prefix (bytes).
const LENGTH_PREFIX_BYTES: usize = 4;
/// Resolution of the worker's timer wheel (seconds).
const TIMER_RESOLUTION_S: f64 = 0.004;
/// Maximum time until the next `Timer::Fleet` expires (seconds).
const MAX_SLEEP_S: f64 = 3600.0;

/// The connection to one coordinator.
struct CoordinatorConnection {
    id: u64,
    link: Link,
    connected: bool,
}

/// A worker's fleet membership with its sockets.
pub struct CoordinatorLink {
    poll: Poll,
    /// The state machine of the membership.
    pub member: FleetMember,
    connection: Option<CoordinatorConnection>,
    calls: Vec<CallInFlight>,
    /// When the next [`Timer::Fleet`] expires (event loop's clock, seconds).
    next_wakeup_at: f64,
    /// When the membership was created (boot clock, seconds).
    started_at: f64,
    /// Whether messages or actions are left for the next turn.
    has_pending_work: bool,
}

/// Seconds on a monotonic clock that includes time during which the machine is suspended.
fn boot_time_s() -> f64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

impl CoordinatorLink {
    /// Creates a membership that is not connected yet.
    #[must_use]
    pub fn new(poll: &Poll, config: MembershipConfig) -> CoordinatorLink {
        let random = RandomState::new();
        let incarnation = random.hash_one("process");
        let backoff_seed = random.hash_one("pauses");
        let started_at = boot_time_s();
        CoordinatorLink {
            poll: poll.clone(),
            member: FleetMember::new(0.0, config, Incarnation(incarnation), backoff_seed),
            connection: None,
            calls: Vec::new(),
            next_wakeup_at: f64::INFINITY,
            started_at,
            has_pending_work: false,
        }
    }

    /// Time on the membership's clock (seconds since its creation).
    #[must_use]
    pub fn now(&self) -> f64 {
        boot_time_s() - self.started_at
    }

    /// Records the readiness that the event loop reported for a socket.
    pub fn mark_ready(&mut self, id: u64, readiness: Readiness) {
        if let Some(connection) = self.connection.as_mut().filter(|connection| connection.id == id) {
            connection.link.mark_ready(readiness);
        } else if let Some(call) = self.calls.iter_mut().find(|call| call.id == id) {
            call.link.mark_ready(readiness);
        }
    }

    /// Handles received messages and expired timers, and writes queued messages. `counters` is only called if a report
    /// of them is due.
    pub fn turn(&mut self, loop_now: f64, counters: impl Fn() -> Counters, wheel: &mut Wheel) {
        self.has_pending_work = false;
        let now = self.now();
        self.receive(now);
        self.poll_calls(now);
        self.member.tick(now, &counters);
        self.execute_actions(now);
        self.flush(now);
        self.schedule_next_turn(now, loop_now, wheel);
    }

    /// Whether a leaving worker has nothing more to send to the coordinators.
    #[must_use]
    pub fn has_left(&self) -> bool {
        let is_flushed = self.connection.as_ref().is_none_or(|connection| connection.link.queued() == 0);
        is_flushed && self.member.has_left()
    }

    /// Ends the scheduled calls in flight and reports them as indeterminate, since the process exits now.
    pub fn abandon_calls(&mut self) {
        let now = self.now();
        self.calls.clear();
        self.member.abandon_calls(now);
        self.execute_actions(now);
        self.flush(now);
    }

    fn close_connection(&mut self, now: f64) {
        self.connection = None;
        self.member.disconnected(now);
    }

    /// Finishes connecting if necessary, and handles the messages received on the connection.
    fn receive(&mut self, now: f64) {
        let Some(connection) = &mut self.connection else { return };
        if !connection.connected {
            match connection.link.connected() {
                None => return,
                Some(Ok(())) => {
                    connection.connected = true;
                    connection.link.mark_ready(Readiness { readable: true, writable: true });
                    self.member.connected();
                }
                Some(Err(_)) => return self.close_connection(now),
            }
        }
        let link = &mut connection.link;
        let read_status = link.fill();
        let (messages, is_malformed) = read_messages(link);
        self.has_pending_work |= messages.len() == MAX_MESSAGES_PER_TURN || link.has_unread();
        for message in &messages {
            self.member.receive(now, message);
        }
        if is_malformed || read_status != ReadStatus::Open {
            self.close_connection(now);
        }
    }

    fn execute_actions(&mut self, now: f64) {
        for round in 1..=MAX_ACTION_ROUNDS {
            let actions = self.member.take_actions();
            if actions.is_empty() {
                break;
            }
            for action in actions {
                self.execute(now, action);
            }
            self.has_pending_work |= round == MAX_ACTION_ROUNDS;
        }
    }

    fn execute(&mut self, now: f64, action: MemberAction) {
        match action {
            MemberAction::Connect(address) => self.connect(now, address),
            MemberAction::Send(message) => {
                if let Some(connection) = &mut self.connection {
                    connection.link.push(frame::encode(&message));
                }
            }
            MemberAction::Close => {
                if let Some(connection) = &mut self.connection {
                    // Sends the last messages if the socket accepts them; what it does not accept is lost.
                    let _ = connection.link.flush();
                }
                self.connection = None;
            }
            MemberAction::Call(call) => self.start_call(now, &call),
            MemberAction::Log(event) => event.emit(),
        }
    }

    fn connect(&mut self, now: f64, address: SocketAddr) {
        let id = self.poll.next_id();
        let buffer_bytes = MAX_SERVER_FRAME_BYTES + LENGTH_PREFIX_BYTES;
        match Link::connect(&self.poll, address, Source::Coordinator(id), buffer_bytes) {
            Ok(link) => self.connection = Some(CoordinatorConnection { id, link, connected: false }),
            Err(_) => self.member.disconnected(now),
        }
    }

    fn flush(&mut self, now: f64) {
        let Some(connection) = self.connection.as_mut().filter(|connection| connection.connected) else {
            return;
        };
        if connection.link.flush().is_err() || connection.link.queued() > MAX_QUEUED_BYTES {
            self.close_connection(now);
        }
    }

    fn schedule_next_turn(&mut self, now: f64, loop_now: f64, wheel: &mut Wheel) {
        if self.has_pending_work {
            wheel.set(loop_now, 0.0, Timer::NextTurn);
        }
        let next_due =
            self.calls.iter().map(|call| call.deadline).fold(self.member.next_wakeup(now), f64::min);
        let next_wakeup_at = loop_now + (next_due - now).clamp(TIMER_RESOLUTION_S, MAX_SLEEP_S);
        // Timers can't be removed from the wheel. One that expires too early is harmless, but to keep their number
        // small, a new one is set only if it expires before the pending one or if none is pending.
        if next_wakeup_at < self.next_wakeup_at - TIMER_RESOLUTION_S || self.next_wakeup_at <= loop_now {
            self.next_wakeup_at = next_wakeup_at;
            wheel.set(loop_now, next_wakeup_at - loop_now, Timer::Fleet);
        }
    }

    fn start_call(&mut self, now: f64, call: &ScheduledCall) {
        let config = self.member.config();
        let Some(schedule) = config.tasks.get(call.task) else { return };
        let id = self.poll.next_id();
        let result = CallInFlight::start(&self.poll, id, now, schedule, &config.name, call);
        match result {
            Ok(call) => self.calls.push(call),
            Err(_) => self.member.call_ended(now, call.task, CallOutcome::NotDone),
        }
    }

    fn poll_calls(&mut self, now: f64) {
        let mut ended = Vec::new();
        self.calls.retain_mut(|call| {
            let outcome = call.poll(now);
            ended.extend(outcome.map(|outcome| (call.task, outcome)));
            outcome.is_none()
        });
        for (task, outcome) in ended {
            self.member.call_ended(now, task, outcome);
        }
    }
}

/// Takes the complete messages from the receive buffer, [`MAX_MESSAGES_PER_TURN`] at most; also returns whether a
/// malformed one followed.
fn read_messages(link: &mut Link) -> (Vec<ServerMessage>, bool) {
    let mut messages = Vec::new();
    while messages.len() < MAX_MESSAGES_PER_TURN {
        match frame::decode::<ServerMessage>(link.data(), MAX_SERVER_FRAME_BYTES) {
            Ok(Some((message, length))) => {
                link.consume(length);
                messages.push(message);
            }
            Ok(None) => break,
            Err(_) => return (messages, true),
        }
    }
    (messages, false)
}
