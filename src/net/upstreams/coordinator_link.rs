//! The link to the coordinators, and the calls that a lease's holder makes: sockets round [`crate::fleet`].
//!
//! Nothing of a turn waits for it. One link, bounded both ways; calls are as many as the operator's tasks at most. Its
//! clock goes on while the machine sleeps, since a lease does not wait for that.

use crate::fleet::frame::{self, CallOutcome, Counters, ServerMessage, MAX_SERVER_FRAME_BYTES};
use crate::fleet::tasks::ScheduledCall;
use crate::fleet::{FleetMember, MemberAction, MembershipConfig};
use crate::net::io::buffer::{Filled, Link};
use crate::net::io::poll::{Place, Poll};
use crate::net::io::timer_wheel::{Timer, Wheel};
use crate::net::Log;
use rustix::time::{clock_gettime, ClockId};
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;

/// A reply's head at most (bytes); what follows is not read.
const HEAD_MOST: usize = 8 * 1024;
const HEADERS_MOST: usize = 64;
/// What may wait to be written to a coordinator (bytes); a link that takes no more is of no use.
const QUEUED_MOST: usize = 256 * 1024;
/// Words of one turn at most: the rest waits for the next.
const WORDS_MOST: usize = 64;

/// One scheduled call.
struct Call {
    id: u64,
    link: Link,
    connected: bool,
    until: f64,
    order: ScheduledCall,
    request: Option<Vec<u8>>,
}

/// The link and the calls.
pub struct Fleet {
    poll: Poll,
    pub member: FleetMember,
    link: Option<(u64, Link, bool)>,
    calls: Vec<Call>,
    /// When the wheel wakes for it next, on the wheel's clock.
    armed: f64,
    start: f64,
    more: bool,
}

/// Seconds on a clock that no setting of the time moves and that goes on during sleep.
fn boot_s() -> f64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

impl Fleet {
    pub fn new(poll: &Poll, plan: MembershipConfig) -> Fleet {
        let dice = RandomState::new();
        let start = boot_s();
        Fleet {
            poll: poll.clone(),
            member: FleetMember::new(0.0, plan, dice.hash_one("process"), dice.hash_one("pauses")),
            link: None,
            calls: Vec::new(),
            armed: f64::INFINITY,
            start,
            more: false,
        }
    }

    /// The fleet's own time.
    pub fn now(&self) -> f64 {
        boot_s() - self.start
    }

    pub fn mark(&mut self, id: u64, readable: bool, writable: bool) {
        if let Some((_, link, _)) = self.link.as_mut().filter(|(own, ..)| *own == id) {
            link.mark(readable, writable);
        } else if let Some(call) = self.calls.iter_mut().find(|c| c.id == id) {
            call.link.mark(readable, writable);
        }
    }

    /// One turn: what has come, what is due, what is to go out. `figures` are asked for when they are to be told.
    pub fn turn(&mut self, loop_now: f64, figures: impl Fn() -> Counters, wheel: &mut Wheel, log: &mut Log) {
        self.more = false;
        let now = self.now();
        self.hear(now);
        self.follow_calls(now);
        self.member.tick(now, &figures);
        for round in 0..8 {
            let acts = self.member.take_actions();
            if acts.is_empty() {
                break;
            }
            for act in acts {
                self.carry_out(now, act, log);
            }
            self.more |= round == 7;
        }
        if let Some((_, link, connected)) = &mut self.link {
            if *connected && (link.flush().is_err() || link.queued() > QUEUED_MOST) {
                self.drop_link(now);
            }
        }
        if self.more {
            // The rest comes with the next turn.
            wheel.set(loop_now, 0.0, Timer::Again);
        }
        let due = self.calls.iter().map(|c| c.until).fold(self.member.next_wakeup(now), f64::min);
        let at = loop_now + (due - now).clamp(0.004, 3600.0);
        // Timers are never taken off the wheel: one that is early does no harm, but there must not be many.
        if at < self.armed - 0.004 || self.armed <= loop_now {
            self.armed = at;
            wheel.set(loop_now, at - loop_now, Timer::Fleet);
        }
    }

    fn drop_link(&mut self, now: f64) {
        self.link = None;
        self.member.disconnected(now);
    }

    fn hear(&mut self, now: f64) {
        let Some((_, link, connected)) = &mut self.link else { return };
        if !*connected {
            match link.connected() {
                None => return,
                Some(Ok(())) => {
                    *connected = true;
                    link.mark(true, true);
                    self.member.connected();
                }
                Some(Err(_)) => return self.drop_link(now),
            }
        }
        let Some((_, link, _)) = &mut self.link else { return };
        let filled = link.fill();
        let mut words = Vec::new();
        let mut bad = false;
        while words.len() < WORDS_MOST {
            match frame::decode::<ServerMessage>(link.data(), MAX_SERVER_FRAME_BYTES) {
                Ok(Some((word, length))) => {
                    link.consume(length);
                    words.push(word);
                }
                Ok(None) => break,
                Err(_) => {
                    bad = true;
                    break;
                }
            }
        }
        self.more |= words.len() == WORDS_MOST || link.unread();
        for word in &words {
            self.member.receive(now, word);
        }
        if bad || filled != Filled::Open {
            self.drop_link(now);
        }
    }

    fn carry_out(&mut self, now: f64, act: MemberAction, log: &mut Log) {
        match act {
            MemberAction::Connect(to) => {
                let id = self.poll.fresh();
                match Link::connect(&self.poll, to, Place::Fleet(id), MAX_SERVER_FRAME_BYTES + 4) {
                    Ok(link) => self.link = Some((id, link, false)),
                    Err(_) => self.member.disconnected(now),
                }
            }
            MemberAction::Send(say) => {
                if let Some((_, link, _)) = &mut self.link {
                    link.push(frame::encode(&say));
                }
            }
            MemberAction::Close => {
                if let Some((_, link, _)) = &mut self.link {
                    // The last words may still go.
                    let _ = link.flush();
                }
                self.link = None;
            }
            MemberAction::Call(order) => self.call(now, order),
            MemberAction::Log(text) => log.line(&text),
        }
    }

    fn call(&mut self, now: f64, order: ScheduledCall) {
        let plan = self.member.config();
        let Some(task) = plan.tasks.get(order.task) else { return };
        let request = format!(
            "POST {} HTTP/1.1\r\nHost: {}\r\nFencing-Token: {}\r\nTask-Period: {}\r\nTask: {}\r\nTask-Holder: {}\r\n\
             Content-Length: 0\r\nConnection: close\r\n\r\n",
            task.path, task.address, order.held.token, order.period, task.name, plan.name
        );
        let id = self.poll.fresh();
        let until = now + task.deadline_s;
        match Link::connect(&self.poll, task.address, Place::Fleet(id), HEAD_MOST) {
            Ok(link) => {
                let request = Some(request.into_bytes());
                self.calls.push(Call { id, link, connected: false, until, order, request });
            }
            Err(_) => self.member.call_ended(now, order.task, CallOutcome::NotDone),
        }
    }

    fn follow_calls(&mut self, now: f64) {
        let mut ended = Vec::new();
        self.calls.retain_mut(|call| {
            let ending = follow(call, now);
            ended.extend(ending.map(|ending| (call.order.task, ending)));
            ending.is_none()
        });
        for (task, ending) in ended {
            self.member.call_ended(now, task, ending);
        }
    }
}

/// How a call stands: `None` while it goes on.
fn follow(call: &mut Call, now: f64) -> Option<CallOutcome> {
    // Until a byte has gone, nothing can have come of it.
    let cut_off = |call: &Call| if call.link.sent == 0 { CallOutcome::NotDone } else { CallOutcome::Unknown };
    if !call.connected {
        match call.link.connected() {
            None => {}
            Some(Ok(())) => {
                call.connected = true;
                call.link.mark(true, true);
                if let Some(request) = call.request.take() {
                    call.link.push(request);
                }
            }
            Some(Err(_)) => return Some(CallOutcome::NotDone),
        }
    }
    if now >= call.until {
        return Some(cut_off(call));
    }
    if !call.connected {
        return None;
    }
    if call.link.flush().is_err() {
        return Some(cut_off(call));
    }
    let filled = call.link.fill();
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
    let mut head = httparse::Response::new(&mut headers);
    match head.parse(call.link.data()) {
        Ok(httparse::Status::Complete(_)) => Some(match head.code {
            Some(200..=299) => CallOutcome::Done,
            // Refused before anything was done: a lower token, or no time for it now.
            Some(409 | 412 | 429 | 503) => CallOutcome::NotDone,
            _ => CallOutcome::Unknown,
        }),
        Ok(httparse::Status::Partial) if filled == Filled::Open && call.link.data().len() < HEAD_MOST => None,
        _ => Some(cut_off(call)),
    }
}
