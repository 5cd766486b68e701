//! Decides which earlier request an attempt with an idempotency key belongs to.
//!
//! All attempts of a request carry the same key and the same body. Their tenant need not be the same: a directory, or the
//! rules of a new process, may assign the sender to another tenant between two attempts. A key therefore counts within a
//! tenant and also for a principal, and an attempt that could be a retry under another tenant is never run:
//!
//! | the earlier request was sent by | with the same body | with another body |
//! | --- | --- | --- |
//! | the same principal or tenant | the attempt shares its run | conflict |
//! | another tenant | a retry is ambiguous, a first attempt is new | the attempt is new |
//!
//! A response which states that a request has not run needs a wider look-up, since a retry may overtake the first attempt:
//! `holders_of_same_request` also finds the retries of other tenants that were read before a first attempt.
//!
//! Without the second row, an order would run twice after its tenant has changed. Without the difference in its columns,
//! a tenant could block the requests of others by sending their keys first, or get their results.

use super::entry::Entry;
use super::key::IdempotencyKey;
use crate::interface::RequestId;

/// Fingerprints of the parts of a request that are the same in all its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestFingerprints {
    /// Fingerprint of the body.
    pub body: u64,
    /// Fingerprint of the principal that sent the request; `None` if only its tenant is known.
    pub principal: Option<u64>,
}

/// What tells whether two attempts with the same key may belong to the same request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptIdentity {
    /// Fingerprints of the request.
    pub fingerprints: RequestFingerprints,
    /// Whether it may be a further attempt of a request: `false` only if callers mark retries and it is not marked.
    pub may_be_retry: bool,
}

impl AttemptIdentity {
    /// The identity that is reported with a key whose request is no longer known.
    pub(super) const UNKNOWN: AttemptIdentity = AttemptIdentity {
        fingerprints: RequestFingerprints { body: 0, principal: None },
        may_be_retry: true,
    };
}

/// An attempt that carries an idempotency key.
#[derive(Clone, Debug)]
pub struct KeyedAttempt {
    /// The key, scoped to the attempt's own tenant.
    pub key: IdempotencyKey,
    /// Whether the attempt's tenant is known. If it isn't, the tenant in `key` has no meaning.
    pub tenant_is_known: bool,
    /// What it is compared by.
    pub identity: AttemptIdentity,
    /// When it arrived at the machine (event loop's clock, seconds).
    pub arrived: f64,
}

/// The earlier request whose run an attempt shares.
#[derive(Clone, Debug, PartialEq)]
pub struct MatchedRequest {
    /// The key under which that request is known. Its tenant may differ from the attempt's.
    pub key: IdempotencyKey,
    /// The attempt that runs or has run.
    pub holder: RequestId,
}

/// How an attempt relates to the earlier requests with its key, by increasing precedence.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyMatch {
    /// It belongs to none of them.
    New,
    /// It may be a retry of another tenant's request, or a request of its own.
    Ambiguous,
    /// Its tenant or principal has sent another request with this key.
    Conflict,
    /// It belongs to a request of its tenant.
    OfTenant(MatchedRequest),
    /// It belongs to a request of its principal.
    OfPrincipal(MatchedRequest),
}

impl KeyMatch {
    /// Returns the request whose run the attempt shares.
    #[must_use]
    pub fn request(&self) -> Option<&MatchedRequest> {
        match self {
            KeyMatch::OfTenant(request) | KeyMatch::OfPrincipal(request) => Some(request),
            KeyMatch::New | KeyMatch::Ambiguous | KeyMatch::Conflict => None,
        }
    }

    fn precedence(&self) -> u8 {
        match self {
            KeyMatch::New => 0,
            KeyMatch::Ambiguous => 1,
            KeyMatch::Conflict => 2,
            KeyMatch::OfTenant(_) => 3,
            KeyMatch::OfPrincipal(_) => 4,
        }
    }
}

/// Which parts of an attempt equal those of a run with the same key.
struct AttemptComparison {
    same_principal: bool,
    same_tenant: bool,
    same_body: bool,
}

/// An entry with the key that it belongs to.
pub(super) struct KeyedEntry<'a> {
    pub(super) key: IdempotencyKey,
    pub(super) entry: &'a Entry,
}

impl KeyedAttempt {
    /// Compares this attempt with all entries of its class and key text.
    pub(super) fn best_match<'a>(&self, entries: impl Iterator<Item = KeyedEntry<'a>>) -> KeyMatch {
        entries
            .map(|candidate| self.compare(candidate))
            .max_by_key(KeyMatch::precedence)
            .unwrap_or(KeyMatch::New)
    }

    fn compare(&self, candidate: KeyedEntry<'_>) -> KeyMatch {
        let Some(run) = candidate.entry.run_for(self.arrived) else { return KeyMatch::New };
        let AttemptComparison { same_principal, same_tenant, same_body } =
            self.compare_parts(&candidate.key, &run.identity);
        let request = MatchedRequest { key: candidate.key, holder: run.holder };
        match (same_principal, same_tenant, same_body) {
            (true, _, true) => KeyMatch::OfPrincipal(request),
            (false, true, true) => KeyMatch::OfTenant(request),
            (true, _, false) | (_, true, false) => KeyMatch::Conflict,
            (false, false, true) if self.identity.may_be_retry => KeyMatch::Ambiguous,
            (false, false, _) => KeyMatch::New,
        }
    }

    /// Iterates over the holders of the runs that may belong to the same request as this attempt, whichever of them was
    /// read first. Unlike [`Self::best_match`], this includes a retry of an unknown sender that has overtaken this first
    /// attempt: of two attempts of one request, at least one may be a retry.
    pub(super) fn holders_of_same_request<'a>(
        &'a self,
        entries: impl Iterator<Item = KeyedEntry<'a>> + 'a,
    ) -> impl Iterator<Item = RequestId> + 'a {
        entries.filter_map(|candidate| {
            let run = candidate.entry.run_for(self.arrived)?;
            let AttemptComparison { same_principal, same_tenant, same_body } =
                self.compare_parts(&candidate.key, &run.identity);
            let same_sender = same_principal || same_tenant;
            let either_may_be_retry = self.identity.may_be_retry || run.identity.may_be_retry;
            (same_body && (same_sender || either_may_be_retry)).then_some(run.holder)
        })
    }

    fn compare_parts(&self, run_key: &IdempotencyKey, run: &AttemptIdentity) -> AttemptComparison {
        let fingerprints = self.identity.fingerprints;
        let principal = fingerprints.principal;
        AttemptComparison {
            same_principal: principal.is_some() && run.fingerprints.principal == principal,
            same_tenant: self.tenant_is_known && run_key.tenant == self.key.tenant,
            same_body: run.fingerprints.body == fingerprints.body,
        }
    }
}
