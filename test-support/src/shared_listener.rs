//! The listening socket that a worker and its successors share.

use crate::unique_request_id;
use std::net::TcpListener;
use std::path::PathBuf;

/// What the platform holds for a worker and its successors: the listening socket, and the folder in which they meet.
#[derive(Debug)]
pub struct SharedListener {
    /// The socket that every process started from here on inherits.
    pub listener: TcpListener,
    /// The folder that the processes share; it is removed with this value.
    pub folder: PathBuf,
}

impl SharedListener {
    /// Listens on loopback, and makes the folder.
    ///
    /// # Panics
    /// The system has no port or no folder left.
    #[must_use]
    pub fn bind() -> SharedListener {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        // Every process that is started from here on inherits it.
        rustix::io::fcntl_setfd(&listener, rustix::io::FdFlags::empty()).unwrap();
        let name = format!("honeypost-door-{}-{}", std::process::id(), unique_request_id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).unwrap();
        SharedListener { listener, folder }
    }

    /// Where a worker waits for its successor.
    #[must_use]
    pub fn hot_restart_socket(&self) -> PathBuf {
        self.folder.join("honeypost-handover.sock")
    }
}

impl Drop for SharedListener {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
