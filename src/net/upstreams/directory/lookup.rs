//! What a frontend asks of the directory, and gets.

use crate::dispatch::Ticket;
use std::rc::Rc;

/// A search for the tenant of a request.
#[derive(Debug, PartialEq)]
pub struct Lookup {
    /// The request that waits for it.
    pub ticket: Ticket,
    /// The identity of the portal or its user.
    pub identity: String,
    /// How long the request can wait for it (seconds).
    pub timeout_s: f64,
}

/// What came of a lookup.
#[derive(Clone, Debug, PartialEq)]
pub enum LookupResult {
    /// The name of the tenant.
    Tenant(Rc<str>),
    /// The directory knows no tenant of this identity, or several.
    Unknown,
    /// The directory can't be reached, or fails.
    Unavailable,
    /// The request's time was over before the directory had answered.
    TimedOut,
}
