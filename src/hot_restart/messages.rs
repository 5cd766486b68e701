//! The events of a hot restart, and the effects by which a process responds to them.

use super::IndeterminateKeys;

/// An event at a process that owns, or is to own, the listeners.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// No other process was found.
    NoPredecessor,
    /// Another process has ended without a takeover: its socket file exists, and nobody listens on it.
    PredecessorDead,
    /// A link to the predecessor is established.
    PredecessorConnected,
    /// This process is ready to serve.
    ReadyToServe,
    /// The predecessor accepts this process as its successor.
    HelloAccepted,
    /// The predecessor is of another kind or version, or what it sends can't be read.
    Incompatible,
    /// All of the predecessor's state has been received.
    StateReceived,
    /// The link to the predecessor has ended.
    PredecessorDisconnected,
    /// A successor requests the listeners.
    ListenersRequested,
    /// The successor has received all of the state and owns the listeners.
    TakeoverConfirmed,
    /// The link to the successor has ended.
    SuccessorDisconnected,
    /// The shutdown notice has come.
    ShutdownNotice,
    /// Time has passed.
    Tick,
}

/// What the process is to do, as the response to an event.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// Send the predecessor the hello.
    SendHello,
    /// Request the listeners from the predecessor.
    RequestListeners,
    /// Confirm to the predecessor that this process owns the listeners.
    ConfirmTakeover,
    /// Discard the received state, and replace the link by one without messages, whose end shows the end of the
    /// predecessor.
    WatchPredecessor,
    /// Discard the received state.
    DiscardState,
    /// Act on the received state.
    AdoptState,
    /// Accept clients.
    OpenListeners,
    /// Set which of the keys that are not known here may have run elsewhere.
    SetIndeterminateKeys(IndeterminateKeys),
    /// Accept no clients, and hand off everything that has not started.
    HandOff,
    /// Drop what was handed off: it belongs to the successor.
    ReleaseHandedOff,
    /// Take back what was handed off, and accept clients.
    Reclaim,
    /// Exit as soon as no response is pending.
    ExitWhenIdle,
}
