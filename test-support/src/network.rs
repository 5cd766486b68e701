//! Sockets on loopback.

use crate::TIMEOUT;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Time between two looks at a listener.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Sets the test's timeout on both directions of a stream.
pub(crate) fn with_timeouts(stream: TcpStream) -> TcpStream {
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream.set_write_timeout(Some(TIMEOUT)).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// Accepts one connection; its reads and writes time out after [`TIMEOUT`].
///
/// # Panics
/// Nobody connects within [`TIMEOUT`].
#[must_use]
pub fn accept_link(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let until = Instant::now() + TIMEOUT;
    loop {
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(false).unwrap();
            return with_timeouts(stream);
        }
        assert!(Instant::now() < until, "nobody connects");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// An address that refuses connections until its socket listens; no other test can be given it meanwhile.
///
/// # Panics
/// The system has no free port.
#[must_use]
pub fn reserve_address() -> (socket2::Socket, SocketAddr) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    (socket, address)
}
