//! One scheduled call: a request without a body, of whose response only the head is read.

use crate::fleet::frame::CallOutcome;
use crate::fleet::tasks::{Schedule, ScheduledCall};
use crate::net::io::buffer::{Link, ReadStatus};
use crate::net::io::poll::Poll;
use crate::net::io::source::{Readiness, Source};
use std::io;

/// Largest head of a response (bytes); what follows it is not read.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Most headers in a response.
const MAX_HEADERS: usize = 64;

/// A call whose response is awaited.
pub(super) struct CallInFlight {
    pub(super) id: u64,
    pub(super) link: Link,
    /// When it has failed at the latest.
    pub(super) deadline: f64,
    /// Index of its task in the configuration.
    pub(super) task: usize,
    connected: bool,
    /// The request, until it is handed to the link.
    request: Option<Vec<u8>>,
}

impl CallInFlight {
    /// Connects to the task's address.
    ///
    /// # Errors
    /// The connection could not even be begun: the call certainly had no effect.
    pub(super) fn start(
        poll: &Poll,
        id: u64,
        now: f64,
        task: &Schedule,
        holder: &str,
        call: &ScheduledCall,
    ) -> io::Result<CallInFlight> {
        let link = Link::connect(poll, task.address, Source::Coordinator(id), MAX_HEAD_BYTES)?;
        Ok(CallInFlight {
            id,
            link,
            deadline: now + task.deadline_s,
            task: call.task,
            connected: false,
            request: Some(request(task, holder, call)),
        })
    }

    /// Advances the call; its outcome once it has ended.
    pub(super) fn poll(&mut self, now: f64) -> Option<CallOutcome> {
        if !self.connected && self.connect().is_err() {
            return Some(CallOutcome::NotDone);
        }
        if now >= self.deadline {
            return Some(self.interrupted());
        }
        if !self.connected {
            return None;
        }
        if self.link.flush().is_err() {
            return Some(self.interrupted());
        }
        let filled = self.link.fill();
        self.read_head(filled)
    }

    /// Sends the request once the connection stands.
    fn connect(&mut self) -> io::Result<()> {
        let Some(result) = self.link.connected() else { return Ok(()) };
        result?;
        self.connected = true;
        self.link.mark(Readiness { readable: true, writable: true });
        if let Some(request) = self.request.take() {
            self.link.push(request);
        }
        Ok(())
    }

    /// The outcome of a call without a response. Until a byte has been sent, it can't have had an effect.
    fn interrupted(&self) -> CallOutcome {
        if self.link.sent == 0 {
            CallOutcome::NotDone
        } else {
            CallOutcome::Unknown
        }
    }

    fn read_head(&self, filled: ReadStatus) -> Option<CallOutcome> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let is_incomplete = match head.parse(self.link.data()) {
            Ok(httparse::Status::Complete(_)) => return Some(outcome_of(head.code)),
            Ok(httparse::Status::Partial) => {
                filled == ReadStatus::Open && self.link.data().len() < MAX_HEAD_BYTES
            }
            Err(_) => false,
        };
        (!is_incomplete).then(|| self.interrupted())
    }
}

fn request(task: &Schedule, holder: &str, call: &ScheduledCall) -> Vec<u8> {
    format!(
        "POST {} HTTP/1.1\r\nHost: {}\r\nFencing-Token: {}\r\nTask-Period: {}\r\nTask: {}\r\nTask-Holder: {}\r\n\
         Content-Length: 0\r\nConnection: close\r\n\r\n",
        task.path, task.address, call.lease.token, call.period, task.name, holder
    )
    .into_bytes()
}

fn outcome_of(status: Option<u16>) -> CallOutcome {
    match status {
        Some(200..=299) => CallOutcome::Done,
        // Rejected before anything was done: a lower token, or no time for it now.
        Some(409 | 412 | 429 | 503) => CallOutcome::NotDone,
        _ => CallOutcome::Unknown,
    }
}
