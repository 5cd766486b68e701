//! `[directory]` of an operator's file: the LDAP directory that maps portals to tenants.

use super::ConfigError;
use serde::Deserialize;
use std::net::SocketAddr;

/// The part of an AJP request that identifies a portal in the directory.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Identity {
    /// The authenticated user.
    RemoteUser,
    /// The server name.
    ServerName,
}

/// An LDAP directory that maps a portal's identity to a tenant.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DirectorySettings {
    /// The address of the directory.
    pub address: SocketAddr,
    /// The DN to bind as; empty for an anonymous bind.
    #[serde(default)]
    pub bind_dn: String,
    /// The password to bind with.
    #[serde(default)]
    pub bind_password: String,
    /// The base DN of the search for portals.
    pub base: String,
    /// The part of a request that identifies the portal.
    pub identity: Identity,
    /// The attribute that holds the identity.
    pub identity_attribute: String,
    /// The attribute that holds the tenant's name.
    pub tenant_attribute: String,
    /// Timeout of a search (milliseconds).
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: f64,
    /// How long a result is cached (seconds).
    #[serde(default = "default_cache_s")]
    pub cache_s: f64,
    /// Largest number of cached results.
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

impl DirectorySettings {
    pub(super) fn check(&self) -> Result<(), ConfigError> {
        let timeout_usable = self.timeout_ms.is_finite() && self.timeout_ms > 0.0;
        let cache_usable = self.cache_s.is_finite() && self.cache_s >= 0.0;
        if !(timeout_usable && cache_usable) {
            return Err(ConfigError::DirectoryTimes { timeout_ms: self.timeout_ms, cache_s: self.cache_s });
        }
        if self.identity_attribute.is_empty() || self.tenant_attribute.is_empty() {
            return Err(ConfigError::EmptyAttribute {
                identity: self.identity_attribute.clone(),
                tenant: self.tenant_attribute.clone(),
            });
        }
        Ok(())
    }
}
