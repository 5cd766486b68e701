//! Errors in a line of the simulator.

/// A line that can't be handled.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum AdapterError {
    /// The line is not a batch.
    #[error("malformed batch: {0}")]
    Batch(#[source] serde_json::Error),
    /// The time of the batch is not finite.
    #[error("clockS is not a finite number")]
    Clock,
    /// An item of the batch can't be delivered.
    #[error("worker {worker} item {item}: {source}")]
    Item {
        /// The number of the instance.
        worker: u64,
        /// The position of the item in the instance's list, from 0.
        item: usize,
        /// The error.
        source: ItemError,
    },
    /// The reply can't be encoded.
    #[error("{0}")]
    Reply(#[source] serde_json::Error),
}

/// An item that can't be delivered.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ItemError {
    /// The item is malformed, or of an unknown kind.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The end of an instance that does not exist.
    #[error("Stop for an instance that does not exist")]
    StopWithoutInstance,
    /// An event of an instance that does not exist.
    #[error("an event for an instance that does not exist")]
    NoInstance,
    /// A request of an unknown class.
    #[error("Req: no class {0}")]
    NoClass(usize),
    /// A request of an unknown tenant.
    #[error("Req: no tenant {0}")]
    NoTenant(usize),
    /// The item starts or ends an instance, and is no event of a running one.
    #[error("not an event of a running instance")]
    NotAnEvent,
}
