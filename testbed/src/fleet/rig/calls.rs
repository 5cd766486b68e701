//! HTTP requests to the consoles and listeners of a fleet's processes.

use crate::error::TestbedError;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Timeout of the connection attempt, and of each read of the response.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Sends a GET request and returns the whole response.
///
/// # Errors
/// The connection fails, or the response does not end in time.
pub fn get(at: SocketAddr, path: &str) -> Result<String, TestbedError> {
    call(at, "GET", path)
}

/// Sends a request without a body and returns the whole response.
///
/// # Errors
/// The connection fails, or the response does not end in time.
pub fn call(at: SocketAddr, method: &str, path: &str) -> Result<String, TestbedError> {
    let mut stream = TcpStream::connect_timeout(&at, TIMEOUT).map_err(TestbedError::peer(at))?;
    stream.set_read_timeout(Some(TIMEOUT)).map_err(TestbedError::peer(at))?;
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        .map_err(TestbedError::peer(at))?;
    let mut response = String::new();
    stream.read_to_string(&mut response).map_err(TestbedError::peer(at))?;
    Ok(response)
}
