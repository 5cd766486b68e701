//! HTTP/1.1 requests as routers send them.

use crate::unix_ms;
use std::sync::atomic::{AtomicU64, Ordering};

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns an identifier that is unique within this test process.
#[must_use]
pub fn unique_request_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

/// Builds a request to the HTTP/1.1 frontend.
#[derive(Clone, Debug)]
pub struct RequestBuilder<'a> {
    id: Option<&'a str>,
    class: &'a str,
    tenant: &'a str,
    key: Option<&'a str>,
    body: &'a str,
    deadline_ms: u64,
    arrived_ms: u64,
    extra_headers: &'a str,
}

impl<'a> RequestBuilder<'a> {
    /// Creates a request of this class without an idempotency key; its time of arrival is now. Unless
    /// [`RequestBuilder::id`] is called, every call of [`RequestBuilder::text`] uses a new identifier.
    #[must_use]
    pub fn new(class: &'a str) -> RequestBuilder<'a> {
        RequestBuilder {
            id: None,
            class,
            tenant: "acme",
            key: None,
            body: "hello",
            deadline_ms: 8000,
            arrived_ms: unix_ms(),
            extra_headers: "",
        }
    }

    /// Sets the request identifier.
    #[must_use]
    pub fn id(self, id: &'a str) -> RequestBuilder<'a> {
        RequestBuilder { id: Some(id), ..self }
    }

    /// Sets the tenant; by default it is that of the default settings.
    #[must_use]
    pub fn tenant(self, tenant: &'a str) -> RequestBuilder<'a> {
        RequestBuilder { tenant, ..self }
    }

    /// Sets the idempotency key.
    #[must_use]
    pub fn key(self, key: &'a str) -> RequestBuilder<'a> {
        RequestBuilder { key: Some(key), ..self }
    }

    /// Sets the body.
    #[must_use]
    pub fn body(self, body: &'a str) -> RequestBuilder<'a> {
        RequestBuilder { body, ..self }
    }

    /// Sets the time from arrival to the deadline (milliseconds).
    #[must_use]
    pub fn deadline_ms(self, deadline_ms: u64) -> RequestBuilder<'a> {
        RequestBuilder { deadline_ms, ..self }
    }

    /// Sets the time of arrival at the router (milliseconds since 1970).
    #[must_use]
    pub fn arrived_ms(self, arrived_ms: u64) -> RequestBuilder<'a> {
        RequestBuilder { arrived_ms, ..self }
    }

    /// Sets additional header lines, each with its line end.
    #[must_use]
    pub fn extra_headers(self, extra_headers: &'a str) -> RequestBuilder<'a> {
        RequestBuilder { extra_headers, ..self }
    }

    /// Marks the request as a retry. The header line for this replaces those of [`RequestBuilder::extra_headers`].
    #[must_use]
    pub fn retry(self) -> RequestBuilder<'a> {
        self.extra_headers("X-Resent: 1\r\n")
    }

    /// Returns the complete request message.
    #[must_use]
    pub fn text(&self) -> String {
        let key = self.key.map_or(String::new(), |k| format!("X-Operation-Key: {k}\r\n"));
        let id = self.id.map_or_else(unique_request_id, str::to_owned);
        format!(
            "POST /do/{} HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: {id}\r\nX-Arrived-Ms: {}\r\n\
             X-Upstream-Peer: 4\r\nX-Org: {}\r\nX-Deadline-Ms: {}\r\nX-Estimate-Ms: 12.50\r\nX-Need-Kb: 24.5\r\n\
             X-Criticality: 0.6250\r\n{key}{}Content-Length: {}\r\n\r\n{}",
            self.class,
            self.arrived_ms,
            self.tenant,
            self.deadline_ms,
            self.extra_headers,
            self.body.len(),
            self.body
        )
    }
}
