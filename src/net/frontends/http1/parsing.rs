//! Parses HTTP/1.1 requests in place in the input buffer.

use super::{MAX_HEADERS, MAX_HEAD_BYTES};
use crate::dispatch::{Request, Ticket};
use crate::net::frontends::request_fields::{
    Catalog, FieldError, RequestFields, TenantSource, MAX_BODY_BYTES,
};
use crate::net::frontends::status_mapping::{target, HttpError, Target};
use crate::net::Clock;

/// What the start of a connection's input buffer was parsed as.
pub(super) enum Parsed {
    /// An incomplete request; `wants_continue` if the client waits for `100 Continue` before it sends the body.
    Partial { wants_continue: bool },
    /// A complete request of `length` bytes; with `keep_alive`, another one may follow.
    Complete { request: Box<Request>, length: usize, keep_alive: bool },
    /// A health check of `length` bytes.
    HealthCheck { length: usize, keep_alive: bool },
    /// A request to reject.
    Invalid(HttpError),
}

/// The headers that concern HTTP itself, and the platform's fields.
struct Headers {
    content_length: Option<usize>,
    keep_alive: bool,
    wants_continue: bool,
    fields: RequestFields,
}

/// Parses the request at the start of the buffer.
pub(super) fn parse(data: &[u8], ticket: Ticket, catalog: &Catalog, clock: &Clock) -> Parsed {
    try_parse(data, ticket, catalog, clock).unwrap_or_else(Parsed::Invalid)
}

fn try_parse(data: &[u8], ticket: Ticket, catalog: &Catalog, clock: &Clock) -> Result<Parsed, HttpError> {
    let mut header_slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut header_slots);
    let body_start = match head.parse(data) {
        Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
        Ok(httparse::Status::Partial) if data.len() <= MAX_HEAD_BYTES => {
            return Ok(Parsed::Partial { wants_continue: false });
        }
        Ok(_) => return Err(HttpError::new(431, "the head is too long")),
        Err(httparse::Error::TooManyHeaders) => return Err(HttpError::new(431, "too many headers")),
        Err(_) => return Err(HttpError::new(400, "the head can't be read")),
    };
    let headers = read_headers(&head)?;
    let body_length = headers.content_length.unwrap_or(0);
    if body_length > MAX_BODY_BYTES {
        return Err(HttpError::new(413, "the body is too long"));
    }
    let target = target(head.method.unwrap_or(""), head.path.unwrap_or(""), catalog)?;
    let length = body_start + body_length;
    let Some(body) = data.get(body_start..length) else {
        return Ok(Parsed::Partial { wants_continue: headers.wants_continue });
    };
    let keep_alive = headers.keep_alive;
    let Target::Run(class) = target else { return Ok(Parsed::HealthCheck { length, keep_alive }) };
    match headers.fields.request(ticket, class, TenantSource::Header, body, catalog, clock) {
        Ok(request) => Ok(Parsed::Complete { request: Box::new(request), length, keep_alive }),
        Err(FieldError::UnknownTenant) => Err(HttpError::new(403, "unknown tenant")),
        Err(FieldError::Field(name)) => Err(HttpError::new(400, name)),
    }
}

fn read_headers(head: &httparse::Request) -> Result<Headers, HttpError> {
    let mut headers = Headers {
        content_length: None,
        keep_alive: head.version == Some(1),
        wants_continue: false,
        fields: RequestFields::default(),
    };
    for header in head.headers.iter() {
        let is = |known: &str| header.name.eq_ignore_ascii_case(known);
        let value = std::str::from_utf8(header.value).unwrap_or("").trim();
        if is("Content-Length") {
            let length = parse_content_length(value, headers.content_length.is_some())?;
            headers.content_length = Some(length);
        } else if is("Transfer-Encoding") {
            return Err(HttpError::new(400, "Transfer-Encoding is not taken"));
        } else if is("Connection") {
            headers.keep_alive = keeps_alive(value, head.version, headers.keep_alive);
        } else if is("Expect") {
            headers.wants_continue = value.eq_ignore_ascii_case("100-continue");
        } else if let Err(FieldError::Field(name)) = headers.fields.record(header.name, header.value) {
            return Err(HttpError::new(400, name));
        }
    }
    Ok(headers)
}

/// Parses a Content-Length. Rejects repeated ones, even if equal: an intermediary may interpret them differently.
fn parse_content_length(value: &str, is_repeated: bool) -> Result<usize, HttpError> {
    let is_number = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
    if !is_number || is_repeated {
        return Err(HttpError::new(400, "Content-Length is ambiguous"));
    }
    value.parse().map_err(|_| HttpError::new(413, "the body is too long"))
}

/// Whether the Connection header keeps the connection open.
fn keeps_alive(value: &str, version: Option<u8>, default: bool) -> bool {
    let mut keep_alive = default;
    for option in value.split(',').map(str::trim) {
        if option.eq_ignore_ascii_case("close") {
            keep_alive = false;
        } else if option.eq_ignore_ascii_case("keep-alive") && version == Some(0) {
            keep_alive = true;
        }
    }
    keep_alive
}
