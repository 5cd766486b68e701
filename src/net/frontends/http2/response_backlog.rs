//! Answers that wait for clients to take them, bounded in all. No I/O.
//!
//! Each connection's are bounded by its streams, by the size of an answer and by ten seconds; but many connections
//! together could hold far more than the worker has, while each of them keeps within its bounds.

/// What waits for one connection's client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiting {
    pub id: u64,
    pub bytes: usize,
}

/// Connections that are to be ended so that no more than `most` bytes wait: those with the most first, since they are
/// the fewest, and none that takes what it is sent as it comes loses anything. The order of equals is that of their ids.
pub fn too_much(mut all: Vec<Waiting>, most: usize) -> Vec<u64> {
    let mut left: usize = all.iter().map(|w| w.bytes).sum();
    if left <= most {
        return Vec::new();
    }
    all.sort_unstable_by_key(|w| (std::cmp::Reverse(w.bytes), w.id));
    let mut over = Vec::new();
    for w in all {
        if left <= most {
            break;
        }
        left -= w.bytes;
        over.push(w.id);
    }
    over
}

#[cfg(test)]
mod tests;
