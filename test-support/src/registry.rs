//! The platform's registry, which workers report their state to.

use crate::TIMEOUT;
use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::time::Instant;

/// No report is longer.
const MAX_REPORT_BYTES: usize = 64;

/// A registry that reads the load reports of the worker `n1`.
#[derive(Debug)]
pub struct RegistryPeer {
    socket: UdpSocket,
}

impl RegistryPeer {
    /// Listens on a free port of loopback.
    ///
    /// # Panics
    /// There is none.
    #[must_use]
    pub fn start() -> RegistryPeer {
        RegistryPeer::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port")
    }

    /// Listens at this address, if it is free.
    #[must_use]
    pub fn bind(address: SocketAddr) -> Option<RegistryPeer> {
        let socket = UdpSocket::bind(address).ok()?;
        socket.set_read_timeout(Some(TIMEOUT)).ok()?;
        Some(RegistryPeer { socket })
    }

    /// Where it listens.
    ///
    /// # Panics
    /// The socket has no address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.socket.local_addr().unwrap()
    }

    /// Waits for a report of this state.
    ///
    /// # Panics
    /// None comes within [`TIMEOUT`].
    pub fn wait_for_state(&self, state: &str) {
        let mut bytes = [0; MAX_REPORT_BYTES];
        let until = Instant::now() + TIMEOUT;
        loop {
            // A process that was stopped for a moment finds this wait interrupted: that is no missing report.
            match self.socket.recv(&mut bytes) {
                Ok(n) if bytes[..n] == *format!("BEAT n1 {state}").as_bytes() => return,
                Ok(_) => {}
                Err(e) => assert!(e.kind() == ErrorKind::Interrupted, "no report says {state}: {e}"),
            }
            assert!(Instant::now() < until, "no report says {state}");
        }
    }

    /// All reports that have come and were not read yet, without a wait.
    ///
    /// # Panics
    /// A report is no text.
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
