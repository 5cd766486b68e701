//! An operator's file: what is set up beside the platform, in TOML, checked against the platform's settings.

use super::fleet::FleetSettings;
use super::pools::PoolSettings;
use super::Config;
use serde::Deserialize;
use std::collections::HashMap;
use std::net::SocketAddr;

/// What an operator sets up beside the platform: all of it is off where the file does not name it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    pub ajp: Option<AjpSettings>,
    pub backend: Option<ServerSettings>,
    pub directory: Option<DirectorySettings>,
    pub pools: Option<PoolSettings>,
    pub http2: Option<Http2Settings>,
    pub fleet: Option<FleetSettings>,
}

/// The HTTP/2 front; what each bound guards against is in `docs/operators/http2.md`.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Http2Settings {
    pub listen: SocketAddr,
    /// Connections at most, and those among them that have a session and have not asked yet.
    #[serde(default = "default_connections")]
    pub connections: usize,
    #[serde(default = "default_newcomers")]
    pub newcomers: usize,
    /// Streams that a client may have open at once on a connection.
    #[serde(default = "default_streams")]
    pub streams: u32,
    /// What a client may send ahead on a stream and on a connection (KiB).
    #[serde(default = "default_stream_window_kb")]
    pub stream_window_kb: u32,
    #[serde(default = "default_connection_window_kb")]
    pub connection_window_kb: u32,
    /// Names and values of one request's headers at most (KiB).
    #[serde(default = "default_header_list_kb")]
    pub header_list_kb: u32,
    /// Of a stream's answer, what may wait in the codec (KiB).
    #[serde(default = "default_send_buffer_kb")]
    pub send_buffer_kb: u32,
    /// Answers that wait for clients' windows and sockets, in all (KiB).
    #[serde(default = "default_waiting_kb")]
    pub waiting_kb: u32,
    /// Streams reset before they were taken, and streams in error, before the connection is ended.
    #[serde(default = "default_pending_resets")]
    pub pending_resets: usize,
    #[serde(default = "default_error_resets")]
    pub error_resets: usize,
    /// How long a connection without a stream is kept (seconds).
    #[serde(default = "default_idle_s")]
    pub idle_s: f64,
    /// How often a client that rests is asked for a sign of life (seconds); 0 for never.
    #[serde(default = "default_ping_s")]
    pub ping_s: f64,
    /// What a client may send that asks for nothing: so much at once (KiB), and so much a second.
    #[serde(default = "default_overhead_kb")]
    pub overhead_kb: u32,
    #[serde(default = "default_overhead_kb_per_s")]
    pub overhead_kb_per_s: u32,
}

fn default_waiting_kb() -> u32 {
    4096
}

fn default_overhead_kb() -> u32 {
    64
}

fn default_overhead_kb_per_s() -> u32 {
    4
}

fn default_connections() -> usize {
    512
}

fn default_newcomers() -> usize {
    32
}

fn default_idle_s() -> f64 {
    30.0
}

fn default_ping_s() -> f64 {
    10.0
}

fn default_streams() -> u32 {
    100
}

fn default_stream_window_kb() -> u32 {
    4
}

fn default_connection_window_kb() -> u32 {
    64
}

fn default_header_list_kb() -> u32 {
    8
}

fn default_send_buffer_kb() -> u32 {
    8
}

fn default_pending_resets() -> usize {
    20
}

fn default_error_resets() -> usize {
    64
}

impl Http2Settings {
    fn check(&self) -> Result<(), String> {
        let within = |key: &str, value: u64, least: u64, most: u64| {
            if (least..=most).contains(&value) {
                return Ok(());
            }
            Err(format!("http2.{key} is {value}; expected {least} to {most}"))
        };
        within("connections", self.connections as u64, 1, 65_536)?;
        within("newcomers", self.newcomers as u64, 1, 65_536)?;
        within("streams", u64::from(self.streams), 1, 1000)?;
        within("stream_window_kb", u64::from(self.stream_window_kb), 2, 1024)?;
        within("connection_window_kb", u64::from(self.connection_window_kb), 64, 16 * 1024)?;
        within("header_list_kb", u64::from(self.header_list_kb), 1, 64)?;
        within("send_buffer_kb", u64::from(self.send_buffer_kb), 4, 1024)?;
        within("pending_resets", self.pending_resets as u64, 1, 10_000)?;
        within("error_resets", self.error_resets as u64, 1, 10_000)?;
        within("waiting_kb", u64::from(self.waiting_kb), 64, 1024 * 1024)?;
        within("overhead_kb", u64::from(self.overhead_kb), 16, 16 * 1024)?;
        within("overhead_kb_per_s", u64::from(self.overhead_kb_per_s), 1, 1024)?;
        let lasts = |key: &str, value: f64, least: f64| {
            if (least..=3600.0).contains(&value) {
                return Ok(());
            }
            Err(format!("http2.{key} is {value}; expected {least} to 3600"))
        };
        lasts("idle_s", self.idle_s, 1.0)?;
        lasts("ping_s", self.ping_s, 0.0)
    }
}

/// The AJP front.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AjpSettings {
    pub listen: SocketAddr,
    /// What every request must carry, if set.
    pub secret: Option<String>,
    #[serde(default, rename = "route")]
    pub routes: Vec<Route>,
    #[serde(default, rename = "tenant")]
    pub tenants: Vec<TenantRule>,
}

/// Requests for this path, and for what lies below it, are of this class.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Route {
    pub path: String,
    pub class: String,
}

/// Requests of this user, or for this server name, are this tenant's.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TenantRule {
    pub remote_user: Option<String>,
    pub server_name: Option<String>,
    pub tenant: String,
}

/// AJP servers that run requests in the executor's place.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServerSettings {
    pub servers: Vec<SocketAddr>,
    pub secret: Option<String>,
    #[serde(default = "default_server_name")]
    pub server_name: String,
    /// By class: the path at the servers, `/do/CLASS` where none is given.
    #[serde(default)]
    pub paths: HashMap<String, String>,
}

fn default_server_name() -> String {
    "localhost".to_owned()
}

/// The part of an AJP request by which the directory knows a portal.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Identity {
    RemoteUser,
    ServerName,
}

/// An LDAP directory that maps a portal's identity to a tenant.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DirectorySettings {
    pub address: SocketAddr,
    #[serde(default)]
    pub bind_dn: String,
    #[serde(default)]
    pub bind_password: String,
    pub base: String,
    pub identity: Identity,
    /// The attribute that holds the identity, and the one that holds the tenant's name.
    pub identity_attribute: String,
    pub tenant_attribute: String,
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: f64,
    #[serde(default = "default_cache_s")]
    pub cache_s: f64,
    #[serde(default = "default_cache_entries")]
    pub cache_entries: usize,
}

fn default_timeout_ms() -> f64 {
    500.0
}

fn default_cache_s() -> f64 {
    60.0
}

fn default_cache_entries() -> usize {
    1024
}

impl AjpSettings {
    /// The class of a path: that of the longest route it lies at or below.
    pub fn class_of(&self, path: &str) -> Option<&str> {
        let below = |r: &&Route| {
            path.strip_prefix(r.path.trim_end_matches('/'))
                .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
        };
        self.routes.iter().filter(below).max_by_key(|r| r.path.len()).map(|r| r.class.as_str())
    }

    /// The tenant of the first rule of which all that it names fits.
    pub fn tenant_of(&self, user: Option<&str>, server: &str) -> Option<&str> {
        let fits = |r: &&TenantRule| {
            r.remote_user.as_ref().map_or(true, |u| Some(u.as_str()) == user)
                && r.server_name.as_ref().map_or(true, |s| s.eq_ignore_ascii_case(server))
        };
        self.tenants.iter().find(fits).map(|r| r.tenant.as_str())
    }
}

impl ServerSettings {
    pub fn uri_of(&self, class: &str) -> String {
        self.paths.get(class).cloned().unwrap_or_else(|| format!("/do/{class}"))
    }
}

impl Operator {
    /// Decodes and checks against the platform's settings; an error is one line that names what is wrong.
    pub fn decode(text: &str, config: &Config) -> Result<Operator, String> {
        let operator: Operator = toml::from_str(text).map_err(|e| located(text, &e))?;
        let class = |name: &str| config.settings.profiles.iter().any(|p| p.name == name);
        let tenant = |name: &str| config.settings.tenants.iter().any(|t| t.name == name);
        if let Some(ajp) = &operator.ajp {
            if ajp.routes.is_empty() {
                return Err("ajp: no [[ajp.route]] maps a path to a class".to_owned());
            }
            if let Some(r) = ajp.routes.iter().find(|r| !class(&r.class)) {
                return Err(format!("ajp.route {}: there is no class {:?}", r.path, r.class));
            }
            if let Some(r) = ajp.routes.iter().find(|r| !r.path.starts_with('/')) {
                return Err(format!("ajp.route {:?}: a path begins with /", r.path));
            }
            if let Some(r) = ajp.tenants.iter().find(|r| !tenant(&r.tenant)) {
                return Err(format!("ajp.tenant: there is no tenant {:?}", r.tenant));
            }
            if ajp.tenants.iter().any(|r| r.remote_user.is_none() && r.server_name.is_none()) {
                return Err("ajp.tenant: a rule needs remote_user or server_name".to_owned());
            }
            if ajp.secret.as_ref().is_some_and(String::is_empty) {
                return Err("ajp.secret is empty; leave it out to take requests without one".to_owned());
            }
        }
        if let Some(backend) = &operator.backend {
            if backend.servers.is_empty() {
                return Err("backend.servers names no server".to_owned());
            }
            if let Some(name) = backend.paths.keys().find(|n| !class(n)) {
                return Err(format!("backend.paths: there is no class {name:?}"));
            }
        }
        if let Some(d) = &operator.directory {
            let positive = |n: f64| n.is_finite() && n > 0.0;
            if !(positive(d.timeout_ms) && d.cache_s.is_finite() && d.cache_s >= 0.0) {
                return Err("directory: timeout_ms must be above 0 and cache_s not below".to_owned());
            }
            if d.identity_attribute.is_empty() || d.tenant_attribute.is_empty() {
                return Err("directory: an attribute's name is empty".to_owned());
            }
        }
        if let Some(http2) = &operator.http2 {
            http2.check()?;
        }
        if let Some(fleet) = &operator.fleet {
            fleet.check()?;
        }
        if let Some(pools) = &operator.pools {
            pools.plan(&config.settings)?;
        }
        Ok(operator)
    }

    /// The blocks in which this file differs from `other` and which a running worker can't take up.
    pub fn fixed_changes(&self, other: &Operator) -> Vec<&'static str> {
        let differs = [
            ("[ajp]", self.ajp != other.ajp),
            ("[backend]", self.backend != other.backend),
            ("[directory]", self.directory != other.directory),
            ("[http2]", self.http2 != other.http2),
            ("[fleet]", self.fleet != other.fleet),
        ];
        differs.into_iter().filter_map(|(name, differs)| differs.then_some(name)).collect()
    }
}

/// One line for a file that can't be read as TOML or has what is unknown in it: where, what, and what was expected.
fn located(text: &str, error: &toml::de::Error) -> String {
    let at = error.span().map_or(0, |span| span.start.min(text.len()));
    let line = text.as_bytes()[..at].iter().filter(|b| **b == b'\n').count() + 1;
    format!("line {line}: {}", error.message().replace('\n', " "))
}

#[cfg(test)]
mod tests;
