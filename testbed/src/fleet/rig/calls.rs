//! Calls at the consoles and listeners of a fleet's processes.

use crate::error::TestbedError;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long a call waits for a connection, and for each part of the reply.
const TIMEOUT: Duration = Duration::from_secs(2);

/// One call at a console; the whole reply.
///
/// # Errors
/// The system's.
pub fn get(at: SocketAddr, path: &str) -> Result<String, TestbedError> {
    call(at, "GET", path)
}

/// One call without a body; the whole reply.
///
/// # Errors
/// The system's.
pub fn call(at: SocketAddr, method: &str, path: &str) -> Result<String, TestbedError> {
    let mut stream = TcpStream::connect_timeout(&at, TIMEOUT).map_err(TestbedError::peer(at))?;
    stream.set_read_timeout(Some(TIMEOUT)).map_err(TestbedError::peer(at))?;
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        .map_err(TestbedError::peer(at))?;
    let mut reply = String::new();
    stream.read_to_string(&mut reply).map_err(TestbedError::peer(at))?;
    Ok(reply)
}
