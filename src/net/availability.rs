//! What frontends, the registry and health checks learn of the worker.

use super::frontends::request_fields::Catalog;
use std::rc::Rc;

/// What frontends know of the worker.
pub struct FrontendContext {
    /// Classes and tenants by their names on the wire.
    pub catalog: Rc<Catalog>,
    /// Whether, and how, this worker can be used.
    pub availability: Availability,
}

/// Whether clients are to use this worker.
#[derive(Clone, Debug, Default)]
pub struct Availability {
    /// The weight that goes out with responses, where the controller publishes one.
    pub published_weight: Option<f64>,
    /// The controller's verdict.
    pub health: Health,
    /// The shutdown notice has come.
    pub shutting_down: bool,
    /// Operators drain this worker: clients are sent away, and what still arrives is admitted as ever.
    pub draining: bool,
    /// A successor owns the listeners, and is handed connections as they fall idle.
    pub handing_off: bool,
}

/// The health of a worker, as its controller sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// The executor is not up yet, so there is no controller.
    #[default]
    Starting,
    /// Requests can be served.
    Healthy,
    /// They can't.
    Unhealthy,
}

impl Availability {
    /// Whether connections that can't be handed off are closed after their response.
    #[must_use]
    pub fn closes_connections(&self) -> bool {
        self.shutting_down || self.handing_off
    }

    /// Whether health checks and load reports call this worker ready.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.health == Health::Healthy && !self.shutting_down && !self.draining
    }
}
