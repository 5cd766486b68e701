//! The exit of a process that has handed off and has had the shutdown notice.

use crate::dispatch::Dispatcher;
use crate::log::LogEvent;
use crate::net::events::{HotRestartEvent, LifecycleEvent, ResponseState};
use crate::net::io::timer_wheel::Timer;
use crate::net::Worker;

/// SIGKILL follows SIGTERM after the longest deadline, which counts as this where it is shorter (seconds).
const MIN_LONGEST_DEADLINE_S: f64 = 3.0;
/// And so much later (seconds).
const KILL_AFTER_DEADLINE_S: f64 = 0.7;
/// The process exits so long before (seconds).
const EXIT_MARGIN_S: f64 = 0.1;

impl Worker {
    /// From here on the process exits once no response is pending, and before it is killed in any case.
    pub(super) fn exit_when_idle(&mut self, now: f64) {
        let deadlines = self.configuration.settings.classes.iter().map(|c| c.deadline_s);
        let longest_deadline_s = deadlines.fold(MIN_LONGEST_DEADLINE_S, f64::max);
        // A shutdown that was under way when the listeners went has its own end.
        let kill_at = match &self.shutdown {
            Some(leaving) => leaving.at.kill_at,
            None => now + longest_deadline_s + KILL_AFTER_DEADLINE_S,
        };
        let exit_by = kill_at - EXIT_MARGIN_S;
        if let Some(hot_restart) = &mut self.hot_restart {
            hot_restart.exit_by = Some(exit_by);
        }
        self.wheel.set(now, exit_by - now, Timer::Again);
        HotRestartEvent::ExitPending.emit();
    }

    /// Exits if it is time to.
    pub(in crate::net) fn follow_exit(&mut self, now: f64) {
        let Some(exit_by) = self.hot_restart.as_ref().and_then(|r| r.exit_by) else { return };
        let must_exit = now >= exit_by;
        let all_handed_off = self.has_handed_off_everything();
        if !all_handed_off && must_exit {
            self.respond_all();
        }
        if all_handed_off && self.end_connections(now, false) || must_exit {
            let responses = if all_handed_off { ResponseState::AllHandedOff } else { ResponseState::Pending };
            LifecycleEvent::ShutdownComplete(responses).emit();
            self.exit(now);
        }
    }

    /// Whether no response is pending and the successor has been sent everything.
    fn has_handed_off_everything(&self) -> bool {
        let Some(hot_restart) = &self.hot_restart else { return false };
        let idle = self.dispatcher.as_ref().is_none_or(Dispatcher::is_idle);
        // Without a successor nobody takes idle connections.
        let frontends_done = if hot_restart.links.has_successor() {
            self.frontends.all_handed_off()
        } else {
            self.frontends.all_idle()
        };
        let all_sent = hot_restart.links.all_sent();
        idle && frontends_done && all_sent && !hot_restart.ownership.has_predecessor()
    }
}
