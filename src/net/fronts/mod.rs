//! What lets clients in: the fronts, and what their fields, targets and answers mean.

pub mod ajp_front;
pub mod connections;
pub mod fields;
pub mod http2;
pub mod http_front;
pub mod meaning;
