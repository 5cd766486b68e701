//! Validation of a request's head, before its body has arrived.

use crate::config::{AjpSettings, Identity};
use crate::dispatch::Principal;
use crate::interface::Idempotency;
use crate::net::frontends::request_fields::{FieldError, RequestFields, TenantSource, MAX_BODY_BYTES};
use crate::net::upstreams::ajp_codec::Forward;
use crate::net::FrontendContext;
use std::rc::Rc;

/// A request whose head has been received.
pub(super) struct PendingRequest {
    pub(super) class: usize,
    pub(super) tenant: TenantSource,
    /// The sender, if the tenant is derived from it rather than named by X-Org.
    pub(super) principal: Option<Principal>,
    /// The identity to look up in the directory.
    pub(super) identity: Option<String>,
    pub(super) fields: RequestFields,
    /// The length of the body, if the head states it.
    pub(super) content_length: Option<usize>,
    /// The part of the body received so far.
    pub(super) body: Vec<u8>,
}

/// The status and reason phrase of a request that the frontend rejects without the dispatcher.
#[derive(Clone, Copy)]
pub(super) struct Rejection {
    pub(super) code: u16,
    pub(super) reason: &'static str,
}

impl Rejection {
    pub(super) fn new(code: u16, reason: &'static str) -> Rejection {
        Rejection { code, reason }
    }
}

impl From<FieldError> for Rejection {
    fn from(error: FieldError) -> Rejection {
        match error {
            FieldError::UnknownTenant => Rejection::new(403, "unknown tenant"),
            FieldError::Field(name) => Rejection::new(400, name),
        }
    }
}

/// The parsed headers of a request.
struct Headers {
    fields: RequestFields,
    /// The length of the body; `None` if it is chunked.
    content_length: Option<usize>,
}

/// Validates the head of a request and builds the pending request.
pub(super) fn check_head(
    settings: &AjpSettings,
    identity_source: Option<Identity>,
    forward: &Forward,
    context: &FrontendContext,
    unix_ms: f64,
) -> Result<PendingRequest, Rejection> {
    let received = forward.secret.unwrap_or(b"");
    if settings.secret.as_ref().is_some_and(|secret| !secrets_equal(secret.as_bytes(), received)) {
        return Err(Rejection::new(403, "the secret is wrong"));
    }
    let Headers { mut fields, content_length } = read_headers(forward)?;
    let class = check_class(settings, forward, context)?;
    if content_length.is_some_and(|length| length > MAX_BODY_BYTES) {
        return Err(Rejection::new(413, "the body is too long"));
    }
    // Without a key, nothing would prevent the request from running twice.
    if fields.key.is_none() && context.catalog.idempotency(class) == Idempotency::Keyed {
        return Err(Rejection::new(400, "X-Operation-Key"));
    }
    let mut identity = None;
    let mut tenant = TenantSource::Header;
    let mut principal = None;
    if let Some(source) = identity_source {
        let name = directory_identity(source, forward)?;
        tenant = TenantSource::Undetermined;
        principal = Some(directory_principal(source, name));
        identity = Some(name.to_owned());
    } else if !settings.tenants.is_empty() {
        let name = settings.tenant_of(forward.remote_user, forward.server_name);
        let known = name.and_then(|name| context.catalog.tenant(name));
        tenant = TenantSource::Frontend(known.ok_or(Rejection::new(403, "unknown tenant"))?);
        principal = Some(rule_principal(forward));
    }
    fields.set_default_arrival(unix_ms);
    Ok(PendingRequest { class, tenant, principal, identity, fields, content_length, body: Vec::new() })
}

fn read_headers(forward: &Forward) -> Result<Headers, Rejection> {
    let mut content_length = None;
    let mut is_chunked = false;
    let mut fields = RequestFields::default();
    for (name, value) in &forward.headers {
        if name.eq_ignore_ascii_case("content-length") {
            let length = parse_content_length(value);
            if content_length.is_some() || length.is_none() {
                return Err(Rejection::new(400, "Content-Length is ambiguous"));
            }
            content_length = length;
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            is_chunked = true;
        } else {
            fields.record(name, value)?;
        }
    }
    if is_chunked && content_length.is_some() {
        return Err(Rejection::new(400, "the length of the body is ambiguous"));
    }
    let content_length = if is_chunked { None } else { Some(content_length.unwrap_or(0)) };
    Ok(Headers { fields, content_length })
}

/// Parses a Content-Length. Accepts digits only, as the HTTP frontend does: an intermediary may interpret a sign
/// differently.
fn parse_content_length(value: &[u8]) -> Option<usize> {
    let text = std::str::from_utf8(value).map_or("", str::trim);
    let only_digits = text.bytes().all(|byte| byte.is_ascii_digit());
    text.parse::<usize>().ok().filter(|_| only_digits)
}

/// The class that the path selects, if its requests may use the method: POST, or GET if the class is idempotent.
fn check_class(
    settings: &AjpSettings,
    forward: &Forward,
    context: &FrontendContext,
) -> Result<usize, Rejection> {
    let path = forward.uri.split(['?', ';']).next().unwrap_or("");
    let class = settings.class_of(path).and_then(|name| context.catalog.class(name));
    let class = class.ok_or(Rejection::new(404, "no such class"))?;
    let is_idempotent = context.catalog.idempotency(class) == Idempotency::Idempotent;
    if forward.method == "POST" || is_idempotent && forward.method == "GET" {
        Ok(class)
    } else {
        Err(Rejection::new(405, "the method is not taken here"))
    }
}

/// The identity under which the directory lists the tenant.
fn directory_identity<'a>(source: Identity, forward: &Forward<'a>) -> Result<&'a str, Rejection> {
    let identity = match source {
        Identity::RemoteUser => forward.remote_user.unwrap_or(""),
        Identity::ServerName => forward.server_name,
    };
    if identity.is_empty() {
        return Err(Rejection::new(403, "unknown tenant"));
    }
    Ok(identity)
}

/// The sender of a request whose tenant the directory lists under this identity.
fn directory_principal(source: Identity, identity: &str) -> Principal {
    match source {
        Identity::RemoteUser => Principal { remote_user: Some(identity.into()), server_name: None },
        Identity::ServerName => {
            Principal { remote_user: None, server_name: Some(identity.to_ascii_lowercase().into()) }
        }
    }
}

/// The sender of a request whose tenant the operator's rules determine. They may use both its user and its server name.
fn rule_principal(forward: &Forward) -> Principal {
    Principal {
        remote_user: forward.remote_user.map(Rc::from),
        server_name: Some(forward.server_name.to_ascii_lowercase().into()),
    }
}

/// Compares two secrets in a time that doesn't depend on where they differ.
fn secrets_equal(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |difference, (x, y)| difference | (x ^ y)) == 0
}
