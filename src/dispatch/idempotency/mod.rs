//! Idempotency keys: which request runs for a key, how long attempts with the key share that run, and its result.
//!
//! An attempt belongs to a window by when it reached the machine. It may be read later, and attempts may be read in another
//! order than they arrived in. Therefore an entry is retained for a while after its window, and an entry whose window is
//! over keeps that run as its previous one when a later attempt becomes the holder: attempts of the old window that are
//! read afterwards share the previous run, whether or not the new holder ever runs.
//!
//! All times are on the loop's clock (seconds).

mod entry;
mod key;
mod table;
#[cfg(test)]
mod tests;

pub use entry::Entry;
pub use key::{IdempotencyKey, IdempotencyUpdate, KeyProgress};
pub use table::{IdempotencyTable, MatchedAttempt, OpenKey};
