//! What requests and answers mean on every HTTP front, whatever its version: targets, statuses, advice.

use crate::dispatch::Response;
use crate::net::frontends::request_fields::Catalog;
use std::rc::Rc;

/// What a request line or its pseudo-headers ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    Check,
    Run(usize),
}

/// A request that can't be taken, in the words of HTTP.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fail {
    pub code: u16,
    pub why: &'static str,
    /// Goes with a 405.
    pub allow: &'static str,
}

impl Fail {
    pub fn new(code: u16, why: &'static str) -> Fail {
        Fail { code, why, allow: "" }
    }
}

/// Finds out what a method and a path ask for.
pub fn target(method: &str, path: &str, known: &Catalog) -> Result<Target, Fail> {
    let (path, _) = path.split_once('?').unwrap_or((path, ""));
    if path == "/check" {
        return match method {
            "GET" => Ok(Target::Check),
            _ => Err(Fail { code: 405, why: "checks are asked for with GET", allow: "GET" }),
        };
    }
    let class = path.strip_prefix("/do/").and_then(|name| known.class(name));
    let Some(class) = class else { return Err(Fail::new(404, "no such class")) };
    match method {
        "POST" => Ok(Target::Run(class)),
        _ => Err(Fail { code: 405, why: "requests are sent with POST", allow: "POST" }),
    }
}

/// An answer of the core, in the words of HTTP.
#[derive(Clone, Debug, PartialEq)]
pub struct StatusMapping {
    pub code: u16,
    pub body: Option<Rc<[u8]>>,
    /// Advice to stay away (milliseconds).
    pub pushback_ms: Option<u64>,
    pub stop_trying: bool,
}

pub fn meaning(answer: Response) -> StatusMapping {
    let plain = |code| StatusMapping { code, body: None, pushback_ms: None, stop_trying: false };
    match answer {
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
