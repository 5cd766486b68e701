//! The file system interface of the store, and its implementation on the operating system.

use std::collections::HashMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// The file that is locked to keep other processes out of the folder.
const LOCK_FILE: &str = "lock";

/// A folder of files, without subfolders. Written bytes are persisted only by a sync of the file; creations, renames and
/// removals only by a sync of the folder.
pub trait Disk {
    /// Reads a complete file; returns `None` if it does not exist.
    ///
    /// # Errors
    /// The operating system's error.
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>>;

    /// Lists the names of all files.
    ///
    /// # Errors
    /// The operating system's error.
    fn list(&mut self) -> io::Result<Vec<String>>;

    /// Creates an empty file, replacing an existing one.
    ///
    /// # Errors
    /// The operating system's error.
    fn create(&mut self, name: &str) -> io::Result<()>;

    /// Appends bytes to a file.
    ///
    /// # Errors
    /// The operating system's error; some of the bytes may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Persists the bytes of a file.
    ///
    /// # Errors
    /// The operating system's error.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file, replacing an existing one with the new name.
    ///
    /// # Errors
    /// The operating system's error.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// The operating system's error.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Persists creations, renames and removals.
    ///
    /// # Errors
    /// The operating system's error.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// A folder of the operating system's file system, locked against other processes.
pub struct Folder {
    path: PathBuf,
    /// Files that are open for appending, by name.
    open: HashMap<String, File>,
    /// Holds the lock until the folder is dropped.
    _lock: File,
}

impl Folder {
    /// Creates the folder if necessary, and locks it.
    ///
    /// # Errors
    /// The operating system's error; `WouldBlock` if another process has locked the folder.
    pub fn lock(path: &Path) -> io::Result<Folder> {
        fs::create_dir_all(path)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(path.join(LOCK_FILE))?;
        rustix::fs::flock(&lock, rustix::fs::FlockOperation::NonBlockingLockExclusive)?;
        Ok(Folder { path: path.to_owned(), open: HashMap::new(), _lock: lock })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.open.contains_key(name) {
            let file = OpenOptions::new().append(true).open(self.path.join(name))?;
            self.open.insert(name.to_owned(), file);
        }
        self.open.get_mut(name).ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl Disk for Folder {
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>> {
        let mut bytes = Vec::new();
        match File::open(self.path.join(name)) {
            Ok(mut file) => file.read_to_end(&mut bytes).map(|_| Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn list(&mut self) -> io::Result<Vec<String>> {
        fs::read_dir(&self.path)?.map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned())).collect()
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let path = self.path.join(name);
        let file = OpenOptions::new().create(true).truncate(true).write(true).open(&path)?;
        drop(file);
        self.open.insert(name.to_owned(), OpenOptions::new().append(true).open(&path)?);
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open.remove(from);
        self.open.remove(to);
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open.remove(name);
        fs::remove_file(self.path.join(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
