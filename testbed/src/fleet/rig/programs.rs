//! The programs that a fleet is made of.

use crate::error::TestbedError;
use std::path::{Path, PathBuf};

/// Where the programs are; they lie side by side in a target folder.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The worker.
    pub worker: PathBuf,
    /// The coordinator.
    pub coordinator: PathBuf,
}

impl Programs {
    /// Those of one folder.
    ///
    /// # Errors
    /// Which of them is not there, and how to make it.
    pub fn in_folder(folder: &Path) -> Result<Programs, TestbedError> {
        let programs =
            Programs { worker: folder.join("port-worker"), coordinator: folder.join("fleet-coordinator") };
        for program in [&programs.worker, &programs.coordinator] {
            if !program.exists() {
                return Err(TestbedError::NotBuilt { program: program.clone() });
            }
        }
        Ok(programs)
    }
}
