//! The HTTP/1.1, HTTP/2 and AJP frontends, which accept clients, and the meaning of headers, targets and statuses.

pub mod ajp;
pub mod connections;
pub mod frontend;
pub mod http1;
pub mod http2;
pub mod request_fields;
pub mod status_mapping;

mod set;

pub use set::{FrontendListener, Frontends, OpenedFrontend};
