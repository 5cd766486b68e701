//! What ends HTTP/2 connections by time or by their size: stalled clients, large response backlogs, idleness.

use super::response_backlog::{largest_beyond, ResponseBacklog};
use super::session::IdleOutcome;
use super::Http2Frontend;
use crate::dispatch::Input;
use crate::log::LogEvent;
use crate::net::events::{FrontendEvent, SessionEndCause};
use crate::net::frontends::connections::ConnectionState;

/// How long a client may take nothing of what waits for it (seconds).
const MAX_SEND_STALL_S: f64 = 10.0;

impl Http2Frontend {
    /// Ends connections that are due, and has all others processed: streams that are too slow end by time alone.
    /// While operators drain this worker, idle clients are sent a GOAWAY as if they had been idle for long: a health check
    /// moves no client that keeps its connection.
    pub(super) fn sweep_sessions(&mut self, now: f64, draining: bool, inputs: &mut Vec<Input>) {
        self.close_stalled(now, inputs);
        self.end_largest_backlogs(now, inputs);
        self.end_idle(now, draining, inputs);
        self.connections.touch_all();
    }

    /// Closes clients that take nothing of what waits for them.
    fn close_stalled(&mut self, now: f64, inputs: &mut Vec<Input>) {
        let stalled = self.connections.ids_where(|connection| {
            connection.state == ConnectionState::AwaitingResponse
                && connection.link.queued() > 0
                && connection.protocol_state.send_stalled_s(now) > MAX_SEND_STALL_S
        });
        for id in stalled {
            self.close(id, inputs);
        }
    }

    /// Ends the connections with the most pending output while more waits than the settings allow.
    fn end_largest_backlogs(&mut self, now: f64, inputs: &mut Vec<Input>) {
        let backlogs = self.response_backlogs();
        for id in largest_beyond(backlogs, self.settings.waiting_kb as usize * 1024) {
            FrontendEvent::Http2SessionTerminated(SessionEndCause::ResponseBacklog).emit();
            let connection = self.connections.get_mut(id);
            if let Some(active) = connection.and_then(|c| c.protocol_state.active.as_deref_mut()) {
                active.session.abort_for_abuse();
            }
            self.finish(id, now, inputs);
        }
    }

    fn response_backlogs(&mut self) -> Vec<ResponseBacklog> {
        let mut backlogs = Vec::new();
        for id in self.connections.ids_where(|c| c.protocol_state.active.is_some()) {
            let Some(connection) = self.connections.get_mut(id) else { continue };
            let Some(active) = &connection.protocol_state.active else { continue };
            let bytes = active.session.pending_response_bytes() + connection.link.queued();
            backlogs.push(ResponseBacklog { id, bytes });
        }
        backlogs
    }

    /// Checks on clients without a stream, and ends those that don't answer.
    fn end_idle(&mut self, now: f64, draining: bool, inputs: &mut Vec<Input>) {
        let mut overdue = Vec::new();
        for id in self.connections.ids_where(|connection| connection.state == ConnectionState::Idle) {
            let Some(connection) = self.connections.get_mut(id) else { continue };
            let idle_since = connection.state_since();
            let Some(active) = &mut connection.protocol_state.active else { continue };
            let outcome = active.session.poll_idle(now, idle_since, &self.settings, draining);
            if outcome == IdleOutcome::Close {
                overdue.push(id);
            }
        }
        for id in overdue {
            self.finish(id, now, inputs);
        }
    }
}
