//! What happens to a process during a hot restart, and what it is to do about it.

use super::IndeterminateKeys;

/// What happens to the process that owns, or wants to own, the listeners.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// There is no other process, by all that can be seen.
    NoPredecessor,
    /// There was another process: its socket is there, and nobody listens on it.
    PredecessorDead,
    /// A link to the predecessor is established.
    PredecessorConnected,
    /// This process can serve.
    ReadyToServe,
    /// The predecessor accepts this process as its successor.
    HelloAccepted,
    /// The predecessor is of another kind or version, or what it sends can't be read.
    Incompatible,
    /// All of the predecessor's state is here.
    StateReceived,
    /// The link to the predecessor has ended.
    PredecessorDisconnected,
    /// A successor requests the listeners.
    ListenersRequested,
    /// The successor has all of the state and owns the listeners.
    TakeoverConfirmed,
    /// The link to the successor has ended.
    SuccessorDisconnected,
    /// The shutdown notice.
    ShutdownNotice,
    /// Time has passed.
    Tick,
}

/// What the process is to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// Send the predecessor the first message.
    SendHello,
    /// Request the listeners from the predecessor.
    RequestListeners,
    /// Tell the predecessor that this process owns the listeners.
    ConfirmTakeover,
    /// Discard the received state with the link it came on, and hold a silent link instead: its end is the end of the
    /// predecessor.
    WatchPredecessor,
    /// Discard the received state.
    DiscardState,
    /// Act on the received state.
    AdoptState,
    /// Accept clients.
    OpenListeners,
    /// Assume this of keys that are not known here.
    SetIndeterminateKeys(IndeterminateKeys),
    /// Accept no clients, and hand off everything that has not started.
    HandOff,
    /// What was handed off is no longer this process's.
    ReleaseHandedOff,
    /// What was handed off is this process's as before; accept clients.
    Reclaim,
    /// Exit as soon as no response is pending.
    ExitWhenIdle,
}
