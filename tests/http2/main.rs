//! The HTTP/2 front over loopback, against a peer that speaks frames byte by byte.

#[path = "../common/mod.rs"]
mod common;
mod conformance;
mod peer;
mod stories;
