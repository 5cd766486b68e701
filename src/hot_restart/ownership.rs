//! The state machine of listener ownership.

use super::{Effect, Event, IndeterminateKeys};

/// How long a successor waits for an answer from the predecessor, once after connecting and once after requesting the
/// listeners (seconds). The platform requires a new process to be ready within 6 s, which has to cover both waits and the
/// start of the executor.
pub const PREDECESSOR_TIMEOUT_S: f64 = 1.5;

/// Progress of a successor's handshake with its predecessor.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Handshake {
    /// When this process began to wait for the predecessor's answer, that is when it connected or requested the listeners
    /// (event loop's clock, seconds). `None` while there is no connection.
    waiting_since: Option<f64>,
    /// Whether the predecessor has accepted this process as its successor.
    hello_accepted: bool,
    /// Whether the listeners have been requested.
    listeners_requested: bool,
}

/// The role of this process.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// It does not own the listeners yet.
    Waiting(Handshake),
    /// It owns the listeners.
    Owner,
    /// Everything has been sent to the successor, which has not confirmed the takeover yet.
    HandedOff,
    /// The successor owns the listeners.
    Released,
}

/// What is known about the predecessor, before and after this process becomes the owner.
#[derive(Clone, Copy, Debug)]
struct Predecessor {
    /// Whether a link to it is established.
    is_connected: bool,
    /// Whether its state may still arrive although this process is already the owner.
    awaiting_late_state: bool,
    /// Whether it is alive and its keys are unknown to this process.
    keys_unknown: bool,
    /// For which of the keys that are unknown to it a request may have run in yet another process. They are unknown here too.
    indeterminate_keys: IndeterminateKeys,
}

impl Predecessor {
    const UNKNOWN: Predecessor = Predecessor {
        is_connected: false,
        awaiting_late_state: false,
        keys_unknown: false,
        indeterminate_keys: IndeterminateKeys::None,
    };
}

/// The state machine by which a process gets, keeps and hands off the listeners.
#[derive(Clone, Debug)]
pub struct ListenerOwnership {
    state: State,
    predecessor: Predecessor,
    ready_to_serve: bool,
    shutting_down: bool,
    /// The longest window of any idempotency key (seconds).
    longest_key_window_s: f64,
    /// The keys that may have run in processes that have ended.
    keys_of_ended_processes: IndeterminateKeys,
    /// The last [`Effect::SetIndeterminateKeys`].
    last_indeterminate_keys: IndeterminateKeys,
}

impl ListenerOwnership {
    /// Creates the state machine of a process that has not looked for a predecessor yet. `longest_key_window_s` is the longest
    /// window of any idempotency key.
    #[must_use]
    pub fn new(longest_key_window_s: f64) -> ListenerOwnership {
        ListenerOwnership {
            state: State::Waiting(Handshake::default()),
            predecessor: Predecessor::UNKNOWN,
            ready_to_serve: false,
            shutting_down: false,
            longest_key_window_s,
            keys_of_ended_processes: IndeterminateKeys::None,
            last_indeterminate_keys: IndeterminateKeys::None,
        }
    }

    /// Whether this process accepts clients.
    #[must_use]
    pub fn is_owner(&self) -> bool {
        self.state == State::Owner
    }

    /// Whether everything has been sent to a successor, whether or not it has confirmed the takeover.
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

    /// Handles an event at `now` (event loop's clock, seconds) and appends the effects in the order in which they must be
    /// carried out.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::NoPredecessor => self.on_no_predecessor(out),
            Event::PredecessorDead => self.on_predecessor_dead(now, out),
            Event::PredecessorConnected => self.on_predecessor_connected(now, out),
            Event::ReadyToServe => self.on_ready_to_serve(now, out),
            Event::HelloAccepted => self.on_hello_accepted(now, out),
            Event::Incompatible => self.on_incompatible(out),
            Event::StateReceived(keys) => self.on_state_received(keys, out),
            Event::PredecessorKeysChanged(keys) => self.on_predecessor_keys_changed(keys, out),
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
            self.add_keys_of_ended_process(now);
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

    /// Before the takeover, replaces the link to an incompatible predecessor and becomes the owner. After it, keeps the link,
    /// since its end tells this process that the predecessor has ended.
    fn on_incompatible(&mut self, out: &mut Vec<Effect>) {
        if self.is_waiting() {
            self.predecessor.keys_unknown = true;
            out.push(Effect::WatchPredecessor);
            self.become_owner(out);
        } else {
            self.predecessor.awaiting_late_state = false;
        }
    }

    fn on_state_received(&mut self, indeterminate_keys: IndeterminateKeys, out: &mut Vec<Effect>) {
        if self.is_waiting() {
            self.predecessor.indeterminate_keys = indeterminate_keys;
            out.push(Effect::ConfirmTakeover);
            out.push(Effect::AdoptState);
            self.become_owner(out);
        } else if self.predecessor.awaiting_late_state {
            // The predecessor answered after the timeout, but its state is complete.
            self.predecessor.awaiting_late_state = false;
            // A successor that has taken over meanwhile can't compare the fingerprints of these keys with its own, so the keys
            // stay unknown to it.
            if self.is_owner() {
                self.predecessor.keys_unknown = false;
                self.predecessor.indeterminate_keys = indeterminate_keys;
            }
            self.update_indeterminate_keys(out);
            out.push(Effect::AdoptState);
        }
    }

    fn on_predecessor_keys_changed(&mut self, indeterminate_keys: IndeterminateKeys, out: &mut Vec<Effect>) {
        self.predecessor.indeterminate_keys = indeterminate_keys;
        self.update_indeterminate_keys(out);
    }

    fn on_predecessor_disconnected(&mut self, now: f64, out: &mut Vec<Effect>) {
        self.predecessor.is_connected = false;
        if self.is_waiting() {
            out.push(Effect::DiscardState);
            self.add_keys_of_ended_process(now);
            self.become_owner(out);
            return;
        }
        self.predecessor.awaiting_late_state = false;
        if std::mem::take(&mut self.predecessor.keys_unknown) {
            out.push(Effect::DiscardState);
            self.add_keys_of_ended_process(now);
        }
        self.keep_keys_of_ended_predecessor(now);
        self.update_indeterminate_keys(out);
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
            // The successor has ended, so the keys of the requests that it ran are unknown.
            State::Released if !self.shutting_down => {
                self.add_keys_of_ended_process(now);
                self.become_owner(out);
            }
            _ => {}
        }
    }

    fn on_shutdown_notice(&mut self, out: &mut Vec<Effect>) {
        self.shutting_down = true;
        // A successor that does not own the listeners yet has no pending response and has not applied the state that it
        // received, so the predecessor can reclaim everything.
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
            self.take_over_from_unresponsive_predecessor(handshake, out);
        }
    }

    /// Becomes the owner although the connected predecessor does not answer. If the predecessor recovers, it receives the
    /// request for the listeners and the confirmation first, and so hands off everything before it accepts another client.
    fn take_over_from_unresponsive_predecessor(&mut self, handshake: Handshake, out: &mut Vec<Effect>) {
        if !handshake.listeners_requested {
            out.push(Effect::RequestListeners);
        }
        out.push(Effect::ConfirmTakeover);
        self.predecessor.awaiting_late_state = true;
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
        self.update_indeterminate_keys(out);
        out.push(Effect::OpenListeners);
    }

    fn is_waiting(&self) -> bool {
        matches!(self.state, State::Waiting(_))
    }

    /// Marks the unknown keys of retries as indeterminate for the longest window: a process that has ended may have run
    /// their requests, whose retries arrive within that window.
    fn add_keys_of_ended_process(&mut self, now: f64) {
        let retries = IndeterminateKeys::RetriesUntil(now + self.longest_key_window_s);
        self.keys_of_ended_processes = self.keys_of_ended_processes.union(retries);
    }

    /// Keeps what the predecessor reported about keys after it has ended. If a process before it was alive then, nothing more
    /// will be reported of that process, which has been replaced and starts no request.
    fn keep_keys_of_ended_predecessor(&mut self, now: f64) {
        let reported = std::mem::replace(&mut self.predecessor.indeterminate_keys, IndeterminateKeys::None);
        match reported {
            IndeterminateKeys::All => self.add_keys_of_ended_process(now),
            keys => self.keys_of_ended_processes = self.keys_of_ended_processes.union(keys),
        }
    }

    /// Sets the indeterminate keys if they have changed: those of processes that have ended, those of a predecessor whose
    /// keys are unknown, and those that the predecessor has reported.
    fn update_indeterminate_keys(&mut self, out: &mut Vec<Effect>) {
        let Predecessor { keys_unknown, indeterminate_keys, .. } = self.predecessor;
        let of_predecessor = if keys_unknown { IndeterminateKeys::All } else { indeterminate_keys };
        let keys = self.keys_of_ended_processes.union(of_predecessor);
        if keys != self.last_indeterminate_keys {
            self.last_indeterminate_keys = keys;
            out.push(Effect::SetIndeterminateKeys(keys));
        }
    }
}
