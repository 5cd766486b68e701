//! Load reports to the registry: datagrams of three words, without an answer.

use std::io;
use std::net::{SocketAddr, UdpSocket};

/// How often a report is due (seconds). A worker is delisted 3 s after its last one. A quarter of the reports may be
/// lost: all of those within 3 s are then lost once in 10^9 times.
pub const HEARTBEAT_INTERVAL_S: f64 = 0.2;

/// The registry, and what was reported last.
pub struct Registry {
    address: SocketAddr,
    socket: UdpSocket,
    name: String,
    /// The last reported readiness.
    reported: Option<bool>,
}

impl Registry {
    /// Opens a socket for reports about the worker of this name.
    ///
    /// # Errors
    /// The system has no socket for the address.
    pub fn new(address: SocketAddr, name: &str) -> io::Result<Registry> {
        Ok(Registry { address, socket: socket(address)?, name: name.to_owned(), reported: None })
    }

    /// Sends later reports to another address.
    ///
    /// # Errors
    /// The system has no socket for it; reports go on to the old one.
    pub fn set_address(&mut self, address: SocketAddr) -> io::Result<()> {
        if address != self.address {
            self.socket = socket(address)?;
            self.address = address;
            self.reported = None;
        }
        Ok(())
    }

    /// Reports if the readiness has changed, or if a report is due. A lost datagram is made up for by the next.
    pub fn report(&mut self, ready: bool, due: bool) {
        if due || self.reported != Some(ready) {
            let state = if ready { "ready" } else { "draining" };
            // The registry may be down; the next report tells it the same.
            let _ = self.socket.send(format!("BEAT {} {state}", self.name).as_bytes());
            self.reported = Some(ready);
        }
    }
}

fn socket(address: SocketAddr) -> io::Result<UdpSocket> {
    let any: SocketAddr = if address.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0u16; 8], 0).into() };
    let socket = UdpSocket::bind(any)?;
    socket.set_nonblocking(true)?;
    socket.connect(address)?;
    Ok(socket)
}
