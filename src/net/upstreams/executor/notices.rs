//! What the executor's notices mean to the worker.

use super::messages::Notice;
use super::{Executor, Welcome, FENCE_PREFIX, MIN_RECONNECT_S};
use crate::config::read_gauges;
use crate::dispatch::Input;
use crate::interface::Outcome;
use crate::log::LogEvent;
use crate::net::events::{ExecutorEvent, MalformedNotice};
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use std::rc::Rc;

impl Executor {
    /// Handles one notice. One that has been handled before is ignored: a new link may repeat the last ones.
    pub(super) fn handle_notice(&mut self, now: f64, notice: Notice, inputs: &mut Vec<Input>) {
        if let Some(number) = notice.number {
            if number <= self.last_notice {
                return;
            }
            self.last_notice = number;
        }
        match (notice.kind.as_str(), notice.job.clone()) {
            ("WELCOME", _) => self.welcomed(now, &notice, inputs),
            ("EXIT", Some(name)) => run_ended(name, &notice, inputs),
            ("CALLOUT", Some(name)) => call_requested(name, &notice, inputs),
            ("METERS", _) => self.gauges_reported(now, notice, inputs),
            // A request that the executor does not know is not run. Other commands that it does not carry out change
            // nothing: a skip or a reply that was sent again may find that its run has gone on.
            ("BAD", Some(name)) if notice.state.as_deref() == Some("EXEC") => {
                ExecutorEvent::RequestUnknown.emit();
                inputs.push(Input::UnknownRequest { name });
            }
            ("BAD", _) => ExecutorEvent::CommandRejected.emit(),
            ("LOG" | "DIAGNOSED", _) => {}
            _ => ExecutorEvent::NoticeUnknown.emit(),
        }
    }

    fn welcomed(&mut self, now: f64, notice: &Notice, inputs: &mut Vec<Input>) {
        self.reconnect_pause_s = MIN_RECONNECT_S;
        let started_ms_ago = notice.started_ms_ago.filter(|ms| ms.is_finite()).unwrap_or(0.0);
        let started = now - started_ms_ago / 1000.0;
        // One that started after the last notice is another process. Its start alone does not tell: a welcome that is
        // read late makes it look later than it was.
        let restarted = self.welcome.is_some() && started > self.last_heard;
        if restarted {
            ExecutorEvent::Restarted.emit();
            inputs.push(Input::RunsLost);
            self.last_notice = 0;
        }
        if restarted || self.welcome.is_none() {
            let cold = notice.state.as_deref() == Some("EMPTY");
            self.welcome = Some(Welcome { cold, started });
        }
    }

    fn gauges_reported(&mut self, now: f64, notice: Notice, inputs: &mut Vec<Input>) {
        if let Some(values) = notice.gauges {
            self.gauges = Some((now, read_gauges(&self.gauge_names, &values)));
        }
        let reference = notice.reference.unwrap_or_default();
        let fence = reference.strip_prefix(FENCE_PREFIX).and_then(|number| number.parse().ok());
        if fence == Some(self.fence) {
            if let Some(lost) = self.lost_commands.take() {
                inputs.push(Input::CommandsLost { from: lost.from, to: lost.to });
            }
        }
    }
}

fn run_ended(name: Rc<str>, notice: &Notice, inputs: &mut Vec<Input>) {
    let result = notice.data.as_deref().map(|data| STANDARD.decode(data));
    let (outcome, result) = match (notice.state.as_deref(), result) {
        (Some("PASS"), Some(Ok(result))) => (Outcome::Ok, Some(Rc::from(result))),
        (Some("PASS"), None) => (Outcome::Ok, Some(Rc::from([]))),
        (Some("KILLED"), _) => (Outcome::Cancelled, None),
        (Some("NOOP"), _) => (Outcome::NotStarted, None),
        (Some("FAIL"), _) => (Outcome::Error, None),
        _ => {
            ExecutorEvent::NoticeMalformed(MalformedNotice::Exit).emit();
            (Outcome::Error, None)
        }
    };
    inputs.push(Input::RunEnded { name, outcome, result });
}

fn call_requested(name: Rc<str>, notice: &Notice, inputs: &mut Vec<Input>) {
    match notice.data.as_deref().map_or(Ok(Vec::new()), |data| STANDARD.decode(data)) {
        Ok(body) => {
            inputs.push(Input::AtCall { name, body: body.into(), sequence: notice.number.unwrap_or(0) });
        }
        Err(_) => ExecutorEvent::NoticeMalformed(MalformedNotice::Callout).emit(),
    }
}
