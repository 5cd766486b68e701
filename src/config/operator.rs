//! The operator's file: a TOML file that configures subsystems in addition to those of the platform.

use super::fleet::FleetSettings;
use super::pools::PoolSettings;
use super::{AjpSettings, BackendSettings, Config, ConfigError, DirectorySettings, Http2Settings};
use serde::Deserialize;

/// The operator's file. A subsystem without a block is disabled.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// The AJP frontend.
    pub ajp: Option<AjpSettings>,
    /// AJP servers that run requests instead of the executor.
    pub backend: Option<BackendSettings>,
    /// The LDAP directory that maps portals to tenants.
    pub directory: Option<DirectorySettings>,
    /// Class pools.
    pub pools: Option<PoolSettings>,
    /// The HTTP/2 frontend.
    pub http2: Option<Http2Settings>,
    /// Membership of a fleet.
    pub fleet: Option<FleetSettings>,
}

impl OperatorSettings {
    /// Decodes the file and checks it against the worker's configuration.
    ///
    /// # Errors
    /// The text is not TOML, a block or key is unknown, or a value is invalid.
    pub fn decode(text: &str, config: &Config) -> Result<OperatorSettings, ConfigError> {
        let operator: OperatorSettings = toml::from_str(text).map_err(|error| toml_error(text, &error))?;
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

    /// Returns the blocks that differ from `other` and take effect only with a restart.
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

/// Converts an error of the parser, and finds its line.
fn toml_error(text: &str, error: &toml::de::Error) -> ConfigError {
    let offset = error.span().map_or(0, |span| span.start.min(text.len()));
    let line = text.as_bytes()[..offset].split(|byte| *byte == b'\n').count();
    ConfigError::Toml { line, message: error.message().replace('\n', " ") }
}

#[cfg(test)]
mod tests;
