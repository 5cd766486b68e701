//! Hot restart of a worker: executes the effects that [`crate::hot_restart`] decides on, on the frontends, the
//! dispatcher and the links to the other processes.
#![warn(missing_docs)]

mod effects;
mod exit;
mod frontends;
mod hand_off;
mod inherited_listener;
mod links;
mod messages;
mod peer_link;
mod staged_state;
mod takeover;

pub(in crate::net) use inherited_listener::inherited_listener;
pub use inherited_listener::InheritedListenerError;
pub(in crate::net) use links::Links;

use crate::dispatch::{HandedOffRequest, Input, ResourceUsage};
use crate::hot_restart::frame::IndeterminateKeysReport;
use crate::hot_restart::{Event, IndeterminateKeys, ListenerOwnership, PREDECESSOR_TIMEOUT_S};
use crate::log::LogEvent;
use crate::net::events::{HotRestartEvent, Peer};
use crate::net::frontends::FrontendListener;
use crate::net::io::timer_wheel::Timer;
use crate::net::{ListenError, Worker};
use links::{LinkEvent, Predecessor};
use staged_state::StagedState;
use std::net::TcpListener;
use std::rc::Rc;

/// What a process reports to its successor whenever it changes.
#[derive(Clone, Copy, PartialEq)]
struct UsageReport {
    usage: ResourceUsage,
    /// Number of file descriptors.
    sockets: usize,
    indeterminate_keys: IndeterminateKeys,
}

/// The hot restart state of a worker. It exists only if the listening socket is inherited and there is a shared folder
/// for the Unix socket.
pub(in crate::net) struct HotRestart {
    pub(in crate::net) links: Links,
    pub(in crate::net) ownership: ListenerOwnership,
    /// The inherited socket of the HTTP frontend.
    http_socket: Rc<TcpListener>,
    staged: StagedState,
    /// Requests that were sent to the successor, which has not confirmed the takeover yet.
    handed_off_requests: Vec<HandedOffRequest>,
    /// Listening sockets that were received from the predecessor or sent to the successor.
    frontend_listeners: Vec<FrontendListener>,
    /// Why a frontend could not be opened.
    frontend_error: Option<ListenError>,
    /// What was last reported to the successor; `None` if nothing was.
    reported: Option<UsageReport>,
    /// The predecessor's last report of its indeterminate keys.
    predecessor_keys: Option<IndeterminateKeysReport>,
    /// The successor's hello was accepted.
    successor_accepted: bool,
    /// How unknown keys are treated unless a hand-off is in progress or complete: during and after it, the dispatcher
    /// treats all of them as indeterminate.
    indeterminate_keys: IndeterminateKeys,
    /// Latest time of the exit, set after the shutdown notice once the listeners are handed off (loop's clock,
    /// seconds).
    exit_by: Option<f64>,
}

impl HotRestart {
    /// Creates the state of a process that has not looked for a predecessor yet. `longest_key_window_s` is the longest
    /// window of any class's idempotency keys.
    pub(in crate::net) fn new(links: Links, http_socket: Rc<TcpListener>, longest_key_window_s: f64) -> Self {
        HotRestart {
            links,
            ownership: ListenerOwnership::new(longest_key_window_s),
            http_socket,
            staged: StagedState::default(),
            handed_off_requests: Vec::new(),
            frontend_listeners: Vec::new(),
            frontend_error: None,
            reported: None,
            predecessor_keys: None,
            successor_accepted: false,
            indeterminate_keys: IndeterminateKeys::None,
            exit_by: None,
        }
    }

    /// Returns how a dispatcher that starts now must treat unknown keys.
    pub(in crate::net) fn indeterminate_keys(&self) -> IndeterminateKeys {
        self.indeterminate_keys
    }
}

impl Worker {
    /// Whether this process owns the listeners. Always true without hot restart.
    pub(in crate::net) fn owns_listeners(&self) -> bool {
        self.hot_restart.as_ref().is_none_or(|r| r.ownership.is_owner())
    }

    /// Whether a successor owns the listeners, or has been sent everything that it needs to own them.
    pub(in crate::net) fn has_handed_off(&self) -> bool {
        self.hot_restart.as_ref().is_some_and(|r| r.ownership.has_handed_off())
    }

    /// Looks for a process that is already serving. Called once, right after the start.
    ///
    /// # Errors
    ///
    /// There is no predecessor, and an address of the operator's file can't be listened on.
    pub(in crate::net) fn find_predecessor(&mut self, now: f64) -> Result<(), ListenError> {
        let Some(hot_restart) = &mut self.hot_restart else { return Ok(()) };
        let event = match hot_restart.links.find_predecessor() {
            Ok(Predecessor::Connected) => Event::PredecessorConnected,
            Ok(Predecessor::Absent) => Event::NoPredecessor,
            Ok(Predecessor::Dead) => {
                HotRestartEvent::PredecessorDead.emit();
                Event::PredecessorDead
            }
            Err(error) => {
                HotRestartEvent::PredecessorUnreachable(&error).emit();
                Event::NoPredecessor
            }
        };
        let mut inputs = Vec::new();
        self.on_hot_restart_event(now, event, &mut inputs);
        self.loop_state.deferred_inputs.append(&mut inputs);
        let frontend_error = self.hot_restart.as_mut().and_then(|r| r.frontend_error.take());
        frontend_error.map_or(Ok(()), Err)
    }

    /// Passes an event to the state machine of listener ownership and executes the effects that it returns.
    pub(in crate::net) fn on_hot_restart_event(&mut self, now: f64, event: Event, inputs: &mut Vec<Input>) {
        let Some(hot_restart) = &mut self.hot_restart else { return };
        let mut effects = Vec::new();
        hot_restart.ownership.handle(now, event, &mut effects);
        if matches!(event, Event::PredecessorConnected | Event::HelloAccepted | Event::ReadyToServe) {
            self.wheel.set(now, PREDECESSOR_TIMEOUT_S, Timer::NextTurn);
        }
        for effect in effects {
            self.execute_hot_restart_effect(now, effect, inputs);
        }
    }

    /// Handles frames of the other processes, before any frontend is read.
    pub(in crate::net) fn receive_hot_restart_frames(&mut self, now: f64, inputs: &mut Vec<Input>) {
        while let Some(event) = self.hot_restart.as_mut().and_then(|r| r.links.next_event()) {
            self.on_link_event(now, event, inputs);
        }
        // Timeouts are checked only after reading: the awaited frame may have arrived while this process was stopped.
        self.on_hot_restart_event(now, Event::Tick, inputs);
    }

    fn on_link_event(&mut self, now: f64, event: LinkEvent, inputs: &mut Vec<Input>) {
        match event {
            LinkEvent::FromPredecessor(received) => self.on_predecessor_frame(now, received, inputs),
            LinkEvent::InvalidFromPredecessor(error) => {
                HotRestartEvent::FrameDamaged { peer: Peer::Predecessor, error: &error }.emit();
                self.on_hot_restart_event(now, Event::Incompatible, inputs);
            }
            LinkEvent::PredecessorDisconnected => self.on_predecessor_disconnected(now, inputs),
            LinkEvent::FromSuccessor(frame) => self.on_successor_frame(now, frame, inputs),
            LinkEvent::InvalidFromSuccessor(error) => {
                HotRestartEvent::FrameDamaged { peer: Peer::Successor, error: &error }.emit();
                if let Some(hot_restart) = &mut self.hot_restart {
                    hot_restart.links.disconnect_successor();
                }
                self.on_hot_restart_event(now, Event::SuccessorDisconnected, inputs);
            }
            LinkEvent::SuccessorDisconnected => {
                HotRestartEvent::PeerExited(Peer::Successor).emit();
                self.on_hot_restart_event(now, Event::SuccessorDisconnected, inputs);
            }
        }
    }

    /// Runs at the end of each round: hands connections that have become idle to the successor, and sends the queued
    /// frames to the other processes.
    pub(in crate::net) fn send_hot_restart_frames(&mut self, now: f64) {
        let Some(hot_restart) = &self.hot_restart else { return };
        if hot_restart.ownership.is_released() && hot_restart.links.has_successor() {
            self.hand_off_idle_connections();
            self.report_usage(0);
        }
        let Some(hot_restart) = &mut self.hot_restart else { return };
        if hot_restart.links.flush() {
            self.wheel.set(now, 0.0, Timer::NextTurn);
        }
    }

    /// Upper bound of the time for which a key that is first used now is retained: the longest key window plus a margin of
    /// 1 s, which covers the two sweep intervals that the controller adds to a key's window (seconds).
    fn max_key_retention_s(&self) -> f64 {
        self.configuration.settings.classes.iter().map(|c| c.window_s).fold(0.0, f64::max) + 1.0
    }
}
