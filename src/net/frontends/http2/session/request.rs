//! The request of a stream: validates its complete head, and collects its body up to a limit.

use crate::net::frontends::request_fields::{FieldError, RequestFields, MAX_BODY_BYTES};
use crate::net::frontends::status_mapping::{target, HttpError, Target};
use crate::net::FrontendContext;
use h2::RecvStream;
use http::header::CONTENT_LENGTH;
use std::task::{Context, Poll};

/// The size that HPACK adds to a field's name and value (bytes; RFC 7541, section 4.1).
const FIELD_OVERHEAD_BYTES: usize = 32;
/// `:method`, `:scheme`, `:authority` and `:path`.
const PSEUDO_HEADERS: usize = 4;

/// A request whose head has been read and whose body is incomplete.
pub(super) struct IncomingRequest {
    pub(super) fields: Box<RequestFields>,
    pub(super) class: usize,
    pub(super) body: Vec<u8>,
    pub(super) recv_stream: RecvStream,
}

/// Why a body can't be received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyError {
    /// It is longer than `MAX_BODY_BYTES`.
    TooLong,
    /// The client has reset the stream before its end.
    Reset,
}

impl IncomingRequest {
    /// Reads the available part of the body; ready once it is complete. Adds the bytes read to `received_bytes`. A body
    /// over the limit is not read further: its flow-control window stays closed.
    pub(super) fn poll_body(
        &mut self,
        cx: &mut Context,
        received_bytes: &mut usize,
    ) -> Poll<Result<(), BodyError>> {
        loop {
            let data = match self.recv_stream.poll_data(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => return Poll::Ready(Ok(())),
                Poll::Ready(Some(Err(_))) => return Poll::Ready(Err(BodyError::Reset)),
                Poll::Ready(Some(Ok(data))) => data,
            };
            if self.body.len() + data.len() > MAX_BODY_BYTES {
                return Poll::Ready(Err(BodyError::TooLong));
            }
            self.body.extend_from_slice(&data);
            *received_bytes += data.len();
            // The window reopens only by the bytes read.
            let _ = self.recv_stream.flow_control().release_capacity(data.len());
        }
    }
}

/// The uncompressed size of a request's head (bytes; RFC 7541, section 4.1): at least what it took on the wire.
pub(super) fn uncompressed_bytes(head: &http::request::Parts) -> usize {
    let target = head.method.as_str().len() + head.uri.path_and_query().map_or(0, |p| p.as_str().len());
    let fields =
        head.headers.iter().map(|(name, value)| name.as_str().len() + value.len() + FIELD_OVERHEAD_BYTES);
    target + PSEUDO_HEADERS * FIELD_OVERHEAD_BYTES + fields.sum::<usize>()
}

/// Whether the request has more than one Content-Length. It is then malformed (RFC 9113, section 8.1.1), even if they
/// are equal: intermediaries may interpret them differently, which would move the end of the body.
pub(super) fn repeats_content_length(head: &http::request::Parts) -> bool {
    head.headers.get_all(CONTENT_LENGTH).iter().nth(1).is_some()
}

/// Validates the pseudo-headers and collects the platform's fields.
pub(super) fn read_head(
    head: &http::request::Parts,
    context: &FrontendContext,
) -> Result<(Target, RequestFields), HttpError> {
    let path = head.uri.path_and_query().map_or("", |p| p.as_str());
    let target = target(head.method.as_str(), path, &context.catalog)?;
    let mut fields = RequestFields::default();
    for (name, value) in &head.headers {
        if name == CONTENT_LENGTH {
            // The codec checks it against the data; the check here avoids reading a body that is too long.
            let length = value.to_str().ok().and_then(|v| v.parse::<usize>().ok());
            if length.is_none_or(|bytes| bytes > MAX_BODY_BYTES) {
                return Err(HttpError::new(413, "the body is too long"));
            }
        } else if let Err(FieldError::Field(name)) = fields.record(name.as_str(), value.as_bytes()) {
            return Err(HttpError::new(400, name));
        }
    }
    Ok((target, fields))
}
