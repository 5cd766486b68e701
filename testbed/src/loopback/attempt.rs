//! One attempt of a request, independent of the protocol that carries it.

use crate::callers::PlannedRequest;
use crate::experiment::ClassModel;
use crate::measure::RequestOutcome;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// How long after a request's deadline its client still waits for a response; then the request counts as unanswered
/// (seconds).
pub(super) const RESPONSE_GRACE_S: f64 = 1.0;
/// Set in every request identifier, so that all have 16 hexadecimal digits without leading zeros.
const REQUEST_ID_BIT: u64 = 1 << 60;

static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

/// The response to an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptResponse {
    pub status: u16,
    /// How long the worker advises to wait before a retry (seconds).
    pub retry_after_s: f64,
    /// Whether the run skipped its downstream call.
    pub degraded: bool,
}

impl AttemptResponse {
    /// The outcome of the request if the client makes no further attempt.
    pub fn outcome(&self, at: f64) -> RequestOutcome {
        match self.status {
            200 => RequestOutcome::Served { at, degraded: self.degraded },
            429 | 503 => RequestOutcome::Rejected,
            _ => RequestOutcome::Failed,
        }
    }
}

/// The time left until a request's deadline, but at least 10 ms (seconds).
pub(super) fn time_left_s(request: &PlannedRequest, class: &ClassModel, now: f64) -> f64 {
    (request.at + class.deadline_ms / 1000.0 - now).max(0.01)
}

/// The platform's header fields for one attempt; the first attempt has the number 1.
#[must_use]
pub fn platform_fields(
    request: &PlannedRequest,
    class: &ClassModel,
    attempt: u32,
    left_s: f64,
) -> Vec<(&'static str, String)> {
    let id = NEXT_REQUEST.fetch_add(1, Ordering::Relaxed) | REQUEST_ID_BIT;
    let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis());
    let mut fields = vec![
        ("x-correlation-id", format!("{id:016x}")),
        ("x-arrived-ms", unix_ms.to_string()),
        ("x-upstream-peer", "1".to_owned()),
        ("x-org", "lab".to_owned()),
        ("x-deadline-ms", format!("{:.0}", left_s * 1000.0)),
        ("x-need-kb", format!("{:.1}", request.memory_kb)),
        ("x-criticality", "0.5".to_owned()),
    ];
    if class.keyed {
        fields.push(("x-operation-key", format!("k{:08x}", request.number)));
    }
    if attempt > 1 {
        fields.push(("x-resent", "1".to_owned()));
    }
    fields
}

/// The fields of `platform_fields` as HTTP/1.1 header lines, each with its line end.
#[must_use]
pub fn platform_header_lines(
    request: &PlannedRequest,
    class: &ClassModel,
    attempt: u32,
    left_s: f64,
) -> String {
    let fields = platform_fields(request, class, attempt, left_s);
    fields.iter().fold(String::new(), |lines, (name, value)| lines + name + ": " + value + "\r\n")
}
