//! A scheduled call: an HTTP request without a body; only the head of its response is read.

use crate::fleet::frame::CallOutcome;
use crate::fleet::tasks::{Schedule, ScheduledCall};
use crate::net::io::buffer::{Link, ReadStatus};
use crate::net::io::poll::Poll;
use crate::net::io::source::{Readiness, Source};
use std::io;

/// Maximum length of a response's head (bytes); the body is not read.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum number of headers in a response.
const MAX_HEADERS: usize = 64;

/// A call in flight.
pub(super) struct CallInFlight {
    pub(super) id: u64,
    pub(super) link: Link,
    /// Time at which it times out (membership's clock, seconds).
    pub(super) deadline: f64,
    /// Index of its task in the configuration.
    pub(super) task: usize,
    connected: bool,
    /// The request; taken once it is queued on the link.
    request: Option<Vec<u8>>,
}

impl CallInFlight {
    /// Starts connecting to the task's address.
    ///
    /// # Errors
    /// Connecting failed immediately, so the call certainly had no effect.
    pub(super) fn start(
        poll: &Poll,
        id: u64,
        now: f64,
        schedule: &Schedule,
        holder: &str,
        call: &ScheduledCall,
    ) -> io::Result<CallInFlight> {
        let link = Link::connect(poll, schedule.address, Source::Coordinator(id), MAX_HEAD_BYTES)?;
        Ok(CallInFlight {
            id,
            link,
            deadline: now + schedule.deadline_s,
            task: call.task,
            connected: false,
            request: Some(encode_request(schedule, holder, call)),
        })
    }

    /// Advances the call; returns its outcome once it has ended.
    pub(super) fn poll(&mut self, now: f64) -> Option<CallOutcome> {
        if !self.connected && self.poll_connect().is_err() {
            return Some(CallOutcome::NotDone);
        }
        if now >= self.deadline {
            return Some(self.outcome_without_response());
        }
        if !self.connected {
            return None;
        }
        if self.link.flush().is_err() {
            return Some(self.outcome_without_response());
        }
        let read_status = self.link.fill();
        self.read_head(read_status)
    }

    /// Queues the request once the connection is established.
    fn poll_connect(&mut self) -> io::Result<()> {
        let Some(result) = self.link.connected() else { return Ok(()) };
        result?;
        self.connected = true;
        self.link.mark_ready(Readiness { readable: true, writable: true });
        if let Some(request) = self.request.take() {
            self.link.push(request);
        }
        Ok(())
    }

    /// The outcome of a call that ended without a response. If no byte was sent, it can't have had an effect.
    fn outcome_without_response(&self) -> CallOutcome {
        if self.link.sent == 0 {
            CallOutcome::NotDone
        } else {
            CallOutcome::Unknown
        }
    }

    fn read_head(&self, read_status: ReadStatus) -> Option<CallOutcome> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let is_incomplete = match head.parse(self.link.data()) {
            Ok(httparse::Status::Complete(_)) => return Some(outcome_of_status(head.code)),
            Ok(httparse::Status::Partial) => {
                read_status == ReadStatus::Open && self.link.data().len() < MAX_HEAD_BYTES
            }
            Err(_) => false,
        };
        (!is_incomplete).then(|| self.outcome_without_response())
    }
}

fn encode_request(schedule: &Schedule, holder: &str, call: &ScheduledCall) -> Vec<u8> {
    format!(
        "POST {} HTTP/1.1\r\nHost: {}\r\nFencing-Token: {}\r\nTask-Period: {}\r\nTask: {}\r\nTask-Holder: {}\r\n\
         Content-Length: 0\r\nConnection: close\r\n\r\n",
        schedule.path, schedule.address, call.lease.token, call.period, schedule.name, holder
    )
    .into_bytes()
}

fn outcome_of_status(status: Option<u16>) -> CallOutcome {
    match status {
        Some(200..=299) => CallOutcome::Done,
        // Rejected without any effect: the service knows a higher fencing token, or can't handle the call now.
        Some(409 | 412 | 429 | 503) => CallOutcome::NotDone,
        _ => CallOutcome::Unknown,
    }
}
