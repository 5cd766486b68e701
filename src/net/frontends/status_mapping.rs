//! What requests and responses mean in HTTP, whatever its version: targets, statuses, advice on retries.

use crate::dispatch::Response;
use crate::net::frontends::request_fields::Catalog;
use std::rc::Rc;

/// The path of health checks.
const CHECK_PATH: &str = "/check";

/// The prefix of the paths of requests; the name of the class follows it.
const RUN_PREFIX: &str = "/do/";

/// What a request line or its pseudo-headers ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// A health check.
    Check,
    /// A request of the class with this index.
    Run(usize),
}

/// The response to a request that the frontend rejects by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpError {
    /// The status code.
    pub code: u16,
    /// The text of the body.
    pub why: &'static str,
    /// The value of the Allow header that goes with a 405; empty with other statuses.
    pub allow: &'static str,
}

impl HttpError {
    /// An error without an Allow header.
    #[must_use]
    pub fn new(code: u16, why: &'static str) -> HttpError {
        HttpError { code, why, allow: "" }
    }
}

/// Finds out what a method and a path ask for.
///
/// # Errors
///
/// 404 where the path names no class, 405 where the method doesn't fit the path.
pub fn target(method: &str, path: &str, catalog: &Catalog) -> Result<Target, HttpError> {
    let (path, _query) = path.split_once('?').unwrap_or((path, ""));
    if path == CHECK_PATH {
        return match method {
            "GET" => Ok(Target::Check),
            _ => Err(HttpError { code: 405, why: "checks are asked for with GET", allow: "GET" }),
        };
    }
    let class = path.strip_prefix(RUN_PREFIX).and_then(|name| catalog.class(name));
    let Some(class) = class else { return Err(HttpError::new(404, "no such class")) };
    match method {
        "POST" => Ok(Target::Run(class)),
        _ => Err(HttpError { code: 405, why: "requests are sent with POST", allow: "POST" }),
    }
}

/// A response of the dispatcher as an HTTP status, a body and advice on retries.
#[derive(Clone, Debug, PartialEq)]
pub struct StatusMapping {
    /// The status code.
    pub code: u16,
    /// The result of the run, where there is one.
    pub body: Option<Rc<[u8]>>,
    /// X-Pushback-Ms: how long the caller should wait before it retries (milliseconds).
    pub pushback_ms: Option<u64>,
    /// X-Stop-Trying: the caller should not retry at all.
    pub stop_trying: bool,
}

/// Maps a response of the dispatcher to HTTP.
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
        Response::DeadlineExceeded => plain(504),
    }
}
