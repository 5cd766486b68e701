//! Log events of the network code: one enum for each part, and in the same file the name, level and fields of each
//! event. `docs/operators/log.md` documents each event and what operators should do about it.

mod executor;
mod frontends;
mod hot_restart;
mod lifecycle;
mod upstreams;

pub use executor::{DroppedCommand, ExecutorEvent, LinkLossCause, MalformedNotice};
pub use frontends::{FrontendEvent, SessionEndCause};
pub use hot_restart::{HotRestartEvent, Peer, UnavailableCause};
pub use lifecycle::{ConfigFile, LifecycleEvent, ResponseState};
pub use upstreams::UpstreamEvent;
