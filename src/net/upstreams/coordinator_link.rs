//! The link to the coordinators, and the scheduled calls of a lease holder: sockets around [`crate::fleet`].
//!
//! No turn of the worker waits for it. There is one link, with bounded buffers in both directions, and at most one call for
//! each of the operator's tasks. Its clock goes on while the machine is suspended, since leases expire meanwhile.

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

/// Most bytes that may wait to be written to a coordinator; a link that accepts no more is closed.
const MAX_QUEUED_BYTES: usize = 256 * 1024;
/// Most messages that are read in a turn: the rest waits for the next.
const MAX_MESSAGES_PER_TURN: usize = 64;
/// Most times in a turn that actions are taken which follow from earlier ones: the rest waits for the next.
const MAX_ACTION_ROUNDS: usize = 8;
/// Room in the receive buffer for the length in front of a frame.
const FRAME_HEAD_BYTES: usize = 4;
/// Resolution of the worker's timers (seconds).
const TIMER_RESOLUTION_S: f64 = 0.004;
/// The longest time until the next turn (seconds).
const MAX_SLEEP_S: f64 = 3600.0;

/// The connection to one coordinator.
struct CoordinatorConnection {
    id: u64,
    link: Link,
    connected: bool,
}

/// A worker's membership with its sockets.
pub struct CoordinatorLink {
    poll: Poll,
    /// The membership itself.
    pub member: FleetMember,
    connection: Option<CoordinatorConnection>,
    calls: Vec<CallInFlight>,
    /// When the timer wheel wakes for it next, on the wheel's clock.
    wakes_at: f64,
    started_at: f64,
    /// Something is left for the next turn.
    work_left: bool,
}

/// Seconds on a clock that is never set, and goes on while the machine is suspended.
fn boot_time_s() -> f64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

impl CoordinatorLink {
    /// A membership that is not connected yet.
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
            wakes_at: f64::INFINITY,
            started_at,
            work_left: false,
        }
    }

    /// Time on the membership's own clock (seconds since it was made).
    #[must_use]
    pub fn now(&self) -> f64 {
        boot_time_s() - self.started_at
    }

    /// Notes that a socket has become ready.
    pub fn mark(&mut self, id: u64, readiness: Readiness) {
        if let Some(connection) = self.connection.as_mut().filter(|connection| connection.id == id) {
            connection.link.mark(readiness);
        } else if let Some(call) = self.calls.iter_mut().find(|call| call.id == id) {
            call.link.mark(readiness);
        }
    }

    /// Handles what has arrived and what is due, and writes what is to be sent. `counters` is called when they are due.
    pub fn turn(&mut self, loop_now: f64, counters: impl Fn() -> Counters, wheel: &mut Wheel) {
        self.work_left = false;
        let now = self.now();
        self.receive(now);
        self.poll_calls(now);
        self.member.tick(now, &counters);
        self.carry_out_actions(now);
        self.flush(now);
        self.schedule_next_turn(now, loop_now, wheel);
    }

    fn close_connection(&mut self, now: f64) {
        self.connection = None;
        self.member.disconnected(now);
    }

    /// Completes the connection, and handles the messages that have arrived on it.
    fn receive(&mut self, now: f64) {
        let Some(connection) = &mut self.connection else { return };
        if !connection.connected {
            match connection.link.connected() {
                None => return,
                Some(Ok(())) => {
                    connection.connected = true;
                    connection.link.mark(Readiness { readable: true, writable: true });
                    self.member.connected();
                }
                Some(Err(_)) => return self.close_connection(now),
            }
        }
        let link = &mut connection.link;
        let filled = link.fill();
        let (messages, is_malformed) = read_messages(link);
        self.work_left |= messages.len() == MAX_MESSAGES_PER_TURN || link.has_unread();
        for message in &messages {
            self.member.receive(now, message);
        }
        if is_malformed || filled != ReadStatus::Open {
            self.close_connection(now);
        }
    }

    fn carry_out_actions(&mut self, now: f64) {
        for round in 1..=MAX_ACTION_ROUNDS {
            let actions = self.member.take_actions();
            if actions.is_empty() {
                break;
            }
            for action in actions {
                self.carry_out(now, action);
            }
            self.work_left |= round == MAX_ACTION_ROUNDS;
        }
    }

    fn carry_out(&mut self, now: f64, action: MemberAction) {
        match action {
            MemberAction::Connect(address) => self.connect(now, address),
            MemberAction::Send(message) => {
                if let Some(connection) = &mut self.connection {
                    connection.link.push(frame::encode(&message));
                }
            }
            MemberAction::Close => {
                if let Some(connection) = &mut self.connection {
                    // The last messages may still go out.
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
        let room = MAX_SERVER_FRAME_BYTES + FRAME_HEAD_BYTES;
        match Link::connect(&self.poll, address, Source::Coordinator(id), room) {
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
        if self.work_left {
            wheel.set(loop_now, 0.0, Timer::NextTurn);
        }
        let due = self.calls.iter().map(|call| call.deadline).fold(self.member.next_wakeup(now), f64::min);
        let wakes_at = loop_now + (due - now).clamp(TIMER_RESOLUTION_S, MAX_SLEEP_S);
        // Timers are never taken off the wheel: one that is early does no harm, but there must not be many.
        if wakes_at < self.wakes_at - TIMER_RESOLUTION_S || self.wakes_at <= loop_now {
            self.wakes_at = wakes_at;
            wheel.set(loop_now, wakes_at - loop_now, Timer::Fleet);
        }
    }

    fn start_call(&mut self, now: f64, call: &ScheduledCall) {
        let config = self.member.config();
        let Some(task) = config.tasks.get(call.task) else { return };
        let id = self.poll.next_id();
        let started = CallInFlight::start(&self.poll, id, now, task, &config.name, call);
        match started {
            Ok(started) => self.calls.push(started),
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

/// Takes the messages that have arrived completely, up to the limit of a turn, and whether a malformed one followed.
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
