//! Checks that the programs of two builds work together: the settings files of the repository, a hot restart from one build
//! to the other under load, and a fleet that is upgraded process by process on the data that the old build wrote.

mod fleet_upgrade;
mod fleetctl;
mod hot_restart;
mod settings;

use super::rig::Programs;
use crate::error::TestbedError;
use std::fmt;
use std::path::{Path, PathBuf};

/// The programs of one build.
#[derive(Clone, Debug)]
pub struct Build {
    /// Name of the build in the results.
    pub name: &'static str,
    programs: Programs,
    fleetctl: PathBuf,
}

impl Build {
    /// Finds the programs of a build in its folder.
    ///
    /// # Errors
    /// [`TestbedError::NotBuilt`] if the folder lacks one of the programs.
    pub fn find(name: &'static str, folder: &Path) -> Result<Build, TestbedError> {
        let programs = Programs::in_folder(folder)?;
        let fleetctl = folder.join("fleetctl");
        if !fleetctl.exists() {
            return Err(TestbedError::NotBuilt { program: fleetctl });
        }
        Ok(Build { name, programs, fleetctl })
    }
}

/// Result of one check.
#[derive(Clone, Debug)]
pub struct CheckResult {
    /// What was checked.
    pub subject: String,
    /// Whether both builds behaved as expected.
    pub passed: bool,
    /// What was observed.
    pub observed: String,
}

impl fmt::Display for CheckResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let status = if self.passed { "passed" } else { "FAILED" };
        write!(f, "{status}  {}: {}", self.subject, self.observed)
    }
}

/// Runs all checks. `deploy` is the folder with the settings files; `folder` is emptied and then holds the files of the
/// processes.
///
/// # Errors
/// A process does not start, or a fault can't be carried out. A failed check is a result, not an error.
pub fn check_all(
    old: &Build,
    new: &Build,
    deploy: &Path,
    folder: &Path,
) -> Result<Vec<CheckResult>, TestbedError> {
    if folder.exists() {
        std::fs::remove_dir_all(folder).map_err(TestbedError::file(folder))?;
    }
    std::fs::create_dir_all(folder).map_err(TestbedError::file(folder))?;
    let mut results = settings::check(old, new, deploy, &folder.join("settings"))?;
    results.extend(hot_restart::check(old, new, &folder.join("hot-restart-to-new"))?);
    results.extend(hot_restart::check(new, old, &folder.join("hot-restart-to-old"))?);
    results.extend(fleet_upgrade::check(old, new, &folder.join("fleet"))?);
    Ok(results)
}

#[cfg(test)]
mod tests;
