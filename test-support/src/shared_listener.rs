//! A listening socket that a worker and its successors share.

use crate::unique_request_id;
use std::net::TcpListener;
use std::path::PathBuf;

/// What a supervisor holds for a worker and its successors: the listening socket and the folder with the hot restart
/// socket.
#[derive(Debug)]
pub struct SharedListener {
    /// The listening socket, which child processes inherit.
    pub listener: TcpListener,
    /// The processes' `TMPDIR`; it is removed when this value is dropped.
    pub folder: PathBuf,
}

impl SharedListener {
    /// Listens on loopback and creates the folder.
    ///
    /// # Panics
    /// Panics if there is no free port or the folder can't be created.
    #[must_use]
    pub fn bind() -> SharedListener {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        // Clears FD_CLOEXEC, so that child processes inherit the socket.
        rustix::io::fcntl_setfd(&listener, rustix::io::FdFlags::empty()).unwrap();
        let name = format!("honeypost-listener-{}-{}", std::process::id(), unique_request_id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).unwrap();
        SharedListener { listener, folder }
    }

    /// The socket on which a worker waits for its successor.
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
