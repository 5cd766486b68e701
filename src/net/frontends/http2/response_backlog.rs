//! Bounds the responses that wait for clients to take them, over all connections. No I/O.
//!
//! On each connection they are bounded by its streams, by the size of a response and by time; but many connections
//! together could hold far more than the worker has memory for, while each of them keeps within its bounds.

use std::cmp::Reverse;

/// What waits for one connection's client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseBacklog {
    /// The connection.
    pub id: u64,
    /// Size of its responses that the client has not taken.
    pub bytes: usize,
}

/// Connections that are to be ended so that no more than `max_bytes` wait: those with the largest backlog first, since
/// they are the fewest, and no client that takes responses as they come loses anything. Equals are ordered by id.
pub fn largest_beyond(mut backlogs: Vec<ResponseBacklog>, max_bytes: usize) -> Vec<u64> {
    let mut total_bytes: usize = backlogs.iter().map(|backlog| backlog.bytes).sum();
    if total_bytes <= max_bytes {
        return Vec::new();
    }
    backlogs.sort_unstable_by_key(|backlog| (Reverse(backlog.bytes), backlog.id));
    let mut ended = Vec::new();
    for backlog in backlogs {
        if total_bytes <= max_bytes {
            break;
        }
        total_bytes -= backlog.bytes;
        ended.push(backlog.id);
    }
    ended
}

#[cfg(test)]
mod tests;
