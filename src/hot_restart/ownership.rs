//! The state machine of listener ownership.

use super::{Effect, Event, IndeterminateKeys};

/// How long a successor waits for the predecessor's answer, first from the connection on and then from the request for the
/// listeners on (seconds). The platform requires a new process to be ready within 6 s, which both waits and the start of
/// the executor have to fit into.
pub const PREDECESSOR_TIMEOUT_S: f64 = 1.5;

/// How far a successor has come with its predecessor.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Handshake {
    /// Since when the predecessor's answer is awaited: the connection, or the request for the listeners (loop's clock,
    /// seconds). Absent while there is no connection.
    waiting_since: Option<f64>,
    /// The predecessor has accepted this process as its successor.
    hello_accepted: bool,
    /// The listeners have been requested.
    listeners_requested: bool,
}

/// The role of this process.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// Not yet the owner.
    Waiting(Handshake),
    /// The owner.
    Owner,
    /// The successor has been sent everything and has not confirmed it.
    HandedOff,
    /// The successor is the owner.
    Released,
}

/// What is known of the predecessor, before and after this process becomes the owner.
#[derive(Clone, Copy, Debug, Default)]
struct Predecessor {
    /// A link to it is established.
    is_connected: bool,
    /// Its state may still arrive, though this process already is the owner.
    state_may_come_late: bool,
    /// It is alive, and which keys it runs is not known here.
    keys_unknown: bool,
}

/// The state machine by which a process gets, keeps and hands off the listeners.
#[derive(Clone, Debug)]
pub struct ListenerOwnership {
    state: State,
    predecessor: Predecessor,
    ready_to_serve: bool,
    shutting_down: bool,
    /// The longest window of a key (seconds).
    longest_window_s: f64,
}

impl ListenerOwnership {
    /// A process that has not looked for a predecessor yet. Keys have a window of `longest_window_s` at most.
    #[must_use]
    pub fn new(longest_window_s: f64) -> ListenerOwnership {
        ListenerOwnership {
            state: State::Waiting(Handshake::default()),
            predecessor: Predecessor::default(),
            ready_to_serve: false,
            shutting_down: false,
            longest_window_s,
        }
    }

    /// Whether this process accepts clients.
    #[must_use]
    pub fn is_owner(&self) -> bool {
        self.state == State::Owner
    }

    /// Whether a successor owns the listeners or has been sent everything for it.
    #[must_use]
    pub fn has_handed_off(&self) -> bool {
        matches!(self.state, State::HandedOff | State::Released)
    }

    /// Whether a successor has confirmed that it owns the listeners.
    #[must_use]
    pub fn is_released(&self) -> bool {
        self.state == State::Released
    }

    /// Whether a link to the predecessor is established.
    #[must_use]
    pub fn has_predecessor(&self) -> bool {
        self.predecessor.is_connected
    }

    /// Handles an event at `now` (loop's clock, seconds), and appends the effects in the order in which they are to be
    /// carried out.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::NoPredecessor => self.on_no_predecessor(out),
            Event::PredecessorDead => self.on_predecessor_dead(now, out),
            Event::PredecessorConnected => self.on_predecessor_connected(now, out),
            Event::ReadyToServe => self.on_ready_to_serve(now, out),
            Event::HelloAccepted => self.on_hello_accepted(now, out),
            Event::Incompatible => self.on_incompatible(out),
            Event::StateReceived => self.on_state_received(out),
            Event::PredecessorDisconnected => self.on_predecessor_disconnected(now, out),
            Event::ListenersRequested => self.on_listeners_requested(out),
            Event::TakeoverConfirmed => self.on_takeover_confirmed(out),
            Event::SuccessorDisconnected => self.on_successor_disconnected(now, out),
            Event::ShutdownNotice => self.on_shutdown_notice(out),
            Event::Tick => self.on_tick(now, out),
        }
    }

    fn on_no_predecessor(&mut self, out: &mut Vec<Effect>) {
        if self.is_waiting() {
            self.become_owner(out);
        }
    }

    fn on_predecessor_dead(&mut self, now: f64, out: &mut Vec<Effect>) {
        if self.is_waiting() {
            out.push(self.distrust_retries(now));
            self.become_owner(out);
        }
    }

    fn on_predecessor_connected(&mut self, now: f64, out: &mut Vec<Effect>) {
        if self.is_waiting() {
            self.predecessor.is_connected = true;
            let handshake = Handshake { waiting_since: Some(now), ..Handshake::default() };
            self.state = State::Waiting(handshake);
            out.push(Effect::SendHello);
        }
    }

    fn on_ready_to_serve(&mut self, now: f64, out: &mut Vec<Effect>) {
        self.ready_to_serve = true;
        self.request_listeners(now, out);
    }

    fn on_hello_accepted(&mut self, now: f64, out: &mut Vec<Effect>) {
        if let State::Waiting(handshake) = &mut self.state {
            handshake.hello_accepted = true;
            self.request_listeners(now, out);
        }
    }

    /// Only a process that waits drops the link to an incompatible predecessor. After the takeover the end of that link has
    /// to mean the end of the predecessor.
    fn on_incompatible(&mut self, out: &mut Vec<Effect>) {
        if self.is_waiting() {
            self.predecessor.keys_unknown = true;
            out.push(Effect::WatchPredecessor);
            out.push(Effect::SetIndeterminateKeys(IndeterminateKeys::All));
            self.become_owner(out);
        } else {
            self.predecessor.state_may_come_late = false;
        }
    }

    fn on_state_received(&mut self, out: &mut Vec<Effect>) {
        if self.is_waiting() {
            out.push(Effect::ConfirmTakeover);
            out.push(Effect::AdoptState);
            self.become_owner(out);
        } else if self.predecessor.state_may_come_late {
            // The predecessor answered after the timeout; its state is complete all the same.
            self.predecessor.state_may_come_late = false;
            self.predecessor.keys_unknown = false;
            out.push(Effect::SetIndeterminateKeys(IndeterminateKeys::None));
            out.push(Effect::AdoptState);
        }
    }

    fn on_predecessor_disconnected(&mut self, now: f64, out: &mut Vec<Effect>) {
        self.predecessor.is_connected = false;
        if self.is_waiting() {
            out.push(Effect::DiscardState);
            out.push(self.distrust_retries(now));
            self.become_owner(out);
            return;
        }
        self.predecessor.state_may_come_late = false;
        if std::mem::take(&mut self.predecessor.keys_unknown) {
            out.push(Effect::DiscardState);
            out.push(self.distrust_retries(now));
        }
    }

    fn on_listeners_requested(&mut self, out: &mut Vec<Effect>) {
        if self.state == State::Owner {
            self.state = State::HandedOff;
            out.push(Effect::HandOff);
        }
    }

    fn on_takeover_confirmed(&mut self, out: &mut Vec<Effect>) {
        if self.state != State::HandedOff {
            return;
        }
        self.state = State::Released;
        out.push(Effect::ReleaseHandedOff);
        if self.shutting_down {
            out.push(Effect::ExitWhenIdle);
        }
    }

    fn on_successor_disconnected(&mut self, now: f64, out: &mut Vec<Effect>) {
        match self.state {
            State::HandedOff => {
                self.state = State::Owner;
                out.push(Effect::Reclaim);
            }
            // The successor has ended, and with it the knowledge of what it ran.
            State::Released if !self.shutting_down => {
                out.push(self.distrust_retries(now));
                self.become_owner(out);
            }
            _ => {}
        }
    }

    fn on_shutdown_notice(&mut self, out: &mut Vec<Effect>) {
        self.shutting_down = true;
        // A successor that waits has no pending response and has not acted on what it was sent: the predecessor reclaims
        // that.
        if let State::Waiting(Handshake { waiting_since: Some(_), .. }) = self.state {
            self.predecessor.is_connected = false;
            self.state = State::Released;
        }
        if self.has_handed_off() {
            out.push(Effect::ExitWhenIdle);
        }
    }

    fn on_tick(&mut self, now: f64, out: &mut Vec<Effect>) {
        let State::Waiting(handshake) = self.state else { return };
        let Some(since) = handshake.waiting_since else { return };
        if self.ready_to_serve && now - since >= PREDECESSOR_TIMEOUT_S {
            self.take_over_from_silent_predecessor(handshake, out);
        }
    }

    /// Becomes the owner although the predecessor is connected and does not answer. Should it recover, it first receives
    /// these messages, and so hands off everything before it accepts another client.
    fn take_over_from_silent_predecessor(&mut self, handshake: Handshake, out: &mut Vec<Effect>) {
        if !handshake.listeners_requested {
            out.push(Effect::RequestListeners);
        }
        out.push(Effect::ConfirmTakeover);
        out.push(Effect::SetIndeterminateKeys(IndeterminateKeys::All));
        self.predecessor.state_may_come_late = true;
        self.predecessor.keys_unknown = true;
        self.become_owner(out);
    }

    /// Requests the listeners once the predecessor has accepted this process and this process is ready to serve.
    fn request_listeners(&mut self, now: f64, out: &mut Vec<Effect>) {
        let ready_to_serve = self.ready_to_serve;
        let State::Waiting(handshake) = &mut self.state else { return };
        let can_request = handshake.waiting_since.is_some()
            && handshake.hello_accepted
            && !handshake.listeners_requested
            && ready_to_serve;
        if can_request {
            handshake.waiting_since = Some(now);
            handshake.listeners_requested = true;
            out.push(Effect::RequestListeners);
        }
    }

    fn become_owner(&mut self, out: &mut Vec<Effect>) {
        self.state = State::Owner;
        out.push(Effect::OpenListeners);
    }

    fn is_waiting(&self) -> bool {
        matches!(self.state, State::Waiting(_))
    }

    /// A process that has ended may have run keys that are not known here. Retries of them arrive within the longest window.
    fn distrust_retries(&self, now: f64) -> Effect {
        Effect::SetIndeterminateKeys(IndeterminateKeys::RetriesUntil(now + self.longest_window_s))
    }
}
