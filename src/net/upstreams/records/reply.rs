//! Parser for the HTTP replies of the records service; works on the input buffer without copying.

use crate::interface::Outcome;
use std::ops::Range;

/// Maximum length of a reply's head, interim responses included (bytes).
pub(super) const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum length of a reply, head included (bytes).
pub(super) const MAX_REPLY_BYTES: usize = 64 * 1024;
/// Maximum number of headers in a reply.
const MAX_HEADERS: usize = 64;

/// A complete reply; `body` is a range of the input buffer, `length` the total length with head and body.
pub(super) struct Reply {
    pub(super) outcome: Outcome,
    pub(super) body: Range<usize>,
    pub(super) length: usize,
    /// Whether the connection can be reused.
    pub(super) keep_open: bool,
}

/// Why a reply is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyError {
    /// The head is malformed or exceeds a limit.
    Head,
    /// The reply has status 101 (Switching Protocols), which was not requested.
    ProtocolChange,
    /// The Content-Length is missing, duplicated, invalid or too large.
    Length,
    /// The reply has a Transfer-Encoding, which is not supported.
    Encoding,
}

/// Parses one reply, skipping interim (1xx) responses before it. Returns `None` while the reply is incomplete.
pub(super) fn parse(data: &[u8]) -> Result<Option<Reply>, ReplyError> {
    let mut start = 0;
    loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let unparsed = data.get(start..).unwrap_or(&[]);
        match head.parse(unparsed) {
            Ok(httparse::Status::Complete(n)) if start + n <= MAX_HEAD_BYTES => start += n,
            Ok(httparse::Status::Partial) if data.len() < MAX_HEAD_BYTES => return Ok(None),
            _ => return Err(ReplyError::Head),
        }
        // An interim response has no body and is followed by the final one. A 101 would change the protocol, which was
        // not requested.
        match head.code {
            Some(101) => return Err(ReplyError::ProtocolChange),
            Some(100..=199) => {}
            _ => return parse_body(&head, start, data),
        }
    }
}

fn parse_body(head: &httparse::Response, start: usize, data: &[u8]) -> Result<Option<Reply>, ReplyError> {
    let mut length = None;
    let mut not_begun = false;
    let mut keep_open = head.version == Some(1);
    for header in head.headers.iter() {
        let value = std::str::from_utf8(header.value).unwrap_or("").trim();
        if header.name.eq_ignore_ascii_case("Content-Length") {
            let digits = value.bytes().all(|b| b.is_ascii_digit());
            // Duplicate or signed lengths are ambiguous.
            length = value.parse::<usize>().ok().filter(|_| digits && length.is_none());
            if length.is_none() {
                return Err(ReplyError::Length);
            }
        } else if header.name.eq_ignore_ascii_case("Transfer-Encoding") {
            return Err(ReplyError::Encoding);
        } else if header.name.eq_ignore_ascii_case("Op-Not-Begun") {
            not_begun = value == "1";
        } else if header.name.eq_ignore_ascii_case("Connection") {
            keep_open &= !value.eq_ignore_ascii_case("close");
        }
    }
    let fits = |n: &usize| *n <= MAX_REPLY_BYTES - MAX_HEAD_BYTES;
    let length = length.filter(fits).ok_or(ReplyError::Length)?;
    if data.len() < start + length {
        return Ok(None);
    }
    let outcome = match (head.code.unwrap_or(0), not_begun) {
        (200, _) => Outcome::Ok,
        (503, true) => Outcome::Rejected,
        (409, true) => Outcome::NotStarted,
        (504, _) => Outcome::TimedOut,
        _ => Outcome::Error,
    };
    Ok(Some(Reply { outcome, body: start..start + length, length: start + length, keep_open }))
}
