//! A disk in memory that distinguishes what was written from what has been synced, and that can lose power.
//!
//! The model: a file's bytes are persisted by a sync of the file, names by a sync of the folder. What was not synced may
//! survive a loss of power or not, each part by itself: any prefix of an unsynced tail, with a part of it never written,
//! and any of the unsynced names. A seeded source chooses, so that a run can be repeated.

use crate::Disk;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The system's number for "no space left on the device".
const NO_SPACE: i32 = 28;
/// What [`SimulatedDisk::corrupt_byte`] flips.
const CORRUPTION_MASK: u8 = 0x55;
/// One in so many surviving tails has a part that was never written.
const GARBLED_ONE_IN: usize = 3;

#[derive(Clone, Debug, Default)]
struct FileState {
    bytes: Vec<u8>,
    /// How many of the bytes have been synced.
    synced: usize,
}

impl FileState {
    /// Keeps a part of what was not synced.
    fn lose_power(&mut self, random: &mut impl RandomSource) {
        let tail = self.bytes.len() - self.synced;
        if tail > 0 {
            let surviving = random.below(tail + 1);
            self.bytes.truncate(self.synced + surviving);
            if surviving > 0 && random.below(GARBLED_ONE_IN) == 0 {
                let from = self.synced + random.below(surviving);
                let to = from + 1 + random.below(self.bytes.len() - from);
                self.bytes[from..to].fill(0);
            }
        }
        self.synced = self.bytes.len();
    }
}

#[derive(Clone, Debug, Default)]
struct DiskState {
    files: Vec<FileState>,
    /// Names as the system has them.
    names: BTreeMap<String, usize>,
    /// Names as of the folder's last sync.
    synced_names: BTreeMap<String, usize>,
    calls: u64,
    /// Calls from this number on fail.
    fail_at: Option<u64>,
    /// Every call that writes fails.
    full: bool,
}

impl DiskState {
    /// The names after a loss of power: each that was not synced survives or not.
    fn surviving_names(&self, random: &mut impl RandomSource) -> BTreeMap<String, usize> {
        let mut surviving = self.synced_names.clone();
        for name in self.names.keys().chain(self.synced_names.keys()) {
            let current = self.names.get(name).copied();
            let synced = self.synced_names.get(name).copied();
            if current != synced && random.below(2) == 1 {
                match current {
                    Some(file) => surviving.insert(name.clone(), file),
                    None => surviving.remove(name),
                };
            }
        }
        surviving
    }
}

/// What a call does with the disk.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Access {
    Read,
    Write,
}

/// Chooses what survives a loss of power.
pub trait RandomSource {
    /// A number below `bound`.
    fn below(&mut self, bound: usize) -> usize;
}

impl<F: FnMut(usize) -> usize> RandomSource for F {
    fn below(&mut self, bound: usize) -> usize {
        self(bound)
    }
}

/// A handle on the disk; clones share it, as a process and its successor do.
#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk(Arc<Mutex<DiskState>>);

impl SimulatedDisk {
    /// An empty disk.
    #[must_use]
    pub fn new() -> SimulatedDisk {
        SimulatedDisk::default()
    }

    fn state(&self) -> MutexGuard<'_, DiskState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The number of calls so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    /// Lets the call with this number fail, and all after it, as if the process had ended. A failing append writes a part
    /// of its bytes, as on a disk that fills up.
    pub fn fail_at(&self, call: Option<u64>) {
        self.state().fail_at = call;
    }

    /// Lets every call that writes fail while `full` is set.
    pub fn set_full(&self, full: bool) {
        self.state().full = full;
    }

    /// A separate disk with everything that the system has, as a backup would have it.
    #[must_use]
    pub fn copy(&self) -> SimulatedDisk {
        SimulatedDisk(Arc::new(Mutex::new(self.state().clone())))
    }

    /// Flips bits of one byte of a file.
    pub fn corrupt_byte(&self, name: &str, at: usize) {
        let mut state = self.state();
        let Some(file) = state.names.get(name).copied() else { return };
        if let Some(byte) = state.files[file].bytes.get_mut(at) {
            *byte ^= CORRUPTION_MASK;
        }
    }

    /// The lengths of all files by name (bytes).
    #[must_use]
    pub fn lengths(&self) -> Vec<(String, usize)> {
        let state = self.state();
        state.names.iter().map(|(name, file)| (name.clone(), state.files[*file].bytes.len())).collect()
    }

    /// Loses power: what was not synced survives or not, as `random` chooses. Failures that were set are over.
    pub fn lose_power(&self, random: &mut impl RandomSource) {
        let mut state = self.state();
        let names = state.surviving_names(random);
        for file in &mut state.files {
            file.lose_power(random);
        }
        state.synced_names.clone_from(&names);
        state.names = names;
        state.fail_at = None;
        state.full = false;
    }

    /// Counts a call; `Err` where it is to fail.
    fn call(&self, access: Access) -> io::Result<MutexGuard<'_, DiskState>> {
        let mut state = self.state();
        state.calls += 1;
        let fails = state.fail_at.is_some_and(|at| state.calls >= at);
        if fails || access == Access::Write && state.full {
            return Err(io::Error::from_raw_os_error(NO_SPACE));
        }
        Ok(state)
    }
}

fn not_found() -> io::Error {
    io::ErrorKind::NotFound.into()
}

impl Disk for SimulatedDisk {
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>> {
        let state = self.call(Access::Read)?;
        Ok(state.names.get(name).map(|file| state.files[*file].bytes.clone()))
    }

    fn list(&mut self) -> io::Result<Vec<String>> {
        Ok(self.call(Access::Read)?.names.keys().cloned().collect())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.call(Access::Write)?;
        let number = state.files.len();
        state.files.push(FileState::default());
        state.names.insert(name.to_owned(), number);
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        match self.call(Access::Write) {
            Ok(mut state) => {
                let file = *state.names.get(name).ok_or_else(not_found)?;
                state.files[file].bytes.extend_from_slice(bytes);
                Ok(())
            }
            Err(error) => {
                let mut state = self.state();
                if let Some(file) = state.names.get(name).copied() {
                    state.files[file].bytes.extend_from_slice(&bytes[..bytes.len() / 2]);
                }
                Err(error)
            }
        }
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.call(Access::Write)?;
        let file = *state.names.get(name).ok_or_else(not_found)?;
        state.files[file].synced = state.files[file].bytes.len();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.call(Access::Write)?;
        let file = state.names.remove(from).ok_or_else(not_found)?;
        state.names.insert(to.to_owned(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.call(Access::Write)?.names.remove(name).map(|_| ()).ok_or_else(not_found)
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut state = self.call(Access::Write)?;
        state.synced_names = state.names.clone();
        Ok(())
    }
}
