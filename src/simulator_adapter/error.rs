//! Errors in the simulator's input.

/// An input line that can't be processed.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum AdapterError {
    /// The line is not a valid batch.
    #[error("malformed batch: {0}")]
    Batch(#[source] serde_json::Error),
    /// The batch's time is not finite.
    #[error("clockS is not a finite number")]
    Clock,
    /// An item of the batch can't be delivered.
    #[error("worker {worker} item {item}: {source}")]
    Item {
        /// ID of the instance.
        worker: u64,
        /// Position of the item in the instance's list, counted from 0.
        item: usize,
        /// Cause of the error.
        source: ItemError,
    },
    /// The reply can't be encoded.
    #[error("can't encode the reply: {0}")]
    Reply(#[source] serde_json::Error),
}

/// An item that can't be delivered.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ItemError {
    /// The item is malformed, or of an unknown kind.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// `Stop` for an instance that does not exist.
    #[error("Stop for an instance that does not exist")]
    StopUnknownInstance,
    /// An event for an instance that does not exist.
    #[error("an event for an instance that does not exist")]
    UnknownInstance,
    /// A request with an unknown class.
    #[error("Req: no class {0}")]
    UnknownClass(usize),
    /// A request with an unknown tenant.
    #[error("Req: no tenant {0}")]
    UnknownTenant(usize),
    /// The item starts or stops an instance, so it is not an event of a running one.
    #[error("expected an event of a running instance, got Provision or Stop")]
    NotAnEvent,
}
