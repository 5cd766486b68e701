//! Closes HTTP/2 connections whose client is stalled or idle, or whose response backlog is too large.

use super::response_backlog::{connections_over_limit, ResponseBacklog};
use super::session::IdleOutcome;
use super::Http2Frontend;
use crate::dispatch::Input;
use crate::net::events::SessionEndCause;
use crate::net::frontends::connections::ConnectionState;

/// How long a client may accept none of its queued output (seconds).
const MAX_SEND_STALL_S: f64 = 10.0;

impl Http2Frontend {
    /// Closes connections that exceed a limit, and schedules all others for processing, which ends streams that have
    /// timed out. While operators drain this worker, idle clients are sent a GOAWAY as if their idle timeout had
    /// passed: health checks alone don't move clients that keep their connection open.
    pub(super) fn sweep_sessions(&mut self, now: f64, draining: bool, inputs: &mut Vec<Input>) {
        self.close_stalled(now, inputs);
        self.end_largest_backlogs(now, inputs);
        self.end_idle(now, draining, inputs);
        self.connections.schedule_all();
    }

    /// Closes connections whose client accepts none of its queued output.
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

    /// Closes the connections with the largest backlogs until the total is within the configured limit.
    fn end_largest_backlogs(&mut self, now: f64, inputs: &mut Vec<Input>) {
        let backlogs = self.response_backlogs();
        for id in connections_over_limit(backlogs, self.settings.waiting_kb as usize * 1024) {
            self.abort(id, SessionEndCause::ResponseBacklog, now, inputs);
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

    /// Checks clients without streams, and closes the connections of those that don't respond.
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
