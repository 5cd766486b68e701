//! An in-memory disk that distinguishes written from synced data and simulates power loss.
//!
//! The model: a file's bytes are persisted by a sync of the file, names by a sync of the folder. Unsynced changes may or
//! may not survive a power loss, each independently: any prefix of a file's unsynced tail, possibly with a range that was
//! never written, and any of the unsynced names. A seeded random source decides, so that a run can be repeated.

use crate::Disk;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The operating system's error code for "no space left on device".
const ENOSPC: i32 = 28;
/// The bits that [`SimulatedDisk::corrupt_byte`] flips.
const CORRUPTION_MASK: u8 = 0x55;
/// One in this many surviving tails contains a range that was never written (zeros).
const UNWRITTEN_RANGE_ONE_IN: usize = 3;

#[derive(Clone, Debug, Default)]
struct FileState {
    bytes: Vec<u8>,
    /// The number of synced bytes.
    synced: usize,
}

impl FileState {
    /// Keeps the synced bytes and a random part of the unsynced ones.
    fn lose_power(&mut self, random: &mut impl RandomSource) {
        let tail = self.bytes.len() - self.synced;
        if tail > 0 {
            let surviving = random.below(tail + 1);
            self.bytes.truncate(self.synced + surviving);
            if surviving > 0 && random.below(UNWRITTEN_RANGE_ONE_IN) == 0 {
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
    /// All files that were ever created. Names refer to them by index.
    files: Vec<FileState>,
    /// The current names, whether synced or not.
    names: BTreeMap<String, usize>,
    /// The names as of the folder's last sync.
    synced_names: BTreeMap<String, usize>,
    /// The number of calls so far.
    calls: u64,
    /// All calls from this number on fail.
    fail_at: Option<u64>,
    /// Whether all writing calls fail, as on a full disk.
    full: bool,
}

impl DiskState {
    /// Returns the names after a power loss; each unsynced change randomly survives or not.
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

/// Whether a call reads or writes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Access {
    Read,
    Write,
}

/// Decides what survives a power loss.
pub trait RandomSource {
    /// Returns a number below `bound`.
    fn below(&mut self, bound: usize) -> usize;
}

impl<F: FnMut(usize) -> usize> RandomSource for F {
    fn below(&mut self, bound: usize) -> usize {
        self(bound)
    }
}

/// A handle to the disk. Clones share the same disk, like a process and its successor.
#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk(Arc<Mutex<DiskState>>);

impl SimulatedDisk {
    /// Creates an empty disk.
    #[must_use]
    pub fn new() -> SimulatedDisk {
        SimulatedDisk::default()
    }

    fn state(&self) -> MutexGuard<'_, DiskState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of calls so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    /// Makes the call with this number (counted from 1) and all later ones fail, as if the process had ended; `None` lets all
    /// calls succeed. A failing append writes half of its bytes, as on a disk that becomes full.
    pub fn fail_at(&self, call: Option<u64>) {
        self.state().fail_at = call;
    }

    /// Makes all writing calls fail while `full` is set.
    pub fn set_full(&self, full: bool) {
        self.state().full = full;
    }

    /// Returns an independent copy of the disk, including unsynced data, like a backup.
    #[must_use]
    pub fn copy(&self) -> SimulatedDisk {
        SimulatedDisk(Arc::new(Mutex::new(self.state().clone())))
    }

    /// Flips bits in the byte at offset `at` of a file; does nothing if there is no such file or byte.
    pub fn corrupt_byte(&self, name: &str, at: usize) {
        let mut state = self.state();
        let Some(file) = state.names.get(name).copied() else { return };
        if let Some(byte) = state.files[file].bytes.get_mut(at) {
            *byte ^= CORRUPTION_MASK;
        }
    }

    /// Returns the name and length (bytes) of each file.
    #[must_use]
    pub fn lengths(&self) -> Vec<(String, usize)> {
        let state = self.state();
        state.names.iter().map(|(name, file)| (name.clone(), state.files[*file].bytes.len())).collect()
    }

    /// Simulates a power loss: `random` decides which unsynced changes survive. Clears configured failures.
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

    /// Counts a call; returns an error if it should fail.
    fn call(&self, access: Access) -> io::Result<MutexGuard<'_, DiskState>> {
        let mut state = self.state();
        state.calls += 1;
        let fails = state.fail_at.is_some_and(|at| state.calls >= at);
        if fails || access == Access::Write && state.full {
            return Err(io::Error::from_raw_os_error(ENOSPC));
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
