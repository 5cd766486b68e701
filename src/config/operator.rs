//! The operator's file: subsystems beside the platform, in TOML, checked against the platform's settings.

use super::fleet::FleetSettings;
use super::pools::PoolSettings;
use super::{AjpSettings, BackendSettings, Config, ConfigError, DirectorySettings, Http2Settings};
use serde::Deserialize;

/// The operator's file. A subsystem whose block is absent is off.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// The AJP frontend.
    pub ajp: Option<AjpSettings>,
    /// AJP servers that run requests.
    pub backend: Option<BackendSettings>,
    /// The LDAP directory of tenants.
    pub directory: Option<DirectorySettings>,
    /// Class pools.
    pub pools: Option<PoolSettings>,
    /// The HTTP/2 frontend.
    pub http2: Option<Http2Settings>,
    /// Membership of a fleet.
    pub fleet: Option<FleetSettings>,
}

impl OperatorSettings {
    /// Decodes the file and checks it against the platform's settings.
    ///
    /// # Errors
    /// Text that is not TOML, unknown blocks and keys, and values that can't be used.
    pub fn decode(text: &str, config: &Config) -> Result<OperatorSettings, ConfigError> {
        let operator: OperatorSettings = toml::from_str(text).map_err(|fault| located(text, &fault))?;
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

    /// The blocks that differ from `other` and that a running worker can't apply.
    #[must_use]
    pub fn changes_requiring_restart(&self, other: &OperatorSettings) -> Vec<&'static str> {
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

/// The error for a parser's fault, with its line.
fn located(text: &str, fault: &toml::de::Error) -> ConfigError {
    let at = fault.span().map_or(0, |span| span.start.min(text.len()));
    let line = text.as_bytes()[..at].split(|byte| *byte == b'\n').count();
    ConfigError::Toml { line, message: fault.message().replace('\n', " ") }
}

#[cfg(test)]
mod tests;
