//! State of a run on an AJP server, and the reactions to the server's messages.

use super::ConnectionError;
use crate::dispatch::Input;
use crate::interface::Outcome;
use crate::net::upstreams::ajp_codec::ToWebServer;
use std::rc::Rc;

/// Maximum length of a run's result (bytes).
const MAX_RESULT_BYTES: usize = 64 * 1024;

/// A run assigned to a server, before or after its request was sent.
pub(super) struct Run {
    /// Number of the latest timer set for the run; earlier timers no longer match and are ignored.
    pub(super) timer_number: u64,
    pub(super) name: Rc<str>,
    pub(super) class: usize,
    pub(super) body: Rc<[u8]>,
    /// Its deadline (event loop's clock, seconds).
    pub(super) deadline: f64,
    /// Number of connections tried so far, on none of which a byte of the request was sent.
    pub(super) attempts: usize,
    /// Number of bytes sent on the link before the request's first byte; `None` until the request is queued.
    pub(super) request_offset: Option<u64>,
    pub(super) status: u16,
    pub(super) result: Vec<u8>,
}

/// What to do after a message from the server.
pub(super) enum Reaction {
    /// Wait for the next message.
    AwaitMessage,
    /// The server has answered the `CPing`: send the request.
    SendRequest,
    /// The server requests more of the body, all of which has been sent: send an empty body packet as its end.
    EndBody,
    /// The run has ended; `reuse` says whether the connection may be reused.
    Complete { reuse: bool },
}

impl Run {
    /// Creates a run that is not assigned to a connection yet.
    pub(super) fn new(name: Rc<str>, class: usize, body: Rc<[u8]>, deadline: f64) -> Run {
        Run {
            timer_number: 0,
            name,
            class,
            body,
            deadline,
            attempts: 0,
            request_offset: None,
            status: 0,
            result: Vec::new(),
        }
    }

    /// Processes a message from the server.
    pub(super) fn on_message(&mut self, message: &ToWebServer) -> Result<Reaction, ConnectionError> {
        if self.request_offset.is_none() {
            return match message {
                ToWebServer::CPong => Ok(Reaction::SendRequest),
                _ => Err(ConnectionError::UnexpectedMessage),
            };
        }
        match message {
            ToWebServer::Headers { status, .. } => {
                self.status = *status;
                Ok(Reaction::AwaitMessage)
            }
            ToWebServer::Chunk(bytes) if self.result.len() + bytes.len() <= MAX_RESULT_BYTES => {
                self.result.extend_from_slice(bytes);
                Ok(Reaction::AwaitMessage)
            }
            ToWebServer::GetBody(_) => Ok(Reaction::EndBody),
            ToWebServer::End { reuse } => Ok(Reaction::Complete { reuse: *reuse }),
            ToWebServer::Chunk(_) | ToWebServer::CPong => Err(ConnectionError::UnexpectedMessage),
        }
    }

    /// Converts the ended run to the dispatcher's input. It succeeded, with a result, if the status is 2xx.
    pub(super) fn into_ended(self) -> Input {
        let succeeded = (200..300).contains(&self.status);
        let outcome = if succeeded { Outcome::Ok } else { Outcome::Error };
        Input::RunEnded { name: self.name, outcome, result: succeeded.then(|| self.result.into()) }
    }
}
