//! The platform's request headers, common to all frontends: collects and validates them, and builds the dispatcher's
//! [`Request`].

use crate::config::PlatformSettings;
use crate::dispatch::{Request, Ticket};
use crate::interface::{Class, Idempotency, Settings};
use crate::net::Clock;
use std::collections::HashMap;
use std::rc::Rc;

/// The memory reserved for a queued request that doesn't state its own need (KB).
pub const DEFAULT_NEED_KB: f64 = 32.0;

/// The maximum deadline and run estimate that a request may state (milliseconds).
const MAX_DURATION_MS: f64 = 3_600_000.0;

/// The latest arrival time that a request may state (milliseconds on the Unix clock).
const MAX_UNIX_MS: f64 = 1e14;

/// The exclusive upper bound on the memory that a request may state (KB).
const NEED_LIMIT_KB: f64 = 2000.0;

/// The length of a correlation id (hex digits).
const CORRELATION_ID_LENGTH: usize = 16;

/// The maximum length of an idempotency key (bytes).
const MAX_KEY_LENGTH: usize = 128;

/// The maximum length of a request body (bytes).
pub const MAX_BODY_BYTES: usize = 2048;

/// The configured classes and tenants by their names on the wire, for all frontends.
pub struct Catalog {
    /// Class indices by name.
    class_indices: HashMap<String, usize>,
    /// Tenant indices by name.
    tenant_indices: HashMap<String, usize>,
    /// The settings of each class, by index.
    classes: Vec<Class>,
    /// The name of each class, by index.
    class_names: Vec<Rc<str>>,
}

impl Catalog {
    /// Indexes the classes and tenants in the order of the settings.
    #[must_use]
    pub fn new(platform_settings: &PlatformSettings, settings: &Settings) -> Catalog {
        let index_by_name = |names: Vec<&String>| {
            names.into_iter().enumerate().map(|(index, name)| (name.clone(), index)).collect()
        };
        Catalog {
            class_indices: index_by_name(
                platform_settings.profiles.iter().map(|profile| &profile.name).collect(),
            ),
            tenant_indices: index_by_name(
                platform_settings.tenants.iter().map(|tenant| &tenant.name).collect(),
            ),
            classes: settings.classes.clone(),
            class_names: platform_settings
                .profiles
                .iter()
                .map(|profile| profile.name.as_str().into())
                .collect(),
        }
    }

    /// The index of the class with this name.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<usize> {
        self.class_indices.get(name).copied()
    }

    /// The name of a class; empty if there is no such class.
    #[must_use]
    pub fn class_name(&self, class: usize) -> &str {
        self.class_names.get(class).map_or("", |name| name)
    }

    /// Whether requests of a class may run more than once.
    ///
    /// # Panics
    ///
    /// If there is no such class.
    #[must_use]
    pub fn idempotency(&self, class: usize) -> Idempotency {
        self.classes[class].idempotency
    }

    /// The index of the tenant with this name.
    #[must_use]
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenant_indices.get(name).copied()
    }
}

/// What determines the tenant of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TenantSource {
    /// X-Org.
    Header,
    /// The frontend, which has found the tenant with this index.
    Frontend(usize),
    /// The frontend, which has not found a tenant.
    Undetermined,
}

/// The platform's headers of one request, as received.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestFields {
    /// X-Correlation-Id.
    pub correlation_id: Option<Rc<str>>,
    /// X-Org: the tenant's name.
    pub tenant_name: Option<Rc<str>>,
    /// X-Operation-Key: the idempotency key.
    pub key: Option<Rc<str>>,
    arrived_ms: Option<f64>,
    deadline_ms: Option<f64>,
    estimate_ms: Option<f64>,
    need_kb: Option<f64>,
    criticality: Option<f64>,
    caller: Option<u64>,
    is_retry: Option<bool>,
}

/// Why a request is rejected because of its headers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FieldError {
    /// The header of this name is malformed, missing or repeated.
    Field(&'static str),
    /// X-Org names a tenant that is not configured.
    UnknownTenant,
}

impl RequestFields {
    /// Records a header if it is one of the platform's; ignores it otherwise.
    ///
    /// # Errors
    ///
    /// [`FieldError::Field`] if the value is malformed or the header is repeated.
    pub fn record(&mut self, name: &str, value: &[u8]) -> Result<(), FieldError> {
        let is = |known: &str| name.eq_ignore_ascii_case(known);
        let text = || std::str::from_utf8(value).map_or("", str::trim);
        if is("X-Correlation-Id") {
            set(&mut self.correlation_id, parse_correlation_id(text()), "X-Correlation-Id")
        } else if is("X-Org") {
            set(&mut self.tenant_name, Some(text()).filter(|name| !name.is_empty()).map(Rc::from), "X-Org")
        } else if is("X-Operation-Key") {
            set(&mut self.key, parse_key(text()), "X-Operation-Key")
        } else if is("X-Arrived-Ms") {
            set(&mut self.arrived_ms, parse_number(text(), 0.0, MAX_UNIX_MS), "X-Arrived-Ms")
        } else if is("X-Deadline-Ms") {
            set(&mut self.deadline_ms, parse_number(text(), 0.0, MAX_DURATION_MS), "X-Deadline-Ms")
        } else if is("X-Estimate-Ms") {
            set(&mut self.estimate_ms, parse_number(text(), 0.0, MAX_DURATION_MS), "X-Estimate-Ms")
        } else if is("X-Criticality") {
            // The value is not used, but a request with a value out of range is malformed.
            let criticality = parse_number(text(), 0.0, 1.0).filter(|value| *value < 1.0);
            set(&mut self.criticality, criticality, "X-Criticality")
        } else if is("X-Need-Kb") {
            let need_kb = parse_number(text(), 0.0, NEED_LIMIT_KB);
            let in_range = |kb: &f64| *kb > 0.0 && *kb < NEED_LIMIT_KB;
            set(&mut self.need_kb, need_kb.filter(in_range), "X-Need-Kb")
        } else if is("X-Upstream-Peer") {
            let only_digits = text().bytes().all(|byte| byte.is_ascii_digit());
            set(&mut self.caller, text().parse().ok().filter(|_| only_digits), "X-Upstream-Peer")
        } else if is("X-Resent") {
            set(&mut self.is_retry, matches!(text(), "0" | "1").then(|| text() == "1"), "X-Resent")
        } else {
            Ok(())
        }
    }

    /// Sets the arrival time (Unix clock, milliseconds) of a request that doesn't state one.
    pub fn set_default_arrival(&mut self, unix_ms: f64) {
        self.arrived_ms.get_or_insert(unix_ms);
    }

    /// The time left until the deadline (seconds): the stated deadline, or else that of the class, minus the time that
    /// the request spent unread.
    #[must_use]
    pub fn time_left(&self, class: usize, catalog: &Catalog, clock: &Clock) -> f64 {
        let deadline_s = self.deadline_ms.map_or(catalog.classes[class].deadline_s, |ms| ms / 1000.0);
        deadline_s - self.read_delay_s(clock)
    }

    /// The time between the request's arrival and its reading (seconds).
    fn read_delay_s(&self, clock: &Clock) -> f64 {
        self.arrived_ms.map_or(0.0, |arrived| ((clock.unix_ms() - arrived) / 1000.0).max(0.0))
    }

    /// Builds the dispatcher's request.
    ///
    /// # Errors
    ///
    /// [`FieldError`] if a required header is missing, X-Org names an unknown tenant, or X-Arrived-Ms differs from the
    /// current time by more than an hour.
    pub fn request(
        self,
        ticket: Ticket,
        class: usize,
        tenant: TenantSource,
        body: &[u8],
        catalog: &Catalog,
        clock: &Clock,
    ) -> Result<Request, FieldError> {
        let tenant = match tenant {
            TenantSource::Header => self.tenant(catalog)?,
            TenantSource::Frontend(tenant) => Some(tenant),
            TenantSource::Undetermined => None,
        };
        // Without its key, nothing would prevent the request from running twice.
        let keyed = catalog.idempotency(class) == Idempotency::Keyed;
        if keyed && self.key.is_none() {
            return Err(FieldError::Field("X-Operation-Key"));
        }
        // With an arrival time in the distant past the request would be overdue at once; with one in the distant future
        // it would never be.
        let is_implausible = |arrived_ms: f64| (clock.unix_ms() - arrived_ms).abs() > MAX_DURATION_MS;
        if self.arrived_ms.is_some_and(is_implausible) {
            return Err(FieldError::Field("X-Arrived-Ms"));
        }
        let read_delay_s = self.read_delay_s(clock);
        let time_left_s = self.time_left(class, catalog, clock);
        Ok(Request {
            ticket,
            name: self.correlation_id.ok_or(FieldError::Field("X-Correlation-Id"))?,
            class,
            tenant,
            principal: None,
            caller: self.caller.unwrap_or(0),
            memory_kb: self.need_kb.unwrap_or(DEFAULT_NEED_KB),
            read_at: Some(clock.now()),
            read_delay_s,
            time_left_s,
            estimate_s: self.estimate_ms.map(|ms| ms / 1000.0).filter(|estimate_s| *estimate_s > 0.0),
            key: self.key.filter(|_| keyed),
            retry: self.is_retry.unwrap_or(false),
            body: body.into(),
        })
    }

    /// The tenant that X-Org names; `None` if no tenants are configured.
    fn tenant(&self, catalog: &Catalog) -> Result<Option<usize>, FieldError> {
        if catalog.tenant_indices.is_empty() {
            return Ok(None);
        }
        let name = self.tenant_name.as_ref().ok_or(FieldError::Field("X-Org"))?;
        catalog.tenant(name).map(Some).ok_or(FieldError::UnknownTenant)
    }
}

/// Sets a field that is not set yet; `None` stands for a malformed value. A repeated header would be ambiguous.
fn set<T>(field: &mut Option<T>, value: Option<T>, name: &'static str) -> Result<(), FieldError> {
    if field.is_some() || value.is_none() {
        return Err(FieldError::Field(name));
    }
    *field = value;
    Ok(())
}

fn parse_correlation_id(text: &str) -> Option<Rc<str>> {
    let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
    (text.len() == CORRELATION_ID_LENGTH && is_hex).then(|| text.into())
}

fn parse_key(text: &str) -> Option<Rc<str>> {
    let is_graphic = text.bytes().all(|byte| byte.is_ascii_graphic());
    ((1..=MAX_KEY_LENGTH).contains(&text.len()) && is_graphic).then(|| text.into())
}

/// Parses a decimal number without sign or exponent, between `min` and `max`.
fn parse_number(text: &str, min: f64, max: f64) -> Option<f64> {
    let is_plain = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    text.parse().ok().filter(|n: &f64| is_plain && n.is_finite() && *n >= min && *n <= max)
}
