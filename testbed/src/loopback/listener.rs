//! The models' listening sockets.

use crate::error::TestbedError;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// How often a listener is polled for a connection.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Listens on a free loopback port; returns the listener and its address.
pub(super) fn bind_listener() -> Result<(TcpListener, SocketAddr), TestbedError> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Accepts connections on a new thread until `stop` is set, and passes each to `handle`.
pub(super) fn accept_until(
    listener: TcpListener,
    stop: Arc<AtomicBool>,
    mut handle: impl FnMut(TcpStream) + Send + 'static,
) {
    let _ = listener.set_nonblocking(true);
    thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    handle(stream);
                }
                Err(_) => thread::sleep(POLL_INTERVAL),
            }
        }
    });
}
