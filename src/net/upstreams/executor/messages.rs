//! Messages of the executor protocol: one JSON object per line.

use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::rc::Rc;

/// A command sent to the executor.
#[derive(Serialize)]
#[serde(tag = "type", rename_all = "UPPERCASE")]
pub(super) enum Command<'a> {
    /// Resumes the notices after number `n`.
    Join { n: u64 },
    /// Starts a run.
    Exec { job: &'a str, kind: &'a str, data: &'a str },
    /// Delivers the reply to a run's downstream call.
    Return { job: &'a str, data: &'a str },
    /// Lets a run continue without the downstream call that was requested in notice `n`.
    Bypass { job: &'a str, n: u64 },
    /// Requests the gauges; the response carries the same reference.
    Meter { r#ref: &'a str },
}

impl Command<'_> {
    pub(super) fn to_line(&self) -> Vec<u8> {
        // Serializing strings and integers to JSON can't fail.
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }
}

/// A notice whose strings borrow from the input buffer where possible.
#[derive(Deserialize)]
struct BorrowedNotice<'a> {
    #[serde(borrow, rename = "type")]
    kind: Cow<'a, str>,
    n: Option<u64>,
    #[serde(borrow)]
    job: Option<Cow<'a, str>>,
    #[serde(borrow)]
    state: Option<Cow<'a, str>>,
    took: Option<f64>,
    #[serde(borrow)]
    data: Option<Cow<'a, str>>,
    gauges: Option<Vec<f64>>,
    #[serde(borrow, rename = "ref")]
    reference: Option<Cow<'a, str>>,
}

/// A notice received from the executor.
pub(super) struct Notice {
    pub(super) kind: String,
    /// Sequence number; some kinds of notices have none.
    pub(super) number: Option<u64>,
    pub(super) job: Option<Rc<str>>,
    pub(super) state: Option<String>,
    /// Time since the executor started (milliseconds).
    pub(super) started_ms_ago: Option<f64>,
    /// Base64 of a result or of a downstream call's body.
    pub(super) data: Option<String>,
    pub(super) gauges: Option<Vec<f64>>,
    /// Reference of the command that this notice responds to.
    pub(super) reference: Option<String>,
}

impl From<BorrowedNotice<'_>> for Notice {
    fn from(notice: BorrowedNotice) -> Notice {
        Notice {
            kind: notice.kind.into_owned(),
            number: notice.n,
            job: notice.job.map(Rc::from),
            state: notice.state.map(Cow::into_owned),
            started_ms_ago: notice.took,
            data: notice.data.map(Cow::into_owned),
            gauges: notice.gauges,
            reference: notice.reference.map(Cow::into_owned),
        }
    }
}

/// The notices parsed from the complete lines of an input buffer.
#[derive(Default)]
pub(super) struct Lines {
    pub(super) notices: Vec<Notice>,
    /// Total length of the complete lines (bytes).
    pub(super) length: usize,
    /// Whether a line could not be parsed as a notice.
    pub(super) malformed: bool,
}

impl Lines {
    pub(super) fn parse(data: &[u8]) -> Lines {
        let mut lines = Lines::default();
        while let Some(end) = data[lines.length..].iter().position(|byte| *byte == b'\n') {
            match serde_json::from_slice::<BorrowedNotice>(&data[lines.length..lines.length + end]) {
                Ok(notice) => lines.notices.push(notice.into()),
                Err(_) => lines.malformed = true,
            }
            lines.length += end + 1;
        }
        lines
    }
}
