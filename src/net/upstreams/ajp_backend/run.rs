//! A run at an AJP server: what has been sent, and what the server's messages ask for.

use super::ConnectionError;
use crate::dispatch::Input;
use crate::interface::Outcome;
use crate::net::upstreams::ajp_codec::ToWebServer;
use std::rc::Rc;

/// The longest result of a run (bytes).
const MAX_RESULT_BYTES: usize = 64 * 1024;

/// A run that a server executes, or is to execute.
pub(super) struct Run {
    /// Changes with each timer that is set for the run, so that an old timer finds nothing.
    pub(super) timer_number: u64,
    pub(super) name: Rc<str>,
    pub(super) class: usize,
    pub(super) body: Rc<[u8]>,
    /// Its deadline (loop's clock, seconds).
    pub(super) deadline: f64,
    /// Connections tried so far without a byte of the request having gone out.
    pub(super) attempts: usize,
    /// How many bytes the link had sent before the request; `None` before the request is queued.
    pub(super) sent_before: Option<u64>,
    pub(super) status: u16,
    pub(super) result: Vec<u8>,
}

/// What a message of the server asks for.
pub(super) enum Reaction {
    /// Nothing: more of the response comes.
    ReadOn,
    /// The connection is alive: the request is sent.
    SendRequest,
    /// All of the body has been sent unasked: its end is sent too.
    EndBody,
    /// The run has ended; `reuse` tells whether the connection may carry another.
    Complete { reuse: bool },
}

impl Run {
    /// A run that no server has been tried for.
    pub(super) fn new(name: Rc<str>, class: usize, body: Rc<[u8]>, deadline: f64) -> Run {
        Run {
            timer_number: 0,
            name,
            class,
            body,
            deadline,
            attempts: 0,
            sent_before: None,
            status: 0,
            result: Vec::new(),
        }
    }

    /// Takes a message of the server.
    pub(super) fn on_message(&mut self, message: &ToWebServer) -> Result<Reaction, ConnectionError> {
        if self.sent_before.is_none() {
            return match message {
                ToWebServer::CPong => Ok(Reaction::SendRequest),
                _ => Err(ConnectionError::UnexpectedMessage),
            };
        }
        match message {
            ToWebServer::Headers { status, .. } => {
                self.status = *status;
                Ok(Reaction::ReadOn)
            }
            ToWebServer::Chunk(bytes) if self.result.len() + bytes.len() <= MAX_RESULT_BYTES => {
                self.result.extend_from_slice(bytes);
                Ok(Reaction::ReadOn)
            }
            ToWebServer::GetBody(_) => Ok(Reaction::EndBody),
            ToWebServer::End { reuse } => Ok(Reaction::Complete { reuse: *reuse }),
            ToWebServer::Chunk(_) | ToWebServer::CPong => Err(ConnectionError::UnexpectedMessage),
        }
    }

    /// A status of success carries the result; any other is a failed run.
    pub(super) fn into_ended(self) -> Input {
        let served = (200..300).contains(&self.status);
        let outcome = if served { Outcome::Ok } else { Outcome::Error };
        Input::RunEnded { name: self.name, outcome, result: served.then(|| self.result.into()) }
    }
}
