//! The programs of a fleet's processes.

use crate::error::TestbedError;
use std::path::{Path, PathBuf};

/// Paths of the programs, which are in one target folder.
#[derive(Clone, Debug)]
pub struct Programs {
    /// Path of the worker.
    pub worker: PathBuf,
    /// Path of the coordinator.
    pub coordinator: PathBuf,
}

impl Programs {
    /// Finds the programs in a folder.
    ///
    /// # Errors
    /// A program is missing; the error names it and how to build it.
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
