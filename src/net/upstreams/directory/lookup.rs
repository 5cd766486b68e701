//! Lookups that frontends request from the directory, and their results.

use crate::dispatch::Ticket;
use std::rc::Rc;

/// A lookup of a request's tenant.
#[derive(Debug, PartialEq)]
pub struct Lookup {
    /// The request that waits for the result.
    pub ticket: Ticket,
    /// The identity of the portal or of its user.
    pub identity: String,
    /// Maximum time that the request can wait (seconds).
    pub timeout_s: f64,
}

/// The result of a lookup.
#[derive(Clone, Debug, PartialEq)]
pub enum LookupResult {
    /// The name of the tenant.
    Tenant(Rc<str>),
    /// The directory has no tenant for this identity, or more than one.
    Unknown,
    /// The directory can't be reached, did not respond in time or reported an error.
    Unavailable,
    /// The request's own time limit expired before the directory responded.
    TimedOut,
}
