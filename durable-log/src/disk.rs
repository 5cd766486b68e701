//! The file system as the store sees it, and the real one.

use std::collections::HashMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// One folder of files. Names have no separators. What is written counts as kept only after a sync: of the file for its
/// bytes, of the folder for names.
pub trait Disk {
    /// A whole file; `None` where there is none.
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>>;
    fn list(&mut self) -> io::Result<Vec<String>>;
    /// An empty file of this name, in the place of one that may be there.
    fn create(&mut self, name: &str) -> io::Result<()>;
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    fn sync(&mut self, name: &str) -> io::Result<()>;
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&mut self, name: &str) -> io::Result<()>;
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// A folder of the system's. A lock keeps a second process off it.
pub struct Folder {
    path: PathBuf,
    open: HashMap<String, File>,
    _lock: File,
}

impl Folder {
    /// Makes the folder if need be, and locks it.
    ///
    /// # Errors
    /// The system's, or `WouldBlock` where another process has the folder.
    pub fn lock(path: &Path) -> io::Result<Folder> {
        fs::create_dir_all(path)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(path.join("lock"))?;
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
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
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
