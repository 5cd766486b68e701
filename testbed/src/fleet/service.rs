//! The records service that all workers of a fleet share: it replies after a while, slows or rejects all calls on command,
//! and counts its calls in flight by its own clock.

use crate::error::TestbedError;
use crate::loopback::read_message;
use crate::sync::lock;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

#[derive(Clone, Copy, Debug, Default)]
struct State {
    call_ms: u64,
    down: bool,
    in_flight: usize,
    most: usize,
    made: u64,
}

/// One service; it ends with the process.
#[derive(Clone)]
pub struct Service {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Service {
    /// Starts a service whose calls take so long (milliseconds).
    ///
    /// # Errors
    /// The system has no free port.
    pub fn start(call_ms: u64) -> Result<Service, TestbedError> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(TestbedError::component("service"))?;
        let address = listener.local_addr().map_err(TestbedError::component("service"))?;
        let state = Arc::new(Mutex::new(State { call_ms, ..State::default() }));
        let service = Service { address, state };
        let own = service.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let own = own.clone();
                thread::spawn(move || own.serve(stream));
            }
        });
        Ok(service)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while read_message(&mut reader).is_some() {
            let state = {
                let mut state = lock(&self.state);
                state.made += 1;
                state.in_flight += 1;
                state.most = state.most.max(state.in_flight);
                *state
            };
            let reply = if state.down {
                &b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"[..]
            } else {
                thread::sleep(Duration::from_millis(state.call_ms));
                &b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n!"[..]
            };
            lock(&self.state).in_flight -= 1;
            if reader.get_mut().write_all(reply).is_err() {
                return;
            }
        }
    }

    /// Every call is rejected from now on, or answered again.
    pub fn set_down(&self, down: bool) {
        lock(&self.state).down = down;
    }

    /// How long a call takes from now on (milliseconds).
    pub fn set_call_ms(&self, call_ms: u64) {
        lock(&self.state).call_ms = call_ms;
    }

    /// Calls made so far, and the most that it had in flight at once.
    #[must_use]
    pub fn counts(&self) -> (u64, usize) {
        let state = lock(&self.state);
        (state.made, state.most)
    }
}
