//! Idle connections to upstreams that are used again, for the records service and for AJP servers.

use crate::net::io::buffer::{Link, ReadStatus};
use std::collections::HashMap;
use std::hash::BuildHasher;

/// Idle connections at most.
pub const MAX_IDLE: usize = 16;

/// A connection that can be pooled while idle.
pub trait Pooled {
    /// The connection itself.
    fn link(&mut self) -> &mut Link;

    /// Since when it is idle (loop's clock, seconds); `None` while it is in use or being connected.
    fn idle_since(&self) -> Option<f64>;
}

/// Takes the connection used last, but not within the last `quiet_s` seconds, if it is usable as far as can be seen;
/// unusable ones are closed.
pub fn take_idle<C: Pooled, S: BuildHasher>(
    all: &mut HashMap<u64, C, S>,
    now: f64,
    quiet_s: f64,
    keep_s: f64,
) -> Option<u64> {
    loop {
        let idle = all.iter().filter_map(|(id, c)| Some((*id, c.idle_since()?)));
        let idle = idle.filter(|(_, since)| now - since >= quiet_s);
        let (id, since) = idle.max_by(|a, b| a.1.total_cmp(&b.1))?;
        let link = all.get_mut(&id)?.link();
        // A request must not be lost to a connection that the peer has just closed.
        let sound = link.fill() == ReadStatus::Open && link.data().is_empty();
        if sound && now - since < keep_s {
            return Some(id);
        }
        all.remove(&id);
    }
}

/// Whether there are more idle connections than the pool holds.
#[must_use]
pub fn full<C: Pooled, S: BuildHasher>(all: &HashMap<u64, C, S>) -> bool {
    all.values().filter(|c| c.idle_since().is_some()).count() > MAX_IDLE
}
