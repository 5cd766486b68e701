//! Loopback sockets.

use crate::TIMEOUT;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Interval at which a listener is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Sets [`TIMEOUT`] as the read and write timeout of a stream, and disables Nagle's algorithm.
pub(crate) fn with_timeouts(stream: TcpStream) -> TcpStream {
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream.set_write_timeout(Some(TIMEOUT)).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// Accepts one connection; its reads and writes time out after [`TIMEOUT`].
///
/// # Panics
/// Panics if no connection arrives within [`TIMEOUT`].
#[must_use]
pub fn accept_link(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let deadline = Instant::now() + TIMEOUT;
    loop {
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(false).unwrap();
            return with_timeouts(stream);
        }
        assert!(Instant::now() < deadline, "no connection arrived within {TIMEOUT:?}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Binds a loopback address that refuses connections until its socket listens. While the socket is bound, no other test
/// can be given the address.
///
/// # Panics
/// Panics if there is no free port.
#[must_use]
pub fn reserve_address() -> (socket2::Socket, SocketAddr) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    (socket, address)
}
