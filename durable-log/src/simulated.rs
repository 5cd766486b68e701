//! A disk in memory that keeps apart what was written and what has been synced, and that can lose power.
//!
//! The model: bytes of a file are kept by a sync of the file, names by a sync of the folder. Whatever was not synced may
//! be there or not after a loss of power, each part by itself: any prefix of an unsynced tail, with a part of it
//! never written, any of the unsynced names. A seeded source chooses, so that a run can be played again.

use crate::Disk;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The system's number for "no space left on the device".
const NO_SPACE: i32 = 28;

#[derive(Clone, Debug, Default)]
struct FileState {
    bytes: Vec<u8>,
    synced: usize,
}

#[derive(Clone, Debug, Default)]
struct World {
    files: Vec<FileState>,
    /// Names as the system has them, and as they lie on the disk.
    names: BTreeMap<String, usize>,
    kept: BTreeMap<String, usize>,
    calls: u64,
    fail_at: Option<u64>,
    /// Every call that writes fails while this is set.
    full: bool,
}

/// What becomes of what was not synced when power is lost.
pub trait Fate {
    /// A number below `n`.
    fn below(&mut self, n: usize) -> usize;
}

impl<F: FnMut(usize) -> usize> Fate for F {
    fn below(&mut self, n: usize) -> usize {
        self(n)
    }
}

/// A handle on the disk; clones share it, as a process and its successor do.
#[derive(Clone, Debug, Default)]
pub struct Simulated(Arc<Mutex<World>>);

impl Simulated {
    pub fn new() -> Simulated {
        Simulated::default()
    }

    fn world(&self) -> MutexGuard<'_, World> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls so far.
    pub fn calls(&self) -> u64 {
        self.world().calls
    }

    /// The call with this number fails, and all after it: the process is taken to be dead then. A failing append has
    /// written a part of its bytes, as on a disk that fills up.
    pub fn fail_at(&self, call: Option<u64>) {
        self.world().fail_at = call;
    }

    pub fn set_full(&self, full: bool) {
        self.world().full = full;
    }

    /// A copy with all that the system holds, as a backup would be.
    pub fn copy(&self) -> Simulated {
        Simulated(Arc::new(Mutex::new(self.world().clone())))
    }

    /// Flips bits of one byte of what is kept.
    pub fn rot(&self, name: &str, at: usize) {
        let mut world = self.world();
        if let Some(file) = world.names.get(name).copied() {
            if let Some(byte) = world.files[file].bytes.get_mut(at) {
                *byte ^= 0x55;
            }
        }
    }

    /// The lengths of all files by name.
    pub fn lengths(&self) -> Vec<(String, usize)> {
        let world = self.world();
        world.names.iter().map(|(name, file)| (name.clone(), world.files[*file].bytes.len())).collect()
    }

    /// Power is lost: each thing that was not synced is kept or not, as `fate` says. Failures set before are over.
    pub fn lose_power(&self, fate: &mut impl Fate) {
        let mut world = self.world();
        let world = &mut *world;
        let mut names = world.kept.clone();
        let changed: Vec<String> = world.names.keys().chain(world.kept.keys()).cloned().collect();
        for name in changed {
            let (now, kept) = (world.names.get(&name).copied(), world.kept.get(&name).copied());
            if now != kept && fate.below(2) == 1 {
                match now {
                    Some(file) => names.insert(name, file),
                    None => names.remove(&name),
                };
            }
        }
        for file in &mut world.files {
            let tail = file.bytes.len() - file.synced;
            if tail > 0 {
                let stays = fate.below(tail + 1);
                file.bytes.truncate(file.synced + stays);
                if stays > 0 && fate.below(3) == 0 {
                    let garbled = file.synced + fate.below(stays);
                    let until = garbled + 1 + fate.below(file.bytes.len() - garbled);
                    file.bytes[garbled..until].iter_mut().for_each(|b| *b = 0);
                }
            }
            file.synced = file.bytes.len();
        }
        (world.names, world.kept) = (names.clone(), names);
        (world.fail_at, world.full) = (None, false);
    }

    /// Counts a call; `Err` where it is to fail.
    fn call(&self, writes: bool) -> io::Result<MutexGuard<'_, World>> {
        let mut world = self.world();
        world.calls += 1;
        let dead = world.fail_at.is_some_and(|at| world.calls >= at);
        if dead || writes && world.full {
            return Err(io::Error::from_raw_os_error(NO_SPACE));
        }
        Ok(world)
    }
}

fn missing() -> io::Error {
    io::ErrorKind::NotFound.into()
}

impl Disk for Simulated {
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>> {
        let world = self.call(false)?;
        Ok(world.names.get(name).map(|file| world.files[*file].bytes.clone()))
    }

    fn list(&mut self) -> io::Result<Vec<String>> {
        Ok(self.call(false)?.names.keys().cloned().collect())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let mut world = self.call(true)?;
        let number = world.files.len();
        world.files.push(FileState::default());
        world.names.insert(name.to_owned(), number);
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        match self.call(true) {
            Ok(mut world) => {
                let file = *world.names.get(name).ok_or_else(missing)?;
                world.files[file].bytes.extend_from_slice(bytes);
                Ok(())
            }
            Err(e) => {
                let mut world = self.world();
                if let Some(file) = world.names.get(name).copied() {
                    world.files[file].bytes.extend_from_slice(&bytes[..bytes.len() / 2]);
                }
                Err(e)
            }
        }
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut world = self.call(true)?;
        let file = *world.names.get(name).ok_or_else(missing)?;
        world.files[file].synced = world.files[file].bytes.len();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut world = self.call(true)?;
        let file = world.names.remove(from).ok_or_else(missing)?;
        world.names.insert(to.to_owned(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.call(true)?.names.remove(name).map(|_| ()).ok_or_else(missing)
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut world = self.call(true)?;
        world.kept = world.names.clone();
        Ok(())
    }
}
