//! honeypost: an overload controller that runs inside each server of a fleet.
//!
//! A worker owns one [`Controller`]. It passes [`Event`]s to it one at a time, each with the current time, and executes
//! the [`Action`]s that are returned, in their order. The controller performs no I/O, starts no threads and reads no
//! clock, and its random numbers follow from [`Settings::seed`]: the same settings and inputs give the same actions.
//!
//! ```
//! use port_worker::{Action, Arrival, Class, Controller, Event, Idempotency, Outcome, RequestId, Settings};
//!
//! let settings = Settings {
//!     cores: 2,
//!     memory_kb: 64_000.0,
//!     run_memory_factor: 4.0,
//!     min_event_interval_s: 0.002,
//!     classes: vec![Class {
//!         weight: 1.0,
//!         objective_s: 1.0,
//!         deadline_s: 3.0,
//!         idempotency: Idempotency::Idempotent,
//!         ..Class::default()
//!     }],
//!     ..Settings::default()
//! };
//! let mut actions = Vec::new();
//! let mut controller = Controller::new(settings, 0.0, &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::WakeIn(_))));
//!
//! // A request has arrived, and a run slot is free, so it starts immediately.
//! actions.clear();
//! let arrival = Arrival { id: RequestId(1), class: 0, memory_kb: 20.0, ..Arrival::default() };
//! controller.handle(0.01, Event::Arrived(arrival), &mut actions);
//! assert_eq!(actions, vec![Action::Start(RequestId(1))]);
//!
//! // The run has ended; the controller releases the request.
//! actions.clear();
//! controller.handle(0.2, Event::RunEnded { id: RequestId(1), outcome: Outcome::Ok }, &mut actions);
//! assert_eq!(controller.take_released(), vec![RequestId(1)]);
//! ```
//!
//! [`interface`] defines all types of the controller's interface, and [`Controller`] makes all decisions. Two adapters
//! use the controller with the settings of [`config`]: [`net`] is a port worker on real sockets, whose bookkeeping is
//! in [`dispatch`]; [`simulator_adapter`] hosts many controllers behind the simulator's line protocol.

pub mod admission;
pub mod config;
pub mod dispatch;
pub mod fleet;
pub mod hot_restart;
pub mod interface;
pub mod log;
pub mod net;
pub mod pools;
pub mod simulator_adapter;

pub use admission::Controller;
pub use interface::{
    Action, Arrival, Class, Dependency, Event, Gauges, Idempotency, Outcome, PoolPlan, PoolReserve, PoolSpec,
    Preemption, RequestId, Settings, Signal, Tenant,
};
