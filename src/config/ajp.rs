//! `[ajp]` of an operator's file: the AJP frontend.

use super::{Config, ConfigError};
use serde::Deserialize;
use std::net::SocketAddr;

/// The AJP frontend.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AjpSettings {
    /// The address on which it listens.
    pub listen: SocketAddr,
    /// The secret that every request must carry, if set.
    pub secret: Option<String>,
    /// Which paths belong to which class.
    #[serde(default, rename = "route")]
    pub routes: Vec<Route>,
    /// Which requests belong to which tenant.
    #[serde(default, rename = "tenant")]
    pub tenants: Vec<TenantRule>,
}

/// Requests for this path, and for what lies below it, are of this class.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The path; it begins with a slash.
    pub path: String,
    /// The class by its name in the settings.
    pub class: String,
}

/// Requests of this user, or for this server name, are this tenant's.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TenantRule {
    /// The authenticated user.
    pub remote_user: Option<String>,
    /// The server name, compared without regard to case.
    pub server_name: Option<String>,
    /// The tenant by its name in the settings.
    pub tenant: String,
}

impl AjpSettings {
    /// The class of a path: that of the longest route that it equals or lies below.
    #[must_use]
    pub fn class_of(&self, path: &str) -> Option<&str> {
        let below = |route: &&Route| {
            path.strip_prefix(route.path.trim_end_matches('/'))
                .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
        };
        self.routes
            .iter()
            .filter(below)
            .max_by_key(|route| route.path.len())
            .map(|route| route.class.as_str())
    }

    /// The tenant of the first rule whose conditions all hold.
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
