//! Reuse of idle connections to the records service and to AJP servers.

use crate::net::io::buffer::{Link, ReadStatus};
use std::collections::HashMap;
use std::hash::BuildHasher;

/// Maximum number of idle connections in a pool.
pub const MAX_IDLE: usize = 16;

/// A connection that can be pooled while idle.
pub trait Pooled {
    /// The connection itself.
    fn link(&mut self) -> &mut Link;

    /// When it became idle (event loop's clock, seconds); `None` while it is in use or connecting.
    fn idle_since(&self) -> Option<f64>;
}

/// Returns the id of the most recently used connection that has been idle for at least `min_idle_s` seconds. Unusable
/// ones found in the search are closed: those that the peer has closed, that have unexpected data, or that have been
/// idle for `max_idle_s` seconds.
pub fn take_idle<C: Pooled, S: BuildHasher>(
    connections: &mut HashMap<u64, C, S>,
    now: f64,
    min_idle_s: f64,
    max_idle_s: f64,
) -> Option<u64> {
    loop {
        let idle = connections.iter().filter_map(|(id, c)| Some((*id, c.idle_since()?)));
        let idle = idle.filter(|(_, idle_since)| now - idle_since >= min_idle_s);
        let (id, idle_since) = idle.max_by(|a, b| a.1.total_cmp(&b.1))?;
        let link = connections.get_mut(&id)?.link();
        // Detects connections that the peer has closed already, so that no request is lost on them.
        let is_usable = link.fill() == ReadStatus::Open && link.data().is_empty();
        if is_usable && now - idle_since < max_idle_s {
            return Some(id);
        }
        connections.remove(&id);
    }
}

/// Whether there are more than [`MAX_IDLE`] idle connections.
#[must_use]
pub fn exceeds_max_idle<C: Pooled, S: BuildHasher>(connections: &HashMap<u64, C, S>) -> bool {
    connections.values().filter(|c| c.idle_since().is_some()).count() > MAX_IDLE
}
