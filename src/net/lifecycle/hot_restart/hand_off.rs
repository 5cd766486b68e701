//! The predecessor's side of a hot restart: handling of the successor's frames, and the hand-off.

use super::messages::{loop_epoch_unix_ms, to_connection, to_key_state, to_keys_report, to_queued_request};
use super::UsageReport;
use crate::dispatch::idempotency::IdempotencyUpdate;
use crate::dispatch::{Command, HandOffState, HandedOffRequest, Input, ResourceUsage};
use crate::hot_restart::frame::{Frame, Usage, VERSION};
use crate::hot_restart::{Event, IndeterminateKeys};
use crate::log::LogEvent;
use crate::net::events::{HotRestartEvent, Peer};
use crate::net::frontends::connections::{Connection, ConnectionState};
use crate::net::Worker;

/// Descriptors that a process holds outside its budget: the standard streams, those of the event loop, and the links to
/// the other processes of a hot restart.
const OVERHEAD_DESCRIPTORS: usize = 10;

/// Why a process is not accepted as the successor.
#[derive(Debug, thiserror::Error)]
enum SuccessorMismatch {
    #[error("version {found}, expected {expected}")]
    Version { found: u32, expected: u32 },
    #[error("another name, other classes or other tenants")]
    Identity,
}

/// Whether no response is pending on this connection.
fn is_idle<P>(connection: &Connection<P>) -> bool {
    matches!(connection.state, ConnectionState::Idle | ConnectionState::Reading)
}

impl Worker {
    pub(super) fn on_successor_frame(&mut self, now: f64, frame: Frame, inputs: &mut Vec<Input>) {
        match frame {
            Frame::Hello { version, name, classes, tenants } => {
                let compatible = self.check_successor(version, &name, &classes, &tenants);
                self.reply_to_hello(compatible);
            }
            Frame::RequestListeners if self.hot_restart.as_ref().is_some_and(|r| r.successor_accepted) => {
                self.on_hot_restart_event(now, Event::ListenersRequested, inputs);
            }
            Frame::TakeoverConfirmed => self.on_hot_restart_event(now, Event::TakeoverConfirmed, inputs),
            _ => HotRestartEvent::FrameUnexpected(Peer::Successor).emit(),
        }
    }

    fn check_successor(
        &self,
        version: u32,
        name: &str,
        classes: &[String],
        tenants: &[String],
    ) -> Result<(), SuccessorMismatch> {
        let settings = &self.configuration.platform.settings;
        let same_classes = classes.iter().eq(settings.profiles.iter().map(|p| &p.name));
        let same_tenants = tenants.iter().eq(settings.tenants.iter().map(|t| &t.name));
        if version != VERSION {
            return Err(SuccessorMismatch::Version { found: version, expected: VERSION });
        }
        if name != self.configuration.platform.name || !same_classes || !same_tenants {
            return Err(SuccessorMismatch::Identity);
        }
        Ok(())
    }

    fn reply_to_hello(&mut self, compatible: Result<(), SuccessorMismatch>) {
        let Some(hot_restart) = &mut self.hot_restart else { return };
        hot_restart.successor_accepted = compatible.is_ok();
        match compatible {
            Ok(()) => hot_restart.links.send_to_successor(&Frame::Welcome, None),
            Err(mismatch) => {
                HotRestartEvent::SuccessorIncompatible { reason: &mismatch }.emit();
                let reason = mismatch.to_string();
                hot_restart.links.send_to_successor(&Frame::Incompatible { reason }, None);
            }
        }
    }

    /// Sends everything that the successor needs, all at once. The sent requests, connections and listening sockets are
    /// retained until the successor confirms the takeover.
    pub(super) fn hand_off(&mut self, now: f64, inputs: &mut Vec<Input>) {
        // Inputs gathered so far concern requests that are about to be handed off, so they are dispatched first.
        self.dispatch(now, inputs);
        if let Some(hot_restart) = &mut self.hot_restart {
            // An earlier successor, which has died, had the last report.
            hot_restart.reported = None;
        }
        let mut commands = Vec::new();
        self.close_listeners_for_hand_off();
        self.send_listeners();
        if let Some(state) = self.hand_off_dispatcher(now, &mut commands) {
            self.send_hand_off_state(now, state, inputs);
        }
        for id in self.frontends.http1.connections.ids_where(is_idle) {
            self.send_connection(id);
        }
        let queued = self.hot_restart.as_ref().map_or(0, |r| r.handed_off_requests.len());
        HotRestartEvent::RequestsHandedOff { queued }.emit();
        // Handed-off connections are counted by the successor.
        let handed_off_connections =
            self.frontends.http1.connections.ids_where(|c| c.state == ConnectionState::HandedOff).len();
        self.report_usage(handed_off_connections);
        self.send_to_successor(&Frame::StateComplete);
        for command in commands {
            self.execute(now, command, inputs);
        }
    }

    /// Closes the listeners of all frontends. Those that the successor does not inherit from the platform are retained,
    /// to be sent to it.
    fn close_listeners_for_hand_off(&mut self) {
        self.context.availability.handing_off = true;
        let Some(hot_restart) = &mut self.hot_restart else { return };
        hot_restart.frontend_listeners = self.frontends.listeners_to_hand_off();
        self.frontends.stop_listening();
        self.frontends.announce_close();
    }

    fn send_listeners(&mut self) {
        let Some(hot_restart) = &mut self.hot_restart else { return };
        for listener in &hot_restart.frontend_listeners {
            // If the descriptor can't be duplicated, the successor binds the address once this process has ended.
            if let Ok(socket) = listener.socket.try_clone() {
                let frame = Frame::Listener { frontend: listener.kind.as_str().to_owned() };
                hot_restart.links.send_to_successor(&frame, Some(socket.into()));
            }
        }
    }

    fn hand_off_dispatcher(&mut self, now: f64, commands: &mut Vec<Command>) -> Option<HandOffState> {
        let dispatcher = self.dispatcher.as_mut()?;
        let connections = &self.frontends.http1.connections;
        let state = dispatcher.hand_off(now, |ticket| connections.owns(ticket.0), commands);
        dispatcher.set_indeterminate_keys(IndeterminateKeys::All);
        Some(state)
    }

    fn send_hand_off_state(&mut self, now: f64, state: HandOffState, inputs: &mut Vec<Input>) {
        let epoch_unix_ms = loop_epoch_unix_ms(&self.clock);
        self.send_to_successor(&Frame::State {
            fingerprint_key: state.fingerprint_key,
            draining: self.context.availability.draining,
            learned: state.learned,
            running: state.running,
        });
        for update in &state.keys {
            self.send_to_successor(&Frame::Key(to_key_state(update, epoch_unix_ms)));
        }
        for request in state.requests {
            self.send_request(now, request, epoch_unix_ms, inputs);
        }
    }

    /// Sends a request together with its connection. If the connection can't be handed off, the request stays here and
    /// is answered here.
    fn send_request(
        &mut self,
        now: f64,
        request: HandedOffRequest,
        epoch_unix_ms: f64,
        inputs: &mut Vec<Input>,
    ) {
        let Some(hot_restart) = &mut self.hot_restart else { return };
        let Some(detached) = self.frontends.http1.connections.detach(request.request.ticket.0) else {
            inputs.push(Input::Arrived(request.at(now)));
            return;
        };
        let queued = to_queued_request(&request, epoch_unix_ms);
        let frame = Frame::Connection(to_connection(&detached, Some(queued)));
        hot_restart.links.send_to_successor(&frame, Some(detached.stream));
        hot_restart.handed_off_requests.push(request);
    }

    /// Sends a connection that has no pending request.
    fn send_connection(&mut self, id: u64) {
        let Some(hot_restart) = &mut self.hot_restart else { return };
        if let Some(detached) = self.frontends.http1.connections.detach(id) {
            let frame = Frame::Connection(to_connection(&detached, None));
            hot_restart.links.send_to_successor(&frame, Some(detached.stream));
        }
    }

    /// Sends connections that have become idle since the hand-off, and closes them here.
    pub(super) fn hand_off_idle_connections(&mut self) {
        for id in self.frontends.http1.connections.ids_where(is_idle) {
            self.send_connection(id);
            self.frontends.http1.connections.close(id);
        }
    }

    /// Undoes the hand-off after the successor has ended without confirming: accepts clients again and takes back the
    /// requests and connections that were sent.
    pub(super) fn reclaim(&mut self, now: f64, inputs: &mut Vec<Input>) {
        self.accept_clients(now);
        let Some(hot_restart) = &mut self.hot_restart else { return };
        for request in std::mem::take(&mut hot_restart.handed_off_requests) {
            self.frontends.http1.connections.reattach(now, request.request.ticket.0, true);
            inputs.push(Input::Arrived(request.at(now)));
        }
        for id in self.frontends.http1.connections.ids_where(|c| c.state == ConnectionState::HandedOff) {
            self.frontends.http1.connections.reattach(now, id, false);
        }
        HotRestartEvent::ListenersReclaimed.emit();
    }

    fn send_to_successor(&mut self, frame: &Frame) {
        if let Some(hot_restart) = &mut self.hot_restart {
            hot_restart.links.send_to_successor(frame, None);
        }
    }

    /// Sends the successor an update of an idempotency key.
    pub(in crate::net) fn send_key_update(&mut self, update: &IdempotencyUpdate) {
        let key_state = to_key_state(update, loop_epoch_unix_ms(&self.clock));
        self.send_to_successor(&Frame::Key(key_state));
    }

    /// Forwards a drain that operators began or ended here to the successor. Returns `false` if this process has not
    /// handed off.
    pub(in crate::net) fn forward_drain(&mut self, draining: bool) -> bool {
        let has_handed_off = self.has_handed_off();
        if has_handed_off {
            self.send_to_successor(&Frame::Drain(draining));
        }
        has_handed_off
    }

    /// Reports the resources that this process uses and its indeterminate keys to the successor, if they have changed.
    /// `uncounted_connections` are left out.
    pub(super) fn report_usage(&mut self, uncounted_connections: usize) {
        let Some(dispatcher) = &self.dispatcher else { return };
        let usage = dispatcher.usage();
        let sockets = self.poll.used().saturating_sub(uncounted_connections) + OVERHEAD_DESCRIPTORS;
        let epoch_unix_ms = loop_epoch_unix_ms(&self.clock);
        let Some(hot_restart) = &mut self.hot_restart else { return };
        let indeterminate_keys = hot_restart.indeterminate_keys;
        let report = UsageReport { usage, sockets, indeterminate_keys };
        if hot_restart.reported != Some(report) {
            hot_restart.reported = Some(report);
            hot_restart.links.send_to_successor(&Frame::Usage(usage_frame(report, epoch_unix_ms)), None);
        }
    }
}

fn usage_frame(report: UsageReport, epoch_unix_ms: f64) -> Usage {
    let ResourceUsage { on_cores, downstream_calls, memory_kb } = report.usage;
    let indeterminate_keys = Some(to_keys_report(report.indeterminate_keys, epoch_unix_ms));
    Usage { on_cores, downstream_calls, memory_kb, sockets: report.sockets, indeterminate_keys }
}
