//! The lines of the executor's link: one JSON object each.

use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::rc::Rc;

/// A command to the executor.
#[derive(Serialize)]
#[serde(tag = "type", rename_all = "UPPERCASE")]
pub(super) enum Command<'a> {
    /// Take up the notices after this number.
    Join { n: u64 },
    /// Start a run.
    Exec { job: &'a str, kind: &'a str, data: &'a str },
    /// Give a run the reply to its downstream call.
    Return { job: &'a str, data: &'a str },
    /// Let a run go on without the downstream call that the notice of this number requested.
    Bypass { job: &'a str, n: u64 },
    /// Report the gauges; the answer carries the same reference.
    Meter { r#ref: &'a str },
}

impl Command<'_> {
    pub(super) fn to_line(&self) -> Vec<u8> {
        // These types hold nothing that JSON can't.
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }
}

/// A notice as it lies in the input buffer.
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

/// A notice of the executor.
pub(super) struct Notice {
    pub(super) kind: String,
    /// Its number, where it is numbered.
    pub(super) number: Option<u64>,
    pub(super) job: Option<Rc<str>>,
    pub(super) state: Option<String>,
    /// How long ago the executor started (milliseconds).
    pub(super) started_ms_ago: Option<f64>,
    /// A result or a call's body, in base64.
    pub(super) data: Option<String>,
    pub(super) gauges: Option<Vec<f64>>,
    /// The reference of the command that it answers.
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

/// The complete lines of an input buffer.
#[derive(Default)]
pub(super) struct Lines {
    pub(super) notices: Vec<Notice>,
    /// The length of all complete lines (bytes).
    pub(super) length: usize,
    /// A line was no notice.
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
