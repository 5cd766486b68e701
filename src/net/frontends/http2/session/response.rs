//! The response of a stream: its head, and its body, sent as the client's flow-control windows allow.

use crate::net::frontends::status_mapping::StatusMapping;
use crate::net::FrontendContext;
use bytes::Buf;
use h2::SendStream;
use std::ops::Range;
use std::rc::Rc;
use std::task::{Context, Poll};

/// A part of a result that all its responses share; the bytes are not copied per stream.
pub(super) struct SharedBytes {
    buffer: Rc<[u8]>,
    part: Range<usize>,
}

impl SharedBytes {
    /// The whole of `buffer`.
    pub(super) fn new(buffer: Rc<[u8]>) -> SharedBytes {
        let part = 0..buffer.len();
        SharedBytes { buffer, part }
    }

    /// Splits off the first `length` bytes, or all bytes if there are fewer.
    fn split_to(&mut self, length: usize) -> SharedBytes {
        let at = (self.part.start + length).min(self.part.end);
        let first = SharedBytes { buffer: self.buffer.clone(), part: self.part.start..at };
        self.part.start = at;
        first
    }
}

impl Buf for SharedBytes {
    fn remaining(&self) -> usize {
        self.part.len()
    }

    fn chunk(&self) -> &[u8] {
        &self.buffer[self.part.clone()]
    }

    fn advance(&mut self, length: usize) {
        self.part.start = (self.part.start + length).min(self.part.end);
    }
}

/// The body of a response that is being sent.
pub(super) struct OutgoingBody {
    pub(super) stream: SendStream<SharedBytes>,
    pub(super) rest: SharedBytes,
}

/// The progress of a body in one poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SendProgress {
    /// Nothing was sent, because the window is closed.
    Blocked,
    /// A part was sent, and the rest waits for the window.
    Partial,
    /// Everything was passed to the codec, or the stream has been reset.
    Complete,
}

impl OutgoingBody {
    /// Passes as much of the body to the codec as the client's windows allow.
    pub(super) fn poll_send(&mut self, cx: &mut Context) -> SendProgress {
        self.stream.reserve_capacity(self.rest.remaining());
        let mut progress = SendProgress::Blocked;
        loop {
            let length = self.stream.capacity().min(self.rest.remaining());
            if length > 0 {
                let is_last = length == self.rest.remaining();
                // A stream that has been reset in the meantime counts as complete.
                if self.stream.send_data(self.rest.split_to(length), is_last).is_err() || is_last {
                    return SendProgress::Complete;
                }
                progress = SendProgress::Partial;
            } else if !matches!(self.stream.poll_capacity(cx), Poll::Ready(Some(Ok(_)))) {
                return progress;
            }
        }
    }
}

/// Builds the head of a response, with the platform's fields. `allow` is the value of the Allow header, or empty.
pub(super) fn response_head(
    mapping: &StatusMapping,
    allow: &str,
    context: &FrontendContext,
) -> Result<http::Response<()>, http::Error> {
    let length = mapping.body.as_ref().map_or(0, |body| body.len());
    let mut head = http::Response::builder().status(mapping.code).header("content-length", length);
    if let Some(ms) = mapping.pushback_ms {
        head = head.header("x-pushback-ms", ms);
    }
    if mapping.stop_trying {
        head = head.header("x-stop-trying", "1");
    }
    if let Some(weight) = context.availability.published_weight {
        head = head.header("x-backend-says", weight.to_string());
    }
    if !allow.is_empty() {
        head = head.header("allow", allow);
    }
    head.body(())
}
