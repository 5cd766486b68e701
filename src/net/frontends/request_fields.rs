//! The platform's fields of a request, the same on every front: collected from headers, checked, and made into
//! what the core takes.

use crate::config::Options;
use crate::dispatch::{Request, Ticket};
use crate::interface::{Class, Idempotency, Settings};
use crate::net::Clock;
use std::collections::HashMap;
use std::rc::Rc;

/// The memory booked for a held request that states none (KB).
pub const DEFAULT_NEED_KB: f64 = 32.0;

/// No caller waits, and no work takes, longer than this (milliseconds).
const WAIT_MOST_MS: f64 = 3_600_000.0;

/// The largest request body (bytes).
pub const BODY_MOST: usize = 2048;

/// The classes and tenants of the settings by name, for all fronts.
pub struct Catalog {
    classes: HashMap<String, usize>,
    tenants: HashMap<String, usize>,
    kinds: Vec<Class>,
    names: Vec<Rc<str>>,
}

impl Catalog {
    pub fn new(options: &Options, settings: &Settings) -> Catalog {
        let numbered =
            |names: Vec<&String>| names.into_iter().enumerate().map(|(i, n)| (n.clone(), i)).collect();
        Catalog {
            classes: numbered(options.profiles.iter().map(|p| &p.name).collect()),
            tenants: numbered(options.tenants.iter().map(|t| &t.name).collect()),
            kinds: settings.classes.clone(),
            names: options.profiles.iter().map(|p| p.name.as_str().into()).collect(),
        }
    }

    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.get(name).copied()
    }

    pub fn class_name(&self, class: usize) -> &str {
        self.names.get(class).map_or("", |n| n)
    }

    pub fn effect(&self, class: usize) -> Idempotency {
        self.kinds[class].effect
    }

    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.get(name).copied()
    }
}

/// The fields, as they stood in the head.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fields {
    pub id: Option<Rc<str>>,
    pub org: Option<Rc<str>>,
    pub key: Option<Rc<str>>,
    arrived_ms: Option<f64>,
    deadline_ms: Option<f64>,
    estimate_ms: Option<f64>,
    need_kb: Option<f64>,
    rank: Option<f64>,
    caller: Option<u64>,
    resent: Option<bool>,
}

/// Why a request can't be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A field is malformed, missing, or stands there twice.
    Field(&'static str),
    UnknownTenant,
}

impl Fields {
    /// Notes a header if it is one of the platform's.
    pub fn note(&mut self, name: &str, value: &[u8]) -> Result<(), Fault> {
        let is = |known: &str| name.eq_ignore_ascii_case(known);
        let text = || std::str::from_utf8(value).map(str::trim).unwrap_or("");
        if is("X-Correlation-Id") {
            let id = text();
            let hex = id.len() == 16 && id.bytes().all(|b| b.is_ascii_hexdigit());
            set(&mut self.id, hex.then(|| id.into()), "X-Correlation-Id")
        } else if is("X-Org") {
            set(&mut self.org, Some(text()).filter(|t| !t.is_empty()).map(Rc::from), "X-Org")
        } else if is("X-Operation-Key") {
            let plain = |t: &&str| (1..=128).contains(&t.len()) && t.bytes().all(|b| b.is_ascii_graphic());
            set(&mut self.key, Some(text()).filter(plain).map(Rc::from), "X-Operation-Key")
        } else if is("X-Arrived-Ms") {
            set(&mut self.arrived_ms, number(text(), 0.0, 1e14), "X-Arrived-Ms")
        } else if is("X-Deadline-Ms") {
            set(&mut self.deadline_ms, number(text(), 0.0, WAIT_MOST_MS), "X-Deadline-Ms")
        } else if is("X-Estimate-Ms") {
            set(&mut self.estimate_ms, number(text(), 0.0, WAIT_MOST_MS), "X-Estimate-Ms")
        } else if is("X-Criticality") {
            // Nothing here goes by it, but a request with a rank that is none is no sound request.
            set(&mut self.rank, number(text(), 0.0, 1.0).filter(|n| *n < 1.0), "X-Criticality")
        } else if is("X-Need-Kb") {
            let need = number(text(), 0.0, 2000.0).filter(|n| *n > 0.0 && *n < 2000.0);
            set(&mut self.need_kb, need, "X-Need-Kb")
        } else if is("X-Upstream-Peer") {
            let digits = text().bytes().all(|b| b.is_ascii_digit());
            set(&mut self.caller, text().parse().ok().filter(|_| digits), "X-Upstream-Peer")
        } else if is("X-Resent") {
            set(&mut self.resent, matches!(text(), "0" | "1").then(|| text() == "1"), "X-Resent")
        } else {
            Ok(())
        }
    }

    /// Counts a request that tells no time of its own from this moment on the Unix clock (milliseconds).
    pub fn arrived_at(&mut self, unix_ms: f64) {
        self.arrived_ms.get_or_insert(unix_ms);
    }

    /// How long its caller waits from now on (seconds). The time that it lay unread is part of it.
    pub fn time_left(&self, class: usize, known: &Catalog, clock: &Clock) -> f64 {
        self.deadline_ms.map_or(known.kinds[class].deadline_s, |ms| ms / 1000.0) - self.read_delay_s(clock)
    }

    fn read_delay_s(&self, clock: &Clock) -> f64 {
        self.arrived_ms.map_or(0.0, |at| ((clock.unix_ms() - at) / 1000.0).max(0.0))
    }

    /// Makes the request for the core. `tenant` is the one that the front found; else the field's counts.
    pub fn request(
        self,
        ticket: Ticket,
        class: usize,
        tenant: Option<usize>,
        body: &[u8],
        known: &Catalog,
        clock: &Clock,
    ) -> Result<Request, Fault> {
        let tenant = match (tenant, &self.org) {
            (Some(t), _) => Some(t),
            (None, Some(_)) if known.tenants.is_empty() => None,
            (None, Some(org)) => Some(known.tenant(org).ok_or(Fault::UnknownTenant)?),
            (None, None) if known.tenants.is_empty() => None,
            (None, None) => return Err(Fault::Field("X-Org")),
        };
        // Without its key nothing could keep a keyed request from running twice.
        let keyed = known.effect(class) == Idempotency::Keyed;
        if keyed && self.key.is_none() {
            return Err(Fault::Field("X-Operation-Key"));
        }
        // A stamp of another day is none: the request would count as overdue, or as one that waits for ever.
        if self.arrived_ms.is_some_and(|at| (clock.unix_ms() - at).abs() > WAIT_MOST_MS) {
            return Err(Fault::Field("X-Arrived-Ms"));
        }
        let read_delay_s = self.read_delay_s(clock);
        let time_left_s = self.time_left(class, known, clock);
        Ok(Request {
            ticket,
            name: self.id.ok_or(Fault::Field("X-Correlation-Id"))?,
            class,
            tenant,
            caller: self.caller.unwrap_or(0),
            kb: self.need_kb.unwrap_or(DEFAULT_NEED_KB),
            read_at: Some(clock.now()),
            read_delay_s,
            time_left_s,
            estimate_s: self.estimate_ms.map(|ms| ms / 1000.0).filter(|s| *s > 0.0),
            key: self.key.filter(|_| keyed),
            retry: self.resent.unwrap_or(false),
            body: body.into(),
        })
    }
}

/// A field that is malformed or stands there twice could be read two ways.
fn set<T>(field: &mut Option<T>, value: Option<T>, name: &'static str) -> Result<(), Fault> {
    if field.is_some() || value.is_none() {
        return Err(Fault::Field(name));
    }
    *field = value;
    Ok(())
}

fn number(text: &str, least: f64, most: f64) -> Option<f64> {
    let plain = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    text.parse().ok().filter(|n: &f64| plain && n.is_finite() && *n >= least && *n <= most)
}
