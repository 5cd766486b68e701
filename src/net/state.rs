//! The state of the worker that its frontends, the registry and health checks see.

use super::frontends::request_fields::Catalog;
use std::rc::Rc;

/// What frontends tell clients of this worker with each response.
pub struct State {
    /// Classes and tenants by their names on the wire.
    pub known: Rc<Catalog>,
    /// The published value.
    pub level: Option<f64>,
    /// What the controller answers to health checks.
    pub fit: bool,
    /// The shutdown notice has come.
    pub leaving: bool,
    /// Operators drain this worker: clients are sent away, and what still comes is decided as ever.
    pub draining: bool,
    /// A successor has taken over, and is handed connections as they fall idle.
    pub passing: bool,
}

impl State {
    /// Whether connections that can't be handed to a successor are told to close.
    #[must_use]
    pub fn ends_connections(&self) -> bool {
        self.leaving || self.passing
    }

    /// What health checks and the registry are told.
    #[must_use]
    pub fn good(&self) -> bool {
        self.fit && !self.leaving && !self.draining
    }
}
