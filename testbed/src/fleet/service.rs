//! The records service that all workers of a fleet share. It responds after a set time, can be set to fail all calls, and
//! counts its calls and those in flight.

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
    peak_in_flight: usize,
    calls: u64,
}

/// A running service; it ends with the testbed's process.
#[derive(Clone)]
pub struct Service {
    /// Address on which it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Service {
    /// Starts a service with the given duration of calls (milliseconds).
    ///
    /// # Errors
    /// The system can't open a listening socket.
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
                state.calls += 1;
                state.in_flight += 1;
                state.peak_in_flight = state.peak_in_flight.max(state.in_flight);
                *state
            };
            let response = if state.down {
                &b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"[..]
            } else {
                thread::sleep(Duration::from_millis(state.call_ms));
                &b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n!"[..]
            };
            lock(&self.state).in_flight -= 1;
            if reader.get_mut().write_all(response).is_err() {
                return;
            }
        }
    }

    /// Makes every call fail with status 503 from now on, or succeed again.
    pub fn set_down(&self, down: bool) {
        lock(&self.state).down = down;
    }

    /// Sets the duration of calls that start from now on (milliseconds).
    pub fn set_call_ms(&self, call_ms: u64) {
        lock(&self.state).call_ms = call_ms;
    }

    /// Returns the number of calls so far, and the largest number in flight at the same time.
    #[must_use]
    pub fn counts(&self) -> (u64, usize) {
        let state = lock(&self.state);
        (state.calls, state.peak_in_flight)
    }
}
