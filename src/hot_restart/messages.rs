//! The events of a hot restart, and the effects with which the state machine responds.

use super::IndeterminateKeys;

/// An event at a process that owns the listeners or is to own them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// No other process was found.
    NoPredecessor,
    /// The previous process ended without a takeover: its socket file exists, but no process listens on it.
    PredecessorDead,
    /// The link to the predecessor is established.
    PredecessorConnected,
    /// This process is ready to serve.
    ReadyToServe,
    /// The predecessor accepts this process as its successor.
    HelloAccepted,
    /// The predecessor is another program or another version, or it sent data that can't be decoded.
    Incompatible,
    /// All of the predecessor's state has been received, and with it for which of the keys that the predecessor doesn't know a
    /// request may have run in yet another process.
    StateReceived(IndeterminateKeys),
    /// The predecessor has reported a change of these keys.
    PredecessorKeysChanged(IndeterminateKeys),
    /// The link to the predecessor was closed.
    PredecessorDisconnected,
    /// A successor requests the listeners.
    ListenersRequested,
    /// The successor has received all of the state and owns the listeners.
    TakeoverConfirmed,
    /// The link to the successor was closed.
    SuccessorDisconnected,
    /// The shutdown notice has arrived.
    ShutdownNotice,
    /// Time has passed, so a wait for the predecessor may have timed out.
    Tick,
}

/// An action that the process must take in response to an event.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// Send the hello to the predecessor.
    SendHello,
    /// Request the listeners from the predecessor.
    RequestListeners,
    /// Confirm to the predecessor that this process owns the listeners.
    ConfirmTakeover,
    /// Discard the received state, and replace the link by one that carries no messages and is closed when the predecessor
    /// ends.
    WatchPredecessor,
    /// Discard the received state.
    DiscardState,
    /// Apply the received state.
    AdoptState,
    /// Start to accept clients.
    OpenListeners,
    /// Set for which of the unknown keys a request may have run in another process.
    SetIndeterminateKeys(IndeterminateKeys),
    /// Stop accepting clients, and hand off all requests that have not started.
    HandOff,
    /// Release what was handed off; the successor owns it.
    ReleaseHandedOff,
    /// Take back what was handed off, and accept clients again.
    Reclaim,
    /// Exit as soon as no response is pending.
    ExitWhenIdle,
}
