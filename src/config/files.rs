//! The files and addresses that a worker's environment names, from which its configuration is read.

use super::{Config, ConfigError, OperatorSettings};
use std::io::Read;

/// The longest configuration or operator's file that is read (bytes).
const MAX_FILE_BYTES: u64 = 4 * 1024 * 1024;

/// The files and addresses named by the environment and the command line.
#[derive(Clone, Debug, Default)]
pub struct StartupOptions {
    /// The path of the configuration.
    pub config: String,
    /// The path of the operator's file.
    pub operator: Option<String>,
    /// The console's address; it takes precedence over the configuration's.
    pub console: Option<String>,
    /// The number of the listening socket that this process inherits.
    pub socket: Option<String>,
    /// The folder that this process shares with its predecessor.
    pub folder: Option<String>,
}

impl StartupOptions {
    /// Reads and checks the configuration.
    ///
    /// # Errors
    /// A file that can't be read or used, or a console address that is none.
    pub fn config(&self) -> Result<Config, ConfigError> {
        let text = read(&self.config)?;
        let mut config = Config::decode(&text).map_err(|fault| fault.in_file(&self.config))?;
        if let Some(text) = &self.console {
            let address = text.parse().map_err(|_| ConfigError::ConsoleAddress { found: text.clone() })?;
            config.overridden_console = config.console.filter(|configured| *configured != address);
            config.console = Some(address);
        }
        Ok(config)
    }

    /// Reads the operator's file and checks it against the configuration. Without a file every block is absent.
    ///
    /// # Errors
    /// A file that can't be read or used.
    pub fn operator(&self, config: &Config) -> Result<OperatorSettings, ConfigError> {
        let Some(path) = &self.operator else { return Ok(OperatorSettings::default()) };
        OperatorSettings::decode(&read(path)?, config).map_err(|fault| fault.in_file(path))
    }
}

fn read(path: &str) -> Result<String, ConfigError> {
    let unreadable = |source| ConfigError::Unreadable { path: path.to_owned(), source };
    let mut text = String::new();
    let file = std::fs::File::open(path).map_err(unreadable)?;
    file.take(MAX_FILE_BYTES).read_to_string(&mut text).map_err(unreadable)?;
    Ok(text)
}
