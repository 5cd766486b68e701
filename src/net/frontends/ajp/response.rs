//! Encodes responses as AJP messages.

use super::head::Rejection;
use super::ProtocolState;
use crate::dispatch::{Response, TenantError};
use crate::net::frontends::connections::{Connection, ConnectionState};
use crate::net::upstreams::ajp_codec::{self, MAX_RESPONSE_CHUNK_BYTES};
use crate::net::FrontendContext;
use std::rc::Rc;

/// A response, with the headers specific to its status.
pub(super) struct AjpResponse {
    code: u16,
    reason: &'static str,
    headers: Vec<(&'static str, String)>,
    body: Option<Rc<[u8]>>,
}

impl AjpResponse {
    fn new(code: u16, reason: &'static str) -> AjpResponse {
        AjpResponse { code, reason, headers: Vec::new(), body: None }
    }

    fn with_header(mut self, name: &'static str, value: String) -> AjpResponse {
        self.headers.push((name, value));
        self
    }
}

impl From<Rejection> for AjpResponse {
    fn from(rejection: Rejection) -> AjpResponse {
        AjpResponse::new(rejection.code, rejection.reason)
    }
}

impl From<Response> for AjpResponse {
    fn from(response: Response) -> AjpResponse {
        match response {
            Response::Served(result) => {
                let served = AjpResponse::new(200, "OK");
                let served = served.with_header("Content-Type", "application/octet-stream".to_owned());
                AjpResponse { body: Some(result), ..served }
            }
            Response::Rejected { retry_after_s, stop_retrying } => rejected(retry_after_s, stop_retrying),
            Response::Conflict => AjpResponse::new(409, "Conflict"),
            Response::Failed => AjpResponse::new(502, "Bad Gateway"),
            Response::DeadlineExceeded => AjpResponse::new(504, "Gateway Timeout"),
            Response::TenantUndetermined(error) => AjpResponse::from(error),
        }
    }
}

impl From<TenantError> for AjpResponse {
    fn from(error: TenantError) -> AjpResponse {
        match error {
            TenantError::DirectoryUnavailable => {
                AjpResponse::new(503, "the directory is down").with_header("Retry-After", "1".to_owned())
            }
            TenantError::TimedOut => AjpResponse::new(504, "the directory has not answered in time"),
            TenantError::UnknownTenant => AjpResponse::new(403, "unknown tenant"),
        }
    }
}

fn rejected(retry_after_s: f64, stop_retrying: bool) -> AjpResponse {
    let mut response = AjpResponse::new(503, "Service Unavailable")
        .with_header("Retry-After", retry_after_s.ceil().max(1.0).to_string());
    if retry_after_s > 0.0 {
        response = response.with_header("X-Pushback-Ms", (retry_after_s * 1000.0).ceil().to_string());
    }
    if stop_retrying {
        response = response.with_header("X-Stop-Trying", "1".to_owned());
    }
    response
}

/// Queues a complete response: the head, the body in packets, and the end message.
pub(super) fn write_response(
    connection: &mut Connection<ProtocolState>,
    now: f64,
    response: AjpResponse,
    context: &FrontendContext,
) {
    connection.close_after_response |= context.availability.closes_connections();
    connection.set_state(now, ConnectionState::Responding);
    let body_length = response.body.as_ref().map_or(0, |body| body.len());
    let mut headers = vec![("Content-Length", body_length.to_string())];
    headers.extend(response.headers);
    if let Some(weight) = context.availability.published_weight {
        headers.push(("X-Backend-Says", weight.to_string()));
    }
    // Encoding can't fail: these few short headers fit into one packet.
    let head = ajp_codec::write_headers(response.code, response.reason, &headers);
    connection.link.push(head.unwrap_or_default());
    if let Some(body) = response.body {
        for start in (0..body_length).step_by(MAX_RESPONSE_CHUNK_BYTES) {
            let end = body_length.min(start + MAX_RESPONSE_CHUNK_BYTES);
            connection.link.push(ajp_codec::write_chunk_head(end - start));
            connection.link.push_part(body.clone(), start..end);
            connection.link.push(vec![0]);
        }
    }
    connection.link.push(ajp_codec::write_end(!connection.close_after_response));
}
