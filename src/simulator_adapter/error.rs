//! What can be wrong with a line of the simulator.

/// A line that can't be answered.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum AdapterError {
    /// It is no batch.
    #[error("malformed batch: {0}")]
    Batch(#[source] serde_json::Error),
    /// Its time is no number.
    #[error("clockS is not a finite number")]
    Clock,
    /// One of its items can't be delivered.
    #[error("worker {worker} item {item}: {source}")]
    Item {
        /// The instance.
        worker: u64,
        /// The item's place in the instance's list.
        item: usize,
        /// What is wrong with it.
        source: ItemError,
    },
    /// The reply can't be written.
    #[error("{0}")]
    Reply(#[source] serde_json::Error),
}

/// An item that can't be delivered.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ItemError {
    /// It is not of a known form.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The end of an instance that is not there.
    #[error("Stop for an instance that does not exist")]
    StopWithoutInstance,
    /// An event of an instance that is not there.
    #[error("an event for an instance that does not exist")]
    NoInstance,
    /// A request of an unknown class.
    #[error("Req: no class {0}")]
    NoClass(usize),
    /// A request of an unknown tenant.
    #[error("Req: no tenant {0}")]
    NoTenant(usize),
    /// It starts or ends an instance.
    #[error("not an event of a running instance")]
    NotAnEvent,
}
