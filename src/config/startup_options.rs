//! The startup options of a worker, and reading of the files that they name.

use super::{Config, ConfigError, OperatorSettings};
use std::io::Read;

/// The longest part of a configuration or operator's file that is read (bytes); the rest is ignored.
const MAX_FILE_BYTES: u64 = 4 * 1024 * 1024;

/// The options given by the environment and the command line.
#[derive(Clone, Debug, Default)]
pub struct StartupOptions {
    /// The path of the configuration.
    pub config: String,
    /// The path of the operator's file.
    pub operator: Option<String>,
    /// The address of the console; overrides that in the configuration.
    pub console: Option<String>,
    /// The descriptor of the inherited listening socket.
    pub socket: Option<String>,
    /// The directory that this process shares with its predecessor and its successor.
    pub folder: Option<String>,
}

impl StartupOptions {
    /// Reads and checks the configuration.
    ///
    /// # Errors
    /// The file can't be read or is invalid, or the console address is malformed.
    pub fn config(&self) -> Result<Config, ConfigError> {
        let text = read(&self.config)?;
        let mut config = Config::decode(&text).map_err(|error| error.in_file(&self.config))?;
        if let Some(text) = &self.console {
            let address = text.parse().map_err(|_| ConfigError::ConsoleAddress { found: text.clone() })?;
            config.overridden_console = config.console.filter(|configured| *configured != address);
            config.console = Some(address);
        }
        Ok(config)
    }

    /// Reads the operator's file and checks it against the configuration. If no file is given, every block is absent.
    ///
    /// # Errors
    /// The file can't be read or is invalid.
    pub fn operator(&self, config: &Config) -> Result<OperatorSettings, ConfigError> {
        let Some(path) = &self.operator else { return Ok(OperatorSettings::default()) };
        OperatorSettings::decode(&read(path)?, config).map_err(|error| error.in_file(path))
    }
}

fn read(path: &str) -> Result<String, ConfigError> {
    let unreadable = |source| ConfigError::Unreadable { path: path.to_owned(), source };
    let mut text = String::new();
    let file = std::fs::File::open(path).map_err(unreadable)?;
    file.take(MAX_FILE_BYTES).read_to_string(&mut text).map_err(unreadable)?;
    Ok(text)
}
