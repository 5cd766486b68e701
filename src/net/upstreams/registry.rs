//! Load reports to the registry: UDP datagrams of three words, without a response.

use std::io;
use std::net::{SocketAddr, UdpSocket};

/// Interval between reports (seconds). The registry delists a worker 3 s after its last report. Even if a quarter of
/// the reports is lost, the probability that all reports within 3 s are lost is 10^-9.
pub const HEARTBEAT_INTERVAL_S: f64 = 0.2;

/// Sends load reports to the registry.
pub struct Registry {
    address: SocketAddr,
    socket: UdpSocket,
    name: String,
    /// The last reported readiness; `None` if nothing was reported to this address yet.
    last_reported: Option<bool>,
}

impl Registry {
    /// Opens a socket for reports on the worker called `name`.
    ///
    /// # Errors
    /// No socket can be opened for the address.
    pub fn new(address: SocketAddr, name: &str) -> io::Result<Registry> {
        Ok(Registry { address, socket: open_socket(address)?, name: name.to_owned(), last_reported: None })
    }

    /// Sets the address for later reports.
    ///
    /// # Errors
    /// No socket can be opened for it; reports still go to the old address.
    pub fn set_address(&mut self, address: SocketAddr) -> io::Result<()> {
        if address != self.address {
            self.socket = open_socket(address)?;
            self.address = address;
            self.last_reported = None;
        }
        Ok(())
    }

    /// Sends a report if one is due or the readiness has changed. A lost datagram is not resent; the next report
    /// replaces it.
    pub fn report(&mut self, is_ready: bool, is_due: bool) {
        if is_due || self.last_reported != Some(is_ready) {
            let state = if is_ready { "ready" } else { "draining" };
            // An error is ignored: the registry may be down, and the next report repeats the state.
            let _ = self.socket.send(format!("BEAT {} {state}", self.name).as_bytes());
            self.last_reported = Some(is_ready);
        }
    }
}

fn open_socket(address: SocketAddr) -> io::Result<UdpSocket> {
    let local_address: SocketAddr =
        if address.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0u16; 8], 0).into() };
    let socket = UdpSocket::bind(local_address)?;
    socket.set_nonblocking(true)?;
    socket.connect(address)?;
    Ok(socket)
}
