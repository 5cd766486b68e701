//! The mapping of requests and responses to HTTP, for all versions: targets, statuses, advice on retries.

use crate::dispatch::{Response, TenantError};
use crate::net::frontends::request_fields::Catalog;
use std::rc::Rc;

/// The path of health checks.
const HEALTH_CHECK_PATH: &str = "/check";

/// The path prefix of requests to run; the name of the class follows it.
const RUN_PREFIX: &str = "/do/";

/// The target of a request, as given by its request line or pseudo-headers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// A health check.
    HealthCheck,
    /// A request to run, of the class with this index.
    Run(usize),
}

/// The response to a request that the frontend rejects without the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpError {
    /// The status code.
    pub code: u16,
    /// The text of the body.
    pub message: &'static str,
    /// The value of the Allow header of a 405; empty for other statuses.
    pub allow: &'static str,
}

impl HttpError {
    /// An error without an Allow header.
    #[must_use]
    pub fn new(code: u16, message: &'static str) -> HttpError {
        HttpError { code, message, allow: "" }
    }
}

/// Determines the target of a method and path.
///
/// # Errors
///
/// 404 if the path names no class, 405 if the path doesn't allow the method.
pub fn target(method: &str, path: &str, catalog: &Catalog) -> Result<Target, HttpError> {
    let (path, _query) = path.split_once('?').unwrap_or((path, ""));
    if path == HEALTH_CHECK_PATH {
        return match method {
            "GET" => Ok(Target::HealthCheck),
            _ => Err(HttpError { code: 405, message: "checks are asked for with GET", allow: "GET" }),
        };
    }
    let class = path.strip_prefix(RUN_PREFIX).and_then(|name| catalog.class(name));
    let Some(class) = class else { return Err(HttpError::new(404, "no such class")) };
    match method {
        "POST" => Ok(Target::Run(class)),
        _ => Err(HttpError { code: 405, message: "requests are sent with POST", allow: "POST" }),
    }
}

/// A response from the dispatcher as an HTTP status, a body and advice on retries.
#[derive(Clone, Debug, PartialEq)]
pub struct StatusMapping {
    /// The status code.
    pub code: u16,
    /// The result of the run, if there is one.
    pub body: Option<Rc<[u8]>>,
    /// X-Pushback-Ms: how long the caller should wait before a retry (milliseconds).
    pub pushback_ms: Option<u64>,
    /// X-Stop-Trying: the caller should not retry at all.
    pub stop_trying: bool,
}

/// Maps a response from the dispatcher to HTTP.
#[must_use]
pub fn map_response(response: Response) -> StatusMapping {
    let plain = |code| StatusMapping { code, body: None, pushback_ms: None, stop_trying: false };
    match response {
        Response::Served(result) => StatusMapping { body: Some(result), ..plain(200) },
        Response::Rejected { retry_after_s, stop_retrying } => {
            let pushback_ms = (retry_after_s > 0.0).then_some((retry_after_s * 1000.0).ceil() as u64);
            StatusMapping { pushback_ms, stop_trying: stop_retrying, ..plain(503) }
        }
        Response::Failed => plain(500),
        Response::Conflict => plain(409),
        Response::DeadlineExceeded | Response::TenantUndetermined(TenantError::TimedOut) => plain(504),
        Response::TenantUndetermined(TenantError::DirectoryUnavailable) => plain(503),
        Response::TenantUndetermined(TenantError::UnknownTenant) => plain(403),
    }
}
