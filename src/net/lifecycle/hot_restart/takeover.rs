//! The successor's side of a hot restart: handling of the predecessor's frames, and adoption of the state that it hands
//! off.

use super::frontends::{operator_frontend, MAX_LISTENERS};
use super::messages::{loop_epoch_unix_ms, to_indeterminate_keys, to_key_update, to_request};
use super::peer_link::ReceivedFrame;
use super::staged_state::{PredecessorState, ReceivedConnection};
use crate::dispatch::{Input, ResourceUsage, Ticket};
use crate::hot_restart::frame::{
    Frame, HandedOffConnection, IndeterminateKeysReport, KeyState, QueuedRequest, Usage,
};
use crate::hot_restart::{Event, IndeterminateKeys};
use crate::log::LogEvent;
use crate::net::events::{HotRestartEvent, Peer};
use crate::net::frontends::connections::DetachedConnection;
use crate::net::frontends::FrontendListener;
use crate::net::Worker;
use std::net::TcpListener;
use std::os::fd::OwnedFd;
use std::rc::Rc;

/// The predecessor's keys and results may take the memory limit divided by this before they are adopted. That is twice
/// the limit of retained results, since the predecessor may also hold results that an older process has sent it.
const STAGED_KEYS_MEMORY_DIVISOR: f64 = crate::net::RESULT_MEMORY_DIVISOR / 2.0;

impl Worker {
    pub(super) fn on_predecessor_frame(
        &mut self,
        now: f64,
        received: ReceivedFrame,
        inputs: &mut Vec<Input>,
    ) {
        let ReceivedFrame { frame, descriptor } = received;
        let exceeds_limits = self.exceeds_staging_limits();
        let Some(hot_restart) = &mut self.hot_restart else { return };
        match frame {
            Frame::Welcome => self.on_hot_restart_event(now, Event::HelloAccepted, inputs),
            Frame::Incompatible { reason } => {
                HotRestartEvent::PredecessorIncompatible { reason: &reason }.emit();
                self.on_hot_restart_event(now, Event::Incompatible, inputs);
            }
            Frame::State { fingerprint_key, draining, learned, running } => {
                let state = PredecessorState { fingerprint_key, draining, learned, running };
                hot_restart.staged.state = Some(state);
            }
            Frame::Key(key) if hot_restart.staged.adopted => self.update_keys(now, vec![key], inputs),
            // The sender has sent more state than a worker can have, so it is not a port worker.
            _ if exceeds_limits => {
                HotRestartEvent::StateTooLarge.emit();
                self.on_hot_restart_event(now, Event::Incompatible, inputs);
            }
            Frame::Key(key) => hot_restart.staged.add_key(key),
            Frame::Usage(usage) => self.on_predecessor_usage(now, usage, inputs),
            Frame::Connection(connection) => self.on_connection(now, connection, descriptor, inputs),
            Frame::Listener { frontend } => self.on_listener(&frontend, descriptor),
            Frame::StateComplete => self.on_state_complete(now, inputs),
            Frame::Drain(draining) => self.set_draining(draining),
            Frame::Hello { .. } | Frame::RequestListeners | Frame::TakeoverConfirmed => {
                HotRestartEvent::FrameUnexpected(Peer::Predecessor).emit();
            }
        }
    }

    pub(super) fn on_predecessor_disconnected(&mut self, now: f64, inputs: &mut Vec<Input>) {
        HotRestartEvent::PeerExited(Peer::Predecessor).emit();
        self.poll.set_other_process_usage(0);
        self.on_hot_restart_event(now, Event::PredecessorDisconnected, inputs);
        inputs.push(Input::PredecessorExited);
        if self.owns_listeners() {
            // The predecessor's addresses are free now.
            self.open_operator_frontends();
        }
    }

    fn exceeds_staging_limits(&self) -> bool {
        let Some(hot_restart) = &self.hot_restart else { return false };
        let limits = &self.configuration.platform.limits;
        let max_key_bytes = (limits.memory_mb * 1024.0 * 1024.0 / STAGED_KEYS_MEMORY_DIVISOR) as usize;
        let staged = &hot_restart.staged;
        staged.key_bytes > max_key_bytes || staged.connections.len() > limits.sockets
    }

    fn update_keys(&self, now: f64, key_states: Vec<KeyState>, inputs: &mut Vec<Input>) {
        let epoch_unix_ms = loop_epoch_unix_ms(&self.clock);
        let latest_expiry = now + self.max_key_retention_s();
        let updates = key_states.into_iter().map(|key| to_key_update(key, epoch_unix_ms, latest_expiry));
        inputs.extend(updates.map(Input::IdempotencyUpdate));
    }

    fn on_predecessor_usage(&mut self, now: f64, usage: Usage, inputs: &mut Vec<Input>) {
        let Some(hot_restart) = &mut self.hot_restart else { return };
        if !hot_restart.staged.adopted {
            hot_restart.staged.usage = usage;
            return;
        }
        self.set_predecessor_usage(usage, inputs);
        let last_report = self.hot_restart.as_ref().and_then(|r| r.predecessor_keys);
        if usage.indeterminate_keys != last_report {
            let keys = self.predecessor_indeterminate_keys(now, usage.indeterminate_keys);
            self.on_hot_restart_event(now, Event::PredecessorKeysChanged(keys), inputs);
        }
    }

    fn on_state_complete(&mut self, now: f64, inputs: &mut Vec<Input>) {
        let report = self.hot_restart.as_ref().and_then(|r| r.staged.usage.indeterminate_keys);
        let keys = self.predecessor_indeterminate_keys(now, report);
        self.on_hot_restart_event(now, Event::StateReceived(keys), inputs);
    }

    /// Records the predecessor's report of its indeterminate keys, and converts it.
    fn predecessor_indeterminate_keys(
        &mut self,
        now: f64,
        report: Option<IndeterminateKeysReport>,
    ) -> IndeterminateKeys {
        if let Some(hot_restart) = &mut self.hot_restart {
            hot_restart.predecessor_keys = report;
        }
        let latest_end = now + self.max_key_retention_s();
        to_indeterminate_keys(report, loop_epoch_unix_ms(&self.clock), latest_end)
    }

    fn on_connection(
        &mut self,
        now: f64,
        connection: HandedOffConnection,
        descriptor: Option<OwnedFd>,
        inputs: &mut Vec<Input>,
    ) {
        let Some(hot_restart) = &mut self.hot_restart else { return };
        let Some(stream) = descriptor else { return };
        let received = ReceivedConnection { connection, stream };
        if hot_restart.staged.adopted {
            self.adopt_connection(now, received, inputs);
        } else {
            hot_restart.staged.connections.push(received);
        }
    }

    fn on_listener(&mut self, frontend: &str, descriptor: Option<OwnedFd>) {
        let Some(hot_restart) = &mut self.hot_restart else { return };
        let (Some(kind), Some(descriptor)) = (operator_frontend(frontend), descriptor) else { return };
        if hot_restart.frontend_listeners.len() < MAX_LISTENERS {
            let socket = Rc::new(TcpListener::from(descriptor));
            hot_restart.frontend_listeners.push(FrontendListener { kind, socket });
        }
    }

    /// Adopts all state that the predecessor has sent.
    pub(super) fn adopt_staged_state(&mut self, now: f64, inputs: &mut Vec<Input>) {
        let Some(hot_restart) = &mut self.hot_restart else { return };
        let staged = hot_restart.staged.adopt();
        let keys = staged.keys.len();
        let connections = staged.connections.len();
        let has_request = |c: &&ReceivedConnection| c.connection.queued_request.is_some();
        let queued = staged.connections.iter().filter(has_request).count();
        let predecessor_runs = staged.usage.on_cores;
        if let Some(state) = staged.state {
            self.adopt_predecessor_state(state, inputs);
        }
        self.update_keys(now, staged.keys, inputs);
        self.set_predecessor_usage(staged.usage, inputs);
        for received in staged.connections {
            self.adopt_connection(now, received, inputs);
        }
        self.open_operator_frontends();
        HotRestartEvent::StateAdopted { keys, connections, queued, predecessor_runs }.emit();
    }

    fn adopt_predecessor_state(&mut self, state: PredecessorState, inputs: &mut Vec<Input>) {
        if let Some(dispatcher) = &mut self.dispatcher {
            dispatcher.inherit_from_predecessor(state.fingerprint_key, state.running);
        }
        inputs.push(Input::LearnedState(state.learned));
        // A drain that was requested from this process while it waited for the hand-off remains in effect.
        self.set_draining(state.draining || self.context.availability.draining);
    }

    fn set_predecessor_usage(&mut self, usage: Usage, inputs: &mut Vec<Input>) {
        let Usage { on_cores, downstream_calls, memory_kb, sockets, .. } = usage;
        self.poll.set_other_process_usage(sockets);
        let usage = ResourceUsage { on_cores, downstream_calls, memory_kb };
        inputs.push(Input::PredecessorUsage(usage));
    }

    fn adopt_connection(&mut self, now: f64, received: ReceivedConnection, inputs: &mut Vec<Input>) {
        let ReceivedConnection { connection, stream } = received;
        // The controller ignores requests with an unknown class or tenant, so they would never be answered.
        if connection.queued_request.as_ref().is_some_and(|request| !self.is_valid_request(request)) {
            return HotRestartEvent::RequestRejected.emit();
        }
        let detached = DetachedConnection {
            stream,
            unread: connection.unread.0.to_vec(),
            requests_read: connection.requests_read,
            close_after_response: connection.close_after_response,
            protocol_state: connection.continued,
        };
        let has_request = connection.queued_request.is_some();
        let Some(id) = self.frontends.http1.connections.adopt(now, detached, has_request) else {
            return HotRestartEvent::ConnectionRejected.emit();
        };
        if let Some(request) = connection.queued_request {
            inputs.push(Input::Arrived(to_request(request, Ticket(id), self.clock.unix_ms())));
        }
    }

    fn is_valid_request(&self, request: &QueuedRequest) -> bool {
        let settings = &self.configuration.platform.settings;
        let known_class = request.class < settings.profiles.len();
        let known_tenant = request.tenant.is_none_or(|tenant| tenant < settings.tenants.len());
        let numbers = [request.memory_kb, request.arrived_at_ms, request.deadline_ms];
        known_class && known_tenant && numbers.iter().all(|n| n.is_finite() && *n >= 0.0)
    }
}
