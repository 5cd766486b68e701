//! `[backend]` of an operator's file: the AJP servers that run requests instead of the executor.

use super::{Config, ConfigError};
use serde::Deserialize;
use std::collections::HashMap;
use std::net::SocketAddr;

/// AJP servers that run requests instead of the executor.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BackendSettings {
    /// The addresses of the servers.
    pub servers: Vec<SocketAddr>,
    /// The secret that the servers expect, if any.
    pub secret: Option<String>,
    /// The server name that is sent with each request.
    #[serde(default = "default_server_name")]
    pub server_name: String,
    /// The path of a request at the servers, by class; `/do/CLASS` for classes that are not listed.
    #[serde(default)]
    pub paths: HashMap<String, String>,
}

fn default_server_name() -> String {
    "localhost".to_owned()
}

impl BackendSettings {
    /// The path at the servers of requests of a class.
    #[must_use]
    pub fn path_of(&self, class: &str) -> String {
        self.paths.get(class).cloned().unwrap_or_else(|| format!("/do/{class}"))
    }

    pub(super) fn check(&self, config: &Config) -> Result<(), ConfigError> {
        if self.servers.is_empty() {
            return Err(ConfigError::NoServers);
        }
        match self.paths.keys().find(|class| !config.has_class(class)) {
            Some(class) => Err(ConfigError::UnknownName {
                key: "backend.paths".to_owned(),
                kind: "class",
                name: class.clone(),
            }),
            None => Ok(()),
        }
    }
}
