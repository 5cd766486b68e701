//! Reports to the registry: a datagram of three words, without an answer.

use std::io;
use std::net::{SocketAddr, UdpSocket};

/// How often a report is due (seconds); a worker is struck off the list 3 s after its last.
/// Often enough that a quarter of them may get lost: all of those within 3 s are then lost once in 10^9 times.
pub const BEAT_S: f64 = 0.2;

/// The registry, and what it has been told last.
pub struct Registry {
    to: SocketAddr,
    socket: UdpSocket,
    name: String,
    told: Option<bool>,
}

impl Registry {
    pub fn new(to: SocketAddr, name: &str) -> io::Result<Registry> {
        Ok(Registry { to, socket: socket(to)?, name: name.to_owned(), told: None })
    }

    /// Reports go to another address from here on.
    pub fn move_to(&mut self, to: SocketAddr) -> io::Result<()> {
        if to != self.to {
            (self.socket, self.to, self.told) = (socket(to)?, to, None);
        }
        Ok(())
    }

    /// Reports if the state has changed, or if `due`. A lost datagram is made up for by the next.
    pub fn beat(&mut self, ready: bool, due: bool) {
        if due || self.told != Some(ready) {
            let state = if ready { "ready" } else { "draining" };
            // The registry may be down: nothing lapses until it is back.
            let _ = self.socket.send(format!("BEAT {} {state}", self.name).as_bytes());
            self.told = Some(ready);
        }
    }
}

fn socket(to: SocketAddr) -> io::Result<UdpSocket> {
    let any: SocketAddr = if to.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0u16; 8], 0).into() };
    let socket = UdpSocket::bind(any)?;
    socket.set_nonblocking(true)?;
    socket.connect(to)?;
    Ok(socket)
}
