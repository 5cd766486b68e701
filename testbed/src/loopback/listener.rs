//! Listening sockets of the models.

use crate::error::TestbedError;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Between two looks for a connection.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Listens on a free port; also where.
pub(super) fn bind_listener() -> Result<(TcpListener, SocketAddr), TestbedError> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Accepts connections until the play is over.
pub(super) fn accept_until(
    listener: TcpListener,
    over: Arc<AtomicBool>,
    mut take: impl FnMut(TcpStream) + Send + 'static,
) {
    let _ = listener.set_nonblocking(true);
    thread::spawn(move || {
        while !over.load(Ordering::Relaxed) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    take(stream);
                }
                Err(_) => thread::sleep(POLL_INTERVAL),
            }
        }
    });
}
