//! An operator's file: what is set up beside the platform, in TOML, checked against the platform's settings.

use super::fleet::FleetSettings;
use super::pools::PoolSettings;
use super::{AjpSettings, Config, ConfigError, DirectorySettings, Http2Settings, ServerSettings};
use serde::Deserialize;

/// What an operator sets up beside the platform. A block that the file does not have is off.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The AJP frontend.
    pub ajp: Option<AjpSettings>,
    /// AJP servers that run requests.
    pub backend: Option<ServerSettings>,
    /// The LDAP directory of tenants.
    pub directory: Option<DirectorySettings>,
    /// Class pools.
    pub pools: Option<PoolSettings>,
    /// The HTTP/2 frontend.
    pub http2: Option<Http2Settings>,
    /// Membership of a fleet.
    pub fleet: Option<FleetSettings>,
}

impl Operator {
    /// Decodes and checks against the platform's settings.
    ///
    /// # Errors
    /// Text that is not TOML, unknown blocks and keys, and values that can't be used.
    pub fn decode(text: &str, config: &Config) -> Result<Operator, ConfigError> {
        let operator: Operator = toml::from_str(text).map_err(|fault| located(text, &fault))?;
        operator.check(config)?;
        Ok(operator)
    }

    fn check(&self, config: &Config) -> Result<(), ConfigError> {
        if let Some(ajp) = &self.ajp {
            ajp.check(config)?;
        }
        if let Some(backend) = &self.backend {
            backend.check(config)?;
        }
        if let Some(directory) = &self.directory {
            directory.check()?;
        }
        if let Some(http2) = &self.http2 {
            http2.check()?;
        }
        if let Some(fleet) = &self.fleet {
            fleet.check()?;
        }
        if let Some(pools) = &self.pools {
            pools.plan(&config.settings)?;
        }
        Ok(())
    }

    /// The blocks in which this file differs from `other` and which a running worker can't apply.
    #[must_use]
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

/// A parser's fault with the line that it is in.
fn located(text: &str, fault: &toml::de::Error) -> ConfigError {
    let at = fault.span().map_or(0, |span| span.start.min(text.len()));
    let line = text.as_bytes()[..at].iter().filter(|byte| **byte == b'\n').count() + 1;
    ConfigError::Toml { line, message: fault.message().replace('\n', " ") }
}

#[cfg(test)]
mod tests;
