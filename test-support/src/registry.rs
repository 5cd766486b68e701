//! A scripted registry, to which workers send load reports.

use crate::TIMEOUT;
use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::time::Instant;

/// Upper bound on the length of a report (bytes).
const MAX_REPORT_BYTES: usize = 64;

/// A registry that receives the load reports of the worker `n1`.
#[derive(Debug)]
pub struct RegistryPeer {
    socket: UdpSocket,
}

impl RegistryPeer {
    /// Listens on a free loopback port.
    ///
    /// # Panics
    /// Panics if there is no free port.
    #[must_use]
    pub fn start() -> RegistryPeer {
        RegistryPeer::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("can't bind a free loopback port")
    }

    /// Listens on this address; `None` if it is in use.
    #[must_use]
    pub fn bind(address: SocketAddr) -> Option<RegistryPeer> {
        let socket = UdpSocket::bind(address).ok()?;
        socket.set_read_timeout(Some(TIMEOUT)).ok()?;
        Some(RegistryPeer { socket })
    }

    /// The address that it listens on.
    ///
    /// # Panics
    /// Panics if the socket has no address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.socket.local_addr().unwrap()
    }

    /// Waits for a report with this state.
    ///
    /// # Panics
    /// Panics if no such report arrives within [`TIMEOUT`].
    pub fn wait_for_state(&self, state: &str) {
        let mut bytes = [0; MAX_REPORT_BYTES];
        let deadline = Instant::now() + TIMEOUT;
        loop {
            // SIGSTOP and SIGCONT to this process interrupt the wait (EINTR); the loop then repeats it.
            match self.socket.recv(&mut bytes) {
                Ok(n) if bytes[..n] == *format!("BEAT n1 {state}").as_bytes() => return,
                Ok(_) => {}
                Err(e) => assert!(
                    e.kind() == ErrorKind::Interrupted,
                    "waiting for a load report of state {state:?}: {e}"
                ),
            }
            assert!(Instant::now() < deadline, "no load report of state {state:?} within {TIMEOUT:?}");
        }
    }

    /// Returns all reports that have arrived and have not been read, without waiting.
    ///
    /// # Panics
    /// Panics if a report is not valid UTF-8.
    #[must_use]
    pub fn received_reports(&self) -> Vec<String> {
        self.socket.set_nonblocking(true).unwrap();
        let mut reports = Vec::new();
        let mut bytes = [0; MAX_REPORT_BYTES];
        while let Ok(n) = self.socket.recv(&mut bytes) {
            reports.push(String::from_utf8(bytes[..n].to_vec()).unwrap());
        }
        self.socket.set_nonblocking(false).unwrap();
        reports
    }
}
