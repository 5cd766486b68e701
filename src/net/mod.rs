//! The port worker on real sockets: one thread, one loop. Each turn gathers what is ready, hands it to the dispatcher
//! in one go, and carries out the commands that come back.
//!
//! | module | job |
//! | --- | --- |
//! | [`worker`] | the worker's state, its construction, the loop and a turn of it |
//! | [`io`] | descriptors and their budget, buffers, idle connections, timers |
//! | [`frontends`] | HTTP/1.1, HTTP/2 and AJP |
//! | [`upstreams`] | the executor, AJP servers, records service, registry, directory, coordinators |
//! | [`lifecycle`] | console, reload, graceful shutdown, hot restart, fleet membership |

mod availability;
mod clock;
mod error;
pub mod events;
pub mod frontends;
pub mod io;
pub mod lifecycle;

pub mod upstreams;
pub mod worker;

pub use availability::{Availability, FrontendContext, Health};
pub use clock::Clock;
pub use error::{ListenError, WorkerError};
pub use worker::{run, Worker};

/// Retained results may take one part in this many of the memory limit.
const RESULT_MEMORY_DIVISOR: f64 = 8.0;
