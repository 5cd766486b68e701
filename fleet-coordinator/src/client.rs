//! A blocking client for operators' queries to coordinators, with one connection per query.

use port_worker::fleet::frame::{
    decode, encode, ClientMessage, OperatorQuery, ServerMessage, MAX_SERVER_FRAME_BYTES,
};
use serde_json::{json, Value};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The maximum timeout of a status query to one coordinator. An attempt at a query for the leader has a timeout of at most
/// twice this.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1500);
/// The timeout of an attempt at a query for the leader is the sum of [`ATTEMPT_TIMEOUT`] and the caller's timeout. In this
/// sum, the caller's timeout is raised to at least this constant and lowered to at most [`ATTEMPT_TIMEOUT`].
const MIN_LEADER_TIMEOUT: Duration = Duration::from_millis(100);
/// The pause before all coordinators are queried again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// The minimum timeout of a connection, since the standard library rejects a timeout of zero.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);
const READ_BYTES: usize = 16 * 1024;

/// The outcome of a query.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryOutcome {
    /// The answer.
    Answer(Value),
    /// The query was rejected for this reason.
    Rejected(String),
    /// No coordinator was confirmed as the leader before the timeout; the value describes the last attempt.
    NoQuorum(String),
}

/// Why no complete answer was received from a coordinator.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The connection failed.
    #[error("{address}: {source}")]
    Connection {
        /// The coordinator.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The answer is not a valid frame.
    #[error("{address}: {reason}")]
    InvalidFrame {
        /// The coordinator.
        address: SocketAddr,
        /// Why it is not valid.
        reason: String,
    },
    /// The answer was not complete before the timeout.
    #[error("{address}: timed out waiting for the answer")]
    Timeout {
        /// The coordinator.
        address: SocketAddr,
    },
    /// The connection was closed before the answer was complete.
    #[error("{address}: connection closed before the answer was complete")]
    Closed {
        /// The coordinator.
        address: SocketAddr,
    },
}

/// Sends a query to one coordinator and waits for the answer.
///
/// # Errors
/// The reason why no complete answer was received.
pub fn query_coordinator(
    address: SocketAddr,
    fleet: &str,
    query: &OperatorQuery,
    timeout: Duration,
) -> Result<ServerMessage, ClientError> {
    let timeout = timeout.max(MIN_TIMEOUT);
    let connection_error = |source| ClientError::Connection { address, source };
    let mut stream = send_query(address, fleet, query, timeout).map_err(connection_error)?;
    let mut received = Vec::new();
    let mut buffer = [0; READ_BYTES];
    let deadline = Instant::now() + timeout;
    loop {
        let decoded = decode(&received, MAX_SERVER_FRAME_BYTES)
            .map_err(|error| ClientError::InvalidFrame { address, reason: error.to_string() })?;
        if let Some((answer, _)) = decoded {
            return Ok(answer);
        }
        if Instant::now() > deadline {
            return Err(ClientError::Timeout { address });
        }
        match stream.read(&mut buffer).map_err(connection_error)? {
            0 => return Err(ClientError::Closed { address }),
            count => received.extend_from_slice(&buffer[..count]),
        }
    }
}

fn send_query(
    address: SocketAddr,
    fleet: &str,
    query: &OperatorQuery,
    timeout: Duration,
) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let message = ClientMessage::Query { fleet: fleet.to_owned(), query: query.clone() };
    stream.write_all(&encode(&message))?;
    Ok(stream)
}

/// Queries the status of every coordinator, until one of them reports that it is the leader. A coordinator that does not
/// answer is listed with the reason. If none is the leader when `timeout` has passed, the outcome is
/// [`QueryOutcome::NoQuorum`].
#[must_use]
pub fn query_all(addresses: &[SocketAddr], fleet: &str, timeout: Duration) -> QueryOutcome {
    let deadline = Instant::now() + timeout;
    loop {
        let rows: Vec<Value> = addresses.iter().map(|address| status_row(*address, fleet, timeout)).collect();
        if let Some(refused) = rows.iter().find(|row| row["standing"] == "refuses") {
            return QueryOutcome::Rejected(refused["why"].as_str().unwrap_or_default().to_owned());
        }
        if rows.iter().any(|row| row["leads"] == true) {
            // `fleetctl` takes a table's columns from the first row, so a coordinator that answered must come first.
            let (mut sorted, silent): (Vec<Value>, Vec<Value>) =
                rows.into_iter().partition(|row| row.get("term").is_some());
            sorted.extend(silent);
            return QueryOutcome::Answer(Value::Array(sorted));
        }
        if Instant::now() >= deadline {
            return QueryOutcome::NoQuorum(Value::Array(rows).to_string());
        }
        std::thread::sleep(RETRY_PAUSE);
    }
}

fn status_row(address: SocketAddr, fleet: &str, timeout: Duration) -> Value {
    let row =
        |standing: &str, why: String| json!({"name": address.to_string(), "standing": standing, "why": why});
    match query_coordinator(address, fleet, &OperatorQuery::Status, ATTEMPT_TIMEOUT.min(timeout)) {
        Ok(ServerMessage::QueryResult { answer }) => answer,
        Ok(ServerMessage::Rejected { reason }) => row("refuses", reason),
        Ok(other) => row("unclear", format!("{other:?}")),
        Err(error) => row("silent", error.to_string()),
    }
}

/// Sends a query that only the leader answers, after a quorum has confirmed that it still is the leader. Queries the
/// coordinators in turn until one answers or rejects the query, or `timeout` has passed.
#[must_use]
pub fn query_leader(
    addresses: &[SocketAddr],
    fleet: &str,
    query: &OperatorQuery,
    timeout: Duration,
) -> QueryOutcome {
    let deadline = Instant::now() + timeout;
    let attempt_timeout = ATTEMPT_TIMEOUT.min(timeout).max(MIN_LEADER_TIMEOUT) + ATTEMPT_TIMEOUT;
    let mut last_failure = "no coordinator was queried".to_owned();
    loop {
        for address in addresses {
            last_failure = match query_coordinator(*address, fleet, query, attempt_timeout) {
                Ok(ServerMessage::QueryResult { answer }) => return QueryOutcome::Answer(answer),
                Ok(ServerMessage::Rejected { reason }) => return QueryOutcome::Rejected(reason),
                Ok(ServerMessage::NotLeader { reason, .. }) => format!("{address}: {reason}"),
                Ok(other) => format!("{address}: {other:?}"),
                Err(error) => error.to_string(),
            };
        }
        if Instant::now() >= deadline {
            return QueryOutcome::NoQuorum(last_failure);
        }
        std::thread::sleep(RETRY_PAUSE);
    }
}
