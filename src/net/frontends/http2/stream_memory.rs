//! Limits the memory of all open streams, over all connections. The module does no I/O: connections are ids.
//!
//! One connection is limited by its number of streams, the size of a request and timeouts, but hundreds of connections
//! within these limits could together exceed the worker's memory: with streams whose bodies never end, with requests that
//! wait for one run, or with responses that never fit into the client's windows.

use std::cmp::Reverse;
use std::collections::HashMap;

/// The memory of the open streams of each connection.
#[derive(Debug)]
pub struct StreamMemory {
    max_bytes: usize,
    total_bytes: usize,
    /// Only connections with open streams.
    bytes_by_connection: HashMap<u64, usize>,
}

impl StreamMemory {
    /// No stream is open; at most `max_bytes` may be in use.
    pub fn new(max_bytes: usize) -> StreamMemory {
        StreamMemory { max_bytes, total_bytes: 0, bytes_by_connection: HashMap::new() }
    }

    /// Records the memory that the open streams of a connection use now.
    pub fn set(&mut self, id: u64, bytes: usize) {
        let before = if bytes == 0 {
            self.bytes_by_connection.remove(&id)
        } else {
            self.bytes_by_connection.insert(id, bytes)
        };
        self.total_bytes = self.total_bytes + bytes - before.unwrap_or(0);
    }

    /// Returns the connection to close next, if the limit is exceeded: the one whose streams use the most memory, so that
    /// clients with few open requests keep theirs. Ties are ordered by id.
    pub fn largest_over_limit(&self) -> Option<u64> {
        if self.total_bytes <= self.max_bytes {
            return None;
        }
        let by_size = self.bytes_by_connection.iter().max_by_key(|(id, bytes)| (**bytes, Reverse(**id)));
        by_size.map(|(id, _)| *id)
    }
}

#[cfg(test)]
mod tests;
