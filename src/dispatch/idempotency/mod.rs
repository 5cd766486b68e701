//! Idempotency keys: the request that runs for each key, the window in which later attempts share that run, and its
//! result.
//!
//! The time at which an attempt arrived at the machine determines the window that it belongs to. Attempts may be read
//! later than they arrived, and in a different order. Therefore an entry is retained for
//! [`IdempotencyTable::retention_after_window_s`] after its window.
//! When an attempt of a later window becomes the holder of the key, the entry keeps the old run as its previous run:
//! attempts of the old window that are read afterwards share the previous run, whether or not the new holder ever runs.
//!
//! All times are on the event loop's clock (seconds).

mod entries;
mod entry;
mod key;
mod matching;
mod table;
#[cfg(test)]
mod tests;

pub use entry::Entry;
pub use key::{IdempotencyKey, IdempotencyUpdate, KeyProgress};
pub use matching::{AttemptIdentity, KeyMatch, KeyedAttempt, MatchedRequest, RequestFingerprints};
pub use table::{IdempotencyTable, OpenKey};
