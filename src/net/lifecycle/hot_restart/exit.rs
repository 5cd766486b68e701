//! Exit of a process that has handed off the listeners and then received the shutdown notice.

use crate::dispatch::Dispatcher;
use crate::log::LogEvent;
use crate::net::events::{HotRestartEvent, LifecycleEvent, ResponseState};
use crate::net::io::timer_wheel::Timer;
use crate::net::Worker;

/// The longest deadline of all classes counts at most this much towards the time of SIGKILL (seconds).
const MAX_COUNTED_DEADLINE_S: f64 = 3.0;
/// SIGKILL follows SIGTERM after the longest deadline of all classes, as far as it counts, plus this time (seconds).
const KILL_AFTER_DEADLINE_S: f64 = 0.7;
/// The process exits this long before SIGKILL (seconds).
const EXIT_MARGIN_S: f64 = 0.1;

impl Worker {
    /// Makes the process exit once no response is pending, and in any case before it is killed.
    pub(super) fn exit_when_idle(&mut self, now: f64) {
        let deadlines = self.configuration.settings.classes.iter().map(|c| c.deadline_s);
        let longest_deadline_s = deadlines.fold(0.0, f64::max).min(MAX_COUNTED_DEADLINE_S);
        let kill_at = match &self.shutdown {
            // A shutdown that was in progress when the listeners were handed off keeps its own stop time.
            Some(shutdown) => shutdown.timeline.kill_at,
            // The notice may have arrived at any time since the previous turn began.
            None => self.loop_state.previous_turn_began + longest_deadline_s + KILL_AFTER_DEADLINE_S,
        };
        let exit_by = kill_at - EXIT_MARGIN_S;
        if let Some(hot_restart) = &mut self.hot_restart {
            hot_restart.exit_by = Some(exit_by);
        }
        self.wheel.set(now, exit_by - now, Timer::NextTurn);
        HotRestartEvent::ExitPending.emit();
    }

    /// Exits if everything has been handed off, connections have ended and the process has left the fleet, or once `exit_by`
    /// is reached.
    pub(in crate::net) fn advance_exit_after_hand_off(&mut self, now: f64) {
        let Some(exit_by) = self.hot_restart.as_ref().and_then(|r| r.exit_by) else { return };
        let must_exit = now >= exit_by;
        let all_handed_off = self.has_handed_off_everything();
        if !all_handed_off && must_exit {
            self.respond_all();
        }
        if must_exit {
            self.abandon_scheduled_calls();
        }
        let is_done = all_handed_off && self.has_left_fleet();
        if is_done && self.end_connections(now, false) || must_exit {
            let responses = if all_handed_off { ResponseState::AllHandedOff } else { ResponseState::Pending };
            LifecycleEvent::ShutdownComplete(responses).emit();
            self.exit(now);
        }
    }

    /// Whether no response is pending, everything has been sent to the successor, and the predecessor has exited.
    fn has_handed_off_everything(&self) -> bool {
        let Some(hot_restart) = &self.hot_restart else { return false };
        let idle = self.dispatcher.as_ref().is_none_or(Dispatcher::is_idle);
        // Without a successor, idle connections can't be handed off.
        let frontends_done = if hot_restart.links.has_successor() {
            self.frontends.all_handed_off()
        } else {
            self.frontends.all_idle()
        };
        let all_sent = hot_restart.links.all_sent();
        idle && frontends_done && all_sent && !hot_restart.ownership.has_predecessor()
    }
}
