//! Kept connections that are used again, the same for calls and for runs at AJP servers.

use crate::net::io::buffer::{Filled, Link};
use std::collections::HashMap;

/// Kept connections without use, at most.
pub const IDLE_MOST: usize = 16;

/// A connection that is now in use and now kept.
pub trait Kept {
    fn link(&mut self) -> &mut Link;

    /// Since when nobody has used it; `None` while somebody does, or before it has come about.
    fn idle_since(&self) -> Option<f64>;
}

/// Takes the connection used last, but not within the last `quiet_s`, if it is sound so far as can be seen; others
/// are closed.
pub fn take_idle<C: Kept>(all: &mut HashMap<u64, C>, now: f64, quiet_s: f64, keep_s: f64) -> Option<u64> {
    loop {
        let idle = all.iter().filter_map(|(id, c)| Some((*id, c.idle_since()?)));
        let idle = idle.filter(|(_, since)| now - since >= quiet_s);
        let (id, since) = idle.max_by(|a, b| a.1.total_cmp(&b.1))?;
        let link = all.get_mut(&id)?.link();
        // Guards against a request lost to a connection that the peer has just closed.
        let sound = link.fill() == Filled::Open && link.data().is_empty();
        if sound && now - since < keep_s {
            return Some(id);
        }
        all.remove(&id);
    }
}

/// Whether there are so many kept connections that one more is too many.
pub fn full<C: Kept>(all: &HashMap<u64, C>) -> bool {
    all.values().filter(|c| c.idle_since().is_some()).count() > IDLE_MOST
}
