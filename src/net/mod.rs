//! The port worker on real sockets: a single thread with an event loop. Each turn gathers input from ready sockets,
//! passes it to the dispatcher in one batch and executes the commands that the dispatcher returns.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`worker`] | the worker's state, its construction, the event loop and its turns |
//! | [`io`] | descriptors and their budget, buffers, idle connections, timers |
//! | [`frontends`] | HTTP/1.1, HTTP/2 and AJP |
//! | [`upstreams`] | the executor, AJP servers, records service, registry, directory, coordinators |
//! | [`lifecycle`] | console, reload, graceful shutdown, hot restart, fleet membership |
//! | [`events`] | log events of these modules |

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

/// Retained results may take up to the memory limit divided by this.
const RESULT_MEMORY_DIVISOR: f64 = 8.0;
