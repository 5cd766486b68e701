//! Conversion between the dispatcher's types and the frames that are sent between two processes.

use crate::dispatch::idempotency::{
    AttemptIdentity, IdempotencyKey, IdempotencyUpdate, KeyProgress, RequestFingerprints,
};
use crate::dispatch::{HandedOffRequest, Request, Ticket};
use crate::hot_restart::frame::{
    Bytes, HandedOffConnection, IndeterminateKeysReport, Key, KeyOutcome, KeyState, QueuedRequest,
};
use crate::hot_restart::IndeterminateKeys;
use crate::net::frontends::connections::DetachedConnection;
use crate::net::Clock;

/// Returns the Unix time at which the loop's clock was zero (milliseconds). Frames carry Unix times, since the two
/// processes' loop clocks differ.
pub(super) fn loop_epoch_unix_ms(clock: &Clock) -> f64 {
    clock.unix_ms() - clock.now() * 1000.0
}

pub(super) fn to_key_state(update: &IdempotencyUpdate, epoch_unix_ms: f64) -> KeyState {
    let IdempotencyKey { class, tenant, key } = update.key.clone();
    KeyState {
        key: Key { class, tenant, key },
        body_fingerprint: update.identity.fingerprints.body,
        principal_fingerprint: update.identity.fingerprints.principal,
        is_first_attempt: !update.identity.may_be_retry,
        expires_at_ms: epoch_unix_ms + update.expires_at * 1000.0,
        outcome: match &update.progress {
            Some(KeyProgress::Open) => KeyOutcome::Open,
            Some(KeyProgress::Served(result)) => KeyOutcome::Served(result.clone().map(Bytes)),
            Some(KeyProgress::Failed) => KeyOutcome::Failed,
            None => KeyOutcome::NeverRan,
        },
    }
}

/// Converts a key's state to an update. `latest_expiry` is when a key that is first used now would expire at the latest
/// (loop's clock, seconds). It caps the expiry, since no key matches retries for longer.
pub(super) fn to_key_update(
    key_state: KeyState,
    epoch_unix_ms: f64,
    latest_expiry: f64,
) -> IdempotencyUpdate {
    let Key { class, tenant, key } = key_state.key;
    IdempotencyUpdate {
        key: IdempotencyKey { class, tenant, key },
        identity: AttemptIdentity {
            fingerprints: RequestFingerprints {
                body: key_state.body_fingerprint,
                principal: key_state.principal_fingerprint,
            },
            may_be_retry: !key_state.is_first_attempt,
        },
        expires_at: ((key_state.expires_at_ms - epoch_unix_ms) / 1000.0).min(latest_expiry),
        progress: match key_state.outcome {
            KeyOutcome::Open => Some(KeyProgress::Open),
            KeyOutcome::Served(result) => Some(KeyProgress::Served(result.map(|bytes| bytes.0))),
            KeyOutcome::Failed => Some(KeyProgress::Failed),
            KeyOutcome::NeverRan => None,
        },
    }
}

/// Converts indeterminate keys to their form on the link.
pub(super) fn to_keys_report(keys: IndeterminateKeys, epoch_unix_ms: f64) -> IndeterminateKeysReport {
    match keys {
        IndeterminateKeys::None => IndeterminateKeysReport::None,
        IndeterminateKeys::All => IndeterminateKeysReport::All,
        IndeterminateKeys::RetriesUntil(end) => {
            IndeterminateKeysReport::RetriesUntil(epoch_unix_ms + end * 1000.0)
        }
    }
}

/// Converts a report of the predecessor to indeterminate keys. `latest_end` is when the window of a key that is first used
/// now ends at the latest (loop's clock, seconds). An older predecessor reports nothing, so retries of the keys that it
/// didn't know may have run.
pub(super) fn to_indeterminate_keys(
    report: Option<IndeterminateKeysReport>,
    epoch_unix_ms: f64,
    latest_end: f64,
) -> IndeterminateKeys {
    match report {
        Some(IndeterminateKeysReport::None) => IndeterminateKeys::None,
        Some(IndeterminateKeysReport::All) => IndeterminateKeys::All,
        Some(IndeterminateKeysReport::RetriesUntil(end_ms)) => {
            IndeterminateKeys::RetriesUntil(((end_ms - epoch_unix_ms) / 1000.0).min(latest_end))
        }
        None => IndeterminateKeys::RetriesUntil(latest_end),
    }
}

pub(super) fn to_queued_request(handed_off: &HandedOffRequest, epoch_unix_ms: f64) -> QueuedRequest {
    let request = &handed_off.request;
    QueuedRequest {
        name: request.name.clone(),
        class: request.class,
        tenant: request.tenant,
        caller: request.caller,
        memory_kb: request.memory_kb,
        arrived_at_ms: epoch_unix_ms + handed_off.arrived * 1000.0,
        deadline_ms: epoch_unix_ms + handed_off.deadline * 1000.0,
        estimate_s: request.estimate_s,
        key: request.key.clone(),
        retry: request.retry,
        body: Bytes(request.body.clone()),
    }
}

pub(super) fn to_request(queued: QueuedRequest, ticket: Ticket, unix_ms: f64) -> Request {
    Request {
        ticket,
        name: queued.name,
        class: queued.class,
        tenant: queued.tenant,
        // Only HTTP requests are handed off, whose tenant comes from X-Org.
        principal: None,
        caller: queued.caller,
        memory_kb: queued.memory_kb,
        read_at: None,
        read_delay_s: ((unix_ms - queued.arrived_at_ms) / 1000.0).max(0.0),
        time_left_s: ((queued.deadline_ms - unix_ms) / 1000.0).max(0.0),
        estimate_s: queued.estimate_s,
        key: queued.key,
        retry: queued.retry,
        body: queued.body.0,
    }
}

pub(super) fn to_connection(
    detached: &DetachedConnection<bool>,
    queued_request: Option<QueuedRequest>,
) -> HandedOffConnection {
    HandedOffConnection {
        unread: Bytes(detached.unread.as_slice().into()),
        continued: detached.protocol_state,
        requests_read: detached.requests_read,
        close_after_response: detached.close_after_response,
        queued_request,
    }
}
