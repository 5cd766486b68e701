//! Replies of the records service, parsed where they lie.

use crate::interface::Outcome;
use std::ops::Range;

/// The longest head of a reply (bytes).
pub(super) const MAX_HEAD_BYTES: usize = 8 * 1024;
/// The longest reply with its head (bytes).
pub(super) const MAX_REPLY_BYTES: usize = 64 * 1024;
/// The most headers of a reply.
const MAX_HEADERS: usize = 64;

/// A complete reply in the input buffer.
pub(super) struct Reply {
    pub(super) outcome: Outcome,
    pub(super) body: Range<usize>,
    pub(super) length: usize,
    /// The connection can be used again.
    pub(super) keep: bool,
}

/// Why a reply can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyError {
    /// The head is malformed or too large.
    Head,
    /// The reply changes the protocol, which was not requested.
    ProtocolChange,
    /// The Content-Length is missing, ambiguous or out of range.
    Length,
    /// The body comes in a transfer encoding.
    Encoding,
}

/// Parses a reply where it lies, behind interim ones if there are any; `None` while it is not complete.
pub(super) fn parse(data: &[u8]) -> Result<Option<Reply>, ReplyError> {
    let mut start = 0;
    loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let rest = data.get(start..).unwrap_or(&[]);
        match head.parse(rest) {
            Ok(httparse::Status::Complete(n)) if start + n <= MAX_HEAD_BYTES => start += n,
            Ok(httparse::Status::Partial) if data.len() < MAX_HEAD_BYTES => return Ok(None),
            _ => return Err(ReplyError::Head),
        }
        // An interim response has no body, and the reply follows it. A change of protocol was not requested.
        match head.code {
            Some(101) => return Err(ReplyError::ProtocolChange),
            Some(100..=199) => {}
            _ => return parse_body(&head, start, data),
        }
    }
}

fn parse_body(head: &httparse::Response, start: usize, data: &[u8]) -> Result<Option<Reply>, ReplyError> {
    let mut length = None;
    let mut never_ran = false;
    let mut keep = head.version == Some(1);
    for h in head.headers.iter() {
        let value = std::str::from_utf8(h.value).unwrap_or("").trim();
        if h.name.eq_ignore_ascii_case("Content-Length") {
            let digits = value.bytes().all(|b| b.is_ascii_digit());
            // Two lengths, or one with a sign, could be read two ways.
            length = value.parse::<usize>().ok().filter(|_| digits && length.is_none());
            if length.is_none() {
                return Err(ReplyError::Length);
            }
        } else if h.name.eq_ignore_ascii_case("Transfer-Encoding") {
            return Err(ReplyError::Encoding);
        } else if h.name.eq_ignore_ascii_case("Op-Not-Begun") {
            never_ran = value == "1";
        } else if h.name.eq_ignore_ascii_case("Connection") {
            keep &= !value.eq_ignore_ascii_case("close");
        }
    }
    let fit = |n: &usize| *n <= MAX_REPLY_BYTES - MAX_HEAD_BYTES;
    let length = length.filter(fit).ok_or(ReplyError::Length)?;
    if data.len() < start + length {
        return Ok(None);
    }
    let outcome = match (head.code.unwrap_or(0), never_ran) {
        (200, _) => Outcome::Ok,
        (503, true) => Outcome::Rejected,
        (409, true) => Outcome::NotStarted,
        (504, _) => Outcome::TimedOut,
        _ => Outcome::Error,
    };
    Ok(Some(Reply { outcome, body: start..start + length, length: start + length, keep }))
}
