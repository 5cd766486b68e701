//! Translates the executor's notices into dispatcher inputs.

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
    /// Handles one notice. Duplicates are ignored: after a reconnect the executor may repeat the last notices.
    pub(super) fn handle_notice(&mut self, now: f64, notice: Notice, inputs: &mut Vec<Input>) {
        if let Some(number) = notice.number {
            if number <= self.last_notice_number {
                return;
            }
            self.last_notice_number = number;
        }
        match (notice.kind.as_str(), notice.job.clone()) {
            ("WELCOME", _) => self.on_welcome(now, &notice, inputs),
            ("EXIT", Some(name)) => on_run_ended(name, &notice, inputs),
            ("CALLOUT", Some(name)) => on_call_requested(name, &notice, inputs),
            ("METERS", _) => self.on_gauges(now, notice, inputs),
            // A rejected EXEC means that the executor does not know the request, so it has not run. Rejections of other
            // commands need no action: a resent skip or reply may arrive when its run has already continued.
            ("BAD", Some(name)) if notice.state.as_deref() == Some("EXEC") => {
                ExecutorEvent::RequestUnknown.emit();
                inputs.push(Input::UnknownRequest { name });
            }
            ("BAD", _) => ExecutorEvent::CommandRejected.emit(),
            ("LOG" | "DIAGNOSED", _) => {}
            _ => ExecutorEvent::NoticeUnknown.emit(),
        }
    }

    fn on_welcome(&mut self, now: f64, notice: &Notice, inputs: &mut Vec<Input>) {
        self.reconnect_backoff_s = MIN_RECONNECT_S;
        let started_ms_ago = notice.started_ms_ago.filter(|ms| ms.is_finite()).unwrap_or(0.0);
        let started = now - started_ms_ago / 1000.0;
        // A start time after the last notice means that this is a new executor process. Comparing start times alone
        // would be wrong: a WELCOME that is read late makes the start look later than it was.
        let restarted = self.welcome.is_some() && started > self.last_notice_at;
        if restarted {
            ExecutorEvent::Restarted.emit();
            inputs.push(Input::RunsLost);
            self.last_notice_number = 0;
        }
        if restarted || self.welcome.is_none() {
            let cold = notice.state.as_deref() == Some("EMPTY");
            self.welcome = Some(Welcome { cold, started });
        }
    }

    fn on_gauges(&mut self, now: f64, notice: Notice, inputs: &mut Vec<Input>) {
        if let Some(values) = notice.gauges {
            self.gauges = Some((now, read_gauges(&self.gauge_names, &values)));
        }
        let reference = notice.reference.unwrap_or_default();
        let fence_number = reference.strip_prefix(FENCE_PREFIX).and_then(|number| number.parse().ok());
        if fence_number == Some(self.last_fence) {
            if let Some(lost) = self.lost_commands.take() {
                inputs.push(Input::CommandsLost { from: lost.from, to: lost.to });
            }
        }
    }
}

fn on_run_ended(name: Rc<str>, notice: &Notice, inputs: &mut Vec<Input>) {
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

fn on_call_requested(name: Rc<str>, notice: &Notice, inputs: &mut Vec<Input>) {
    match notice.data.as_deref().map_or(Ok(Vec::new()), |data| STANDARD.decode(data)) {
        Ok(body) => {
            inputs.push(Input::AtCall { name, body: body.into(), sequence: notice.number.unwrap_or(0) });
        }
        Err(_) => ExecutorEvent::NoticeMalformed(MalformedNotice::Callout).emit(),
    }
}
