//! What lets clients in: the fronts, and what their fields, targets and answers mean.

pub mod ajp;
pub mod connections;
pub mod http1;
pub mod http2;
pub mod request_fields;
pub mod status_mapping;
