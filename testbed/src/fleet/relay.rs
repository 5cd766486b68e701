//! Relays between two processes: what one dials is led to the other, until a fault says otherwise. A cut holds bytes back
//! in one direction or both, as a network does that loses them; what was held goes on when it is healed.

use crate::error::TestbedError;
use crate::sync::lock;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How often a held direction looks whether it may go on.
const POLL_INTERVAL: Duration = Duration::from_millis(4);

#[derive(Default)]
struct Shared {
    target: Mutex<Option<SocketAddr>>,
    /// From the dialling side, and back to it.
    cut: [AtomicBool; 2],
    delay_ms: AtomicU64,
    /// Connections of an earlier generation are reset.
    generation: AtomicU64,
    over: AtomicBool,
}

/// One relay, for what `from` dials to reach `to`.
pub struct Relay {
    /// Who dials.
    pub from: String,
    /// Whom it dials.
    pub to: String,
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Relay {
    /// Starts a relay without a target.
    ///
    /// # Errors
    /// The system has no free port.
    pub fn start(from: &str, to: &str) -> Result<Relay, TestbedError> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(TestbedError::component("relay"))?;
        let address = listener.local_addr().map_err(TestbedError::component("relay"))?;
        listener.set_nonblocking(true).map_err(TestbedError::component("relay"))?;
        let shared = Arc::new(Shared::default());
        let own = shared.clone();
        thread::spawn(move || {
            while !own.over.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let own = own.clone();
                        thread::spawn(move || lead(&own, &stream));
                    }
                    Err(_) => thread::sleep(POLL_INTERVAL),
                }
            }
        });
        Ok(Relay { from: from.to_owned(), to: to.to_owned(), address, shared })
    }

    /// Leads new connections there, or nowhere.
    pub fn aim(&self, target: Option<SocketAddr>) {
        *lock(&self.shared.target) = target;
    }

    /// Bytes that go from one process to the other are held back, or go on.
    pub fn set_cut(&self, from: &str, to: &str, cut: bool) {
        if (self.from.as_str(), self.to.as_str()) == (from, to) {
            self.shared.cut[0].store(cut, Ordering::Relaxed);
        } else if (self.to.as_str(), self.from.as_str()) == (from, to) {
            self.shared.cut[1].store(cut, Ordering::Relaxed);
        }
    }

    /// Delays each piece by so long, each way.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.shared.delay_ms.store(delay_ms, Ordering::Relaxed);
    }

    /// All connections are reset, in mid-frame if need be.
    pub fn reset(&self) {
        self.shared.generation.fetch_add(1, Ordering::Relaxed);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::Relaxed);
    }
}

fn lead(shared: &Arc<Shared>, near: &TcpStream) {
    let _ = near.set_nonblocking(false);
    let _ = near.set_nodelay(true);
    // A dialling that falls into a cut hangs, as it would.
    while shared.cut[0].load(Ordering::Relaxed) || shared.cut[1].load(Ordering::Relaxed) {
        if shared.over.load(Ordering::Relaxed) {
            return;
        }
        thread::sleep(POLL_INTERVAL);
    }
    let target = *lock(&shared.target);
    let Some(Ok(far)) = target.map(|t| TcpStream::connect_timeout(&t, Duration::from_secs(1))) else {
        return;
    };
    let _ = far.set_nodelay(true);
    let (Ok(near_back), Ok(far_back)) = (near.try_clone(), far.try_clone()) else { return };
    let generation = shared.generation.load(Ordering::Relaxed);
    let back = shared.clone();
    let there = thread::spawn(move || pump(&back, 1, generation, &far_back, &near_back));
    pump(shared, 0, generation, near, &far);
    let _ = there.join();
}

fn pump(shared: &Shared, way: usize, generation: u64, mut from: &TcpStream, mut to: &TcpStream) {
    let _ = from.set_read_timeout(Some(Duration::from_millis(50)));
    let mut part = [0; 16 * 1024];
    let sound =
        || !shared.over.load(Ordering::Relaxed) && shared.generation.load(Ordering::Relaxed) == generation;
    let hold = || {
        while shared.cut[way].load(Ordering::Relaxed) && sound() {
            thread::sleep(POLL_INTERVAL);
        }
    };
    while sound() {
        hold();
        let n = match from.read(&mut part) {
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
        hold();
        // A reset falls into the middle of what was on its way.
        let n = if sound() { n } else { n / 2 };
        if to.write_all(&part[..n]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
