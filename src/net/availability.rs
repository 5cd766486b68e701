//! The state of the worker that frontends, the registry and health checks report.

use super::frontends::request_fields::Catalog;
use std::rc::Rc;

/// The part of the worker's state that frontends read.
pub struct FrontendContext {
    /// Classes and tenants by their names on the wire.
    pub catalog: Rc<Catalog>,
    /// Whether clients should use this worker.
    pub availability: Availability,
}

/// Whether clients should use this worker.
#[derive(Clone, Debug, Default)]
pub struct Availability {
    /// The weight that is sent with responses, if the controller publishes one.
    pub published_weight: Option<f64>,
    /// The worker's health, as determined by the controller.
    pub health: Health,
    /// The shutdown notice was received.
    pub shutting_down: bool,
    /// Operators drain this worker: clients are directed to other workers, but requests that arrive are still admitted.
    pub draining: bool,
    /// A successor owns the listeners, and connections are handed off to it as they become idle.
    pub handing_off: bool,
}

/// The health of a worker, as determined by its controller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// The executor is not up yet, so there is no controller.
    #[default]
    Starting,
    /// Requests can be served.
    Healthy,
    /// Requests can't be served.
    Unhealthy,
}

impl Availability {
    /// Whether connections that can't be handed off are closed after their response.
    #[must_use]
    pub fn closes_connections(&self) -> bool {
        self.shutting_down || self.handing_off
    }

    /// Whether health checks and load reports report this worker as ready.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.health == Health::Healthy && !self.shutting_down && !self.draining
    }
}
