//! `[ajp]` of an operator's file: the AJP frontend.

use super::{Config, ConfigError};
use serde::Deserialize;
use std::net::SocketAddr;

/// The AJP frontend.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AjpSettings {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The secret that every request must carry, if any.
    pub secret: Option<String>,
    /// The mapping of paths to classes.
    #[serde(default, rename = "route")]
    pub routes: Vec<Route>,
    /// The mapping of requests to tenants.
    #[serde(default, rename = "tenant")]
    pub tenants: Vec<TenantRule>,
}

/// Assigns requests for a path and its subpaths to a class.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The path, beginning with a slash.
    pub path: String,
    /// The name of the class in the settings.
    pub class: String,
}

/// Assigns requests of a user or for a server name to a tenant. If both are given, both must match.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TenantRule {
    /// The authenticated user.
    pub remote_user: Option<String>,
    /// The server name, case-insensitive.
    pub server_name: Option<String>,
    /// The name of the tenant in the settings.
    pub tenant: String,
}

impl AjpSettings {
    /// The class of a path: that of the longest route that is the path or a parent of it.
    #[must_use]
    pub fn class_of(&self, path: &str) -> Option<&str> {
        let covers_path = |route: &&Route| {
            path.strip_prefix(route.path.trim_end_matches('/'))
                .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
        };
        self.routes
            .iter()
            .filter(covers_path)
            .max_by_key(|route| route.path.len())
            .map(|route| route.class.as_str())
    }

    /// The tenant of the first rule that matches.
    #[must_use]
    pub fn tenant_of(&self, user: Option<&str>, server: &str) -> Option<&str> {
        let matches = |rule: &&TenantRule| {
            let user_matches = rule.remote_user.as_ref().is_none_or(|name| Some(name.as_str()) == user);
            let server_matches =
                rule.server_name.as_ref().is_none_or(|name| name.eq_ignore_ascii_case(server));
            user_matches && server_matches
        };
        self.tenants.iter().find(matches).map(|rule| rule.tenant.as_str())
    }

    pub(super) fn check(&self, config: &Config) -> Result<(), ConfigError> {
        if self.routes.is_empty() {
            return Err(ConfigError::NoRoutes);
        }
        if let Some(route) = self.routes.iter().find(|route| !config.has_class(&route.class)) {
            return Err(ConfigError::UnknownName {
                key: format!("ajp.route {}", route.path),
                kind: "class",
                name: route.class.clone(),
            });
        }
        if let Some(route) = self.routes.iter().find(|route| !route.path.starts_with('/')) {
            return Err(ConfigError::RelativePath { path: route.path.clone() });
        }
        self.check_tenants(config)?;
        if self.secret.as_ref().is_some_and(String::is_empty) {
            return Err(ConfigError::EmptySecret);
        }
        Ok(())
    }

    fn check_tenants(&self, config: &Config) -> Result<(), ConfigError> {
        if let Some(rule) = self.tenants.iter().find(|rule| !config.has_tenant(&rule.tenant)) {
            return Err(ConfigError::UnknownName {
                key: "ajp.tenant".to_owned(),
                kind: "tenant",
                name: rule.tenant.clone(),
            });
        }
        if self.tenants.iter().any(|rule| rule.remote_user.is_none() && rule.server_name.is_none()) {
            return Err(ConfigError::EmptyTenantRule);
        }
        Ok(())
    }
}
