//! Limits the total size of responses that wait for clients to read them, over all connections. The module does no I/O.
//!
//! The pending responses of one connection are limited by the number of streams, the size of a response and a timeout,
//! but many connections within these limits could together exceed the worker's memory.

use std::cmp::Reverse;

/// The pending responses of one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseBacklog {
    /// The connection.
    pub id: u64,
    /// Size of the responses that the client has not read.
    pub bytes: usize,
}

/// Selects the connections to close so that at most `max_bytes` remain pending. The largest backlogs come first: that
/// closes the fewest connections, and none whose client reads its responses as they come. Ties are ordered by id.
pub fn connections_over_limit(mut backlogs: Vec<ResponseBacklog>, max_bytes: usize) -> Vec<u64> {
    let mut total_bytes: usize = backlogs.iter().map(|backlog| backlog.bytes).sum();
    if total_bytes <= max_bytes {
        return Vec::new();
    }
    backlogs.sort_unstable_by_key(|backlog| (Reverse(backlog.bytes), backlog.id));
    let mut selected = Vec::new();
    for backlog in backlogs {
        if total_bytes <= max_bytes {
            break;
        }
        total_bytes -= backlog.bytes;
        selected.push(backlog.id);
    }
    selected
}

#[cfg(test)]
mod tests;
