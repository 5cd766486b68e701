//! Builds the heads of HTTP/1.1 responses, and the frontend's own short responses.

use crate::net::frontends::status_mapping::HttpError;
use crate::net::FrontendContext;
use std::fmt::Write;

/// Initial buffer capacity, enough for the head of a typical response (bytes).
const HEAD_CAPACITY_BYTES: usize = 160;

/// The reason phrase of the status line.
pub(super) fn reason(code: u16) -> &'static str {
    match code {
        400 => "Bad Request",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        504 => "Gateway Timeout",
        200 => "OK",
        _ => "Service Unavailable",
    }
}

/// Builds the head of a response; `extra` holds further header lines, each with its line terminator.
pub(super) fn head(
    code: u16,
    body_length: usize,
    extra: &str,
    context: &FrontendContext,
    close: bool,
) -> Vec<u8> {
    let mut text = String::with_capacity(HEAD_CAPACITY_BYTES);
    let reason = reason(code);
    let _ = write!(text, "HTTP/1.1 {code} {reason}\r\nContent-Length: {body_length}\r\n{extra}");
    if let Some(weight) = context.availability.published_weight {
        let _ = write!(text, "X-Backend-Says: {weight}\r\n");
    }
    text.push_str(if close { "Connection: close\r\n\r\n" } else { "\r\n" });
    text.into_bytes()
}

/// The response to a health check.
pub(super) fn health_check_response(context: &FrontendContext, close: bool) -> Vec<u8> {
    let (code, body) = if context.availability.is_ready() { (200, "good\n") } else { (503, "bad\n") };
    with_body(code, body, "", context, close)
}

/// The response to a request that the frontend rejects; the connection is closed after it.
pub(super) fn error_response(error: &HttpError, context: &FrontendContext) -> Vec<u8> {
    let allow = if error.allow.is_empty() { String::new() } else { format!("Allow: {}\r\n", error.allow) };
    let body = format!("{}\n", error.message);
    with_body(error.code, &body, &allow, context, true)
}

fn with_body(code: u16, body: &str, extra: &str, context: &FrontendContext, close: bool) -> Vec<u8> {
    let mut text = head(code, body.len(), extra, context, close);
    text.extend_from_slice(body.as_bytes());
    text
}
