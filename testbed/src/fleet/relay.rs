//! TCP relays between two processes, through which tests inject network faults. A cut holds bytes back in one or both
//! directions, like a partition under which TCP retransmits; they are delivered when the cut is healed.

use crate::error::TestbedError;
use crate::sync::lock;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Interval at which a cut direction is checked for the end of the cut, and at which the listener is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(4);

#[derive(Default)]
struct Shared {
    target: Mutex<Option<SocketAddr>>,
    /// Whether each direction is cut: from the connecting side, and back to it.
    cut: [AtomicBool; 2],
    delay_ms: AtomicU64,
    /// Incremented by a reset, which ends the connections of earlier generations.
    generation: AtomicU64,
    stopped: AtomicBool,
}

/// A relay to which `from` connects to reach `to`.
pub struct Relay {
    /// Name of the process that connects.
    pub from: String,
    /// Name of the process that it connects to.
    pub to: String,
    /// Address on which the relay listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Relay {
    /// Starts a relay without a target.
    ///
    /// # Errors
    /// The system can't open a listening socket.
    pub fn start(from: &str, to: &str) -> Result<Relay, TestbedError> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(TestbedError::component("relay"))?;
        let address = listener.local_addr().map_err(TestbedError::component("relay"))?;
        listener.set_nonblocking(true).map_err(TestbedError::component("relay"))?;
        let shared = Arc::new(Shared::default());
        let shared_state = shared.clone();
        thread::spawn(move || {
            while !shared_state.stopped.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let shared_state = shared_state.clone();
                        thread::spawn(move || forward_connection(&shared_state, &stream));
                    }
                    Err(_) => thread::sleep(POLL_INTERVAL),
                }
            }
        });
        Ok(Relay { from: from.to_owned(), to: to.to_owned(), address, shared })
    }

    /// Sets the target of new connections; without one they are closed.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        *lock(&self.shared.target) = target;
    }

    /// Starts or ends a cut of the direction between these processes; a relay between other processes ignores it.
    pub fn set_cut(&self, from: &str, to: &str, cut: bool) {
        if (self.from.as_str(), self.to.as_str()) == (from, to) {
            self.shared.cut[0].store(cut, Ordering::Relaxed);
        } else if (self.to.as_str(), self.from.as_str()) == (from, to) {
            self.shared.cut[1].store(cut, Ordering::Relaxed);
        }
    }

    /// Delays each block of data by `delay_ms`, in both directions.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.shared.delay_ms.store(delay_ms, Ordering::Relaxed);
    }

    /// Ends all connections, possibly in the middle of a frame.
    pub fn reset(&self) {
        self.shared.generation.fetch_add(1, Ordering::Relaxed);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
    }
}

fn forward_connection(shared: &Arc<Shared>, near: &TcpStream) {
    let _ = near.set_nonblocking(false);
    let _ = near.set_nodelay(true);
    // A connection attempt during a cut hangs, as it would in a partitioned network.
    while shared.cut[0].load(Ordering::Relaxed) || shared.cut[1].load(Ordering::Relaxed) {
        if shared.stopped.load(Ordering::Relaxed) {
            return;
        }
        thread::sleep(POLL_INTERVAL);
    }
    let target = *lock(&shared.target);
    let Some(Ok(far)) = target.map(|t| TcpStream::connect_timeout(&t, Duration::from_secs(1))) else {
        return;
    };
    let _ = far.set_nodelay(true);
    let (Ok(near_writer), Ok(far_writer)) = (near.try_clone(), far.try_clone()) else { return };
    let generation = shared.generation.load(Ordering::Relaxed);
    let state = shared.clone();
    let return_thread = thread::spawn(move || copy_bytes(&state, 1, generation, &far_writer, &near_writer));
    copy_bytes(shared, 0, generation, near, &far);
    let _ = return_thread.join();
}

/// Copies bytes in one direction, an index of [`Shared::cut`], until the connection ends or is reset.
fn copy_bytes(shared: &Shared, direction: usize, generation: u64, mut from: &TcpStream, mut to: &TcpStream) {
    let _ = from.set_read_timeout(Some(Duration::from_millis(50)));
    let mut buffer = [0; 16 * 1024];
    let is_active =
        || !shared.stopped.load(Ordering::Relaxed) && shared.generation.load(Ordering::Relaxed) == generation;
    let wait_while_cut = || {
        while shared.cut[direction].load(Ordering::Relaxed) && is_active() {
            thread::sleep(POLL_INTERVAL);
        }
    };
    while is_active() {
        wait_while_cut();
        let n = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(n) => n,
            Err(e)
                if matches!(
                    e.kind(),
                    ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                ) =>
            {
                continue
            }
            Err(_) => break,
        };
        thread::sleep(Duration::from_millis(shared.delay_ms.load(Ordering::Relaxed)));
        wait_while_cut();
        // A reset truncates the block that was in transit.
        let n = if is_active() { n } else { n / 2 };
        if to.write_all(&buffer[..n]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
