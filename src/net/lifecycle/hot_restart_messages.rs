//! What the core lends and tells, in the words of the link between two processes, and back.

use crate::dispatch::idempotency::{IdempotencyKey, IdempotencyUpdate, KeyProgress};
use crate::dispatch::{HandedOffRequest, Request, Ticket};
use crate::hot_restart::frame::{Bytes, HandedOffConnection, Key, KeyEnd, KeyState, QueuedRequest};
use crate::net::frontends::connections::DetachedConnection;
use crate::net::Clock;

/// The Unix time of the loop's zero (milliseconds): times on the link mean the same in both processes.
pub(in crate::net) fn zero_ms(clock: &Clock) -> f64 {
    clock.unix_ms() - clock.now() * 1000.0
}

pub(in crate::net) fn to_state(news: &IdempotencyUpdate, zero_ms: f64) -> KeyState {
    let name = &news.key;
    KeyState {
        key: Key { class: name.class, tenant: name.tenant, key: name.key.clone() },
        print: news.body_fingerprint,
        until_ms: zero_ms + news.expires_at * 1000.0,
        end: match &news.progress {
            Some(KeyProgress::Open) => KeyEnd::Open,
            Some(KeyProgress::Served(result)) => KeyEnd::Served(result.clone().map(Bytes)),
            Some(KeyProgress::Failed) => KeyEnd::Failed,
            None => KeyEnd::Never,
        },
    }
}

/// `latest` is the end of the longest window that may begin now: no key links for longer.
pub(in crate::net) fn to_news(state: KeyState, zero_ms: f64, latest: f64) -> IdempotencyUpdate {
    let Key { class, tenant, key } = state.key;
    IdempotencyUpdate {
        key: IdempotencyKey { class, tenant, key },
        body_fingerprint: state.print,
        expires_at: ((state.until_ms - zero_ms) / 1000.0).min(latest),
        progress: match state.end {
            KeyEnd::Open => Some(KeyProgress::Open),
            KeyEnd::Served(result) => Some(KeyProgress::Served(result.map(|b| b.0))),
            KeyEnd::Failed => Some(KeyProgress::Failed),
            KeyEnd::Never => None,
        },
    }
}

pub(in crate::net) fn to_held(lent: &HandedOffRequest, zero_ms: f64) -> QueuedRequest {
    let r = &lent.request;
    QueuedRequest {
        name: r.name.clone(),
        class: r.class,
        tenant: r.tenant,
        caller: r.caller,
        kb: r.kb,
        arrived_ms: zero_ms + lent.arrived * 1000.0,
        due_ms: zero_ms + lent.due * 1000.0,
        estimate_s: r.estimate_s,
        key: r.key.clone(),
        retry: r.retry,
        body: Bytes(r.body.clone()),
    }
}

pub(in crate::net) fn to_request(held: QueuedRequest, ticket: Ticket, unix_ms: f64) -> Request {
    Request {
        ticket,
        name: held.name,
        class: held.class,
        tenant: held.tenant,
        caller: held.caller,
        kb: held.kb,
        read_at: None,
        read_delay_s: ((unix_ms - held.arrived_ms) / 1000.0).max(0.0),
        time_left_s: ((held.due_ms - unix_ms) / 1000.0).max(0.0),
        estimate_s: held.estimate_s,
        key: held.key,
        retry: held.retry,
        body: held.body.0,
    }
}

pub(in crate::net) fn passed(
    parcel: &DetachedConnection<bool>,
    held: Option<QueuedRequest>,
) -> HandedOffConnection {
    HandedOffConnection {
        unread: Bytes(parcel.unread.as_slice().into()),
        continued: parcel.memory,
        asked: parcel.asked,
        close: parcel.close,
        held,
    }
}
