//! Asking coordinators from a command: one question a connection, in plain blocking calls with a bound in time.

use port_worker::fleet::frame::{
    decode, encode, ClientMessage, OperatorQuery, ServerMessage, MAX_SERVER_FRAME_BYTES,
};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// How long one coordinator may take (seconds), and the pause before all are tried again.
const ONE: Duration = Duration::from_millis(1500);
const PAUSE: Duration = Duration::from_millis(100);

/// What became of a question.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryOutcome {
    Answer(Value),
    Refused(String),
    NoQuorum(String),
}

/// Asks one coordinator.
///
/// # Errors
/// Why it gave no whole answer.
pub fn ask(
    to: SocketAddr,
    fleet: &str,
    what: &OperatorQuery,
    within: Duration,
) -> Result<ServerMessage, String> {
    let text = |e: std::io::Error| format!("{to}: {e}");
    let within = within.max(Duration::from_millis(1));
    let mut stream = TcpStream::connect_timeout(&to, within).map_err(text)?;
    stream.set_read_timeout(Some(within)).map_err(text)?;
    stream.set_write_timeout(Some(within)).map_err(text)?;
    let say = ClientMessage::Query { fleet: fleet.to_owned(), what: what.clone() };
    stream.write_all(&encode(&say)).map_err(text)?;
    let mut data = Vec::new();
    let mut part = [0; 16 * 1024];
    let until = Instant::now() + within;
    loop {
        if let Some((word, _)) = decode(&data, MAX_SERVER_FRAME_BYTES).map_err(|e| format!("{to}: {e}"))? {
            return Ok(word);
        }
        if Instant::now() > until {
            return Err(format!("{to}: no whole answer in time"));
        }
        match stream.read(&mut part).map_err(text)? {
            0 => return Err(format!("{to}: closed without an answer")),
            n => data.extend_from_slice(&part[..n]),
        }
    }
}

/// Every coordinator's own standing; one that does not answer is in the list with the reason. No leader among those
/// that answer counts as no quorum.
pub fn ask_all(all: &[SocketAddr], fleet: &str, within: Duration) -> QueryOutcome {
    let until = Instant::now() + within;
    loop {
        let rows: Vec<Value> = all
            .iter()
            .map(|to| match ask(*to, fleet, &OperatorQuery::Status, ONE.min(within)) {
                Ok(ServerMessage::QueryResult { answer }) => answer,
                Ok(ServerMessage::Rejected { why }) => {
                    json!({"name": to.to_string(), "standing": "refuses", "why": why})
                }
                Ok(other) => {
                    json!({"name": to.to_string(), "standing": "unclear", "why": format!("{other:?}")})
                }
                Err(why) => json!({"name": to.to_string(), "standing": "silent", "why": why}),
            })
            .collect();
        if let Some(refused) = rows.iter().find(|r| r["standing"] == "refuses") {
            return QueryOutcome::Refused(refused["why"].as_str().unwrap_or_default().to_owned());
        }
        if rows.iter().any(|r| r["leads"] == true) {
            // Columns are those of the first row: one that answered.
            let (mut up, silent): (Vec<Value>, Vec<Value>) =
                rows.into_iter().partition(|r| r.get("term").is_some());
            up.extend(silent);
            return QueryOutcome::Answer(Value::Array(up));
        }
        if Instant::now() >= until {
            return QueryOutcome::NoQuorum(Value::Array(rows).to_string());
        }
        std::thread::sleep(PAUSE);
    }
}

/// The leader's answer, after a quorum has confirmed it.
pub fn ask_leader(all: &[SocketAddr], fleet: &str, what: &OperatorQuery, within: Duration) -> QueryOutcome {
    let until = Instant::now() + within;
    let mut last = "no coordinator was asked".to_owned();
    loop {
        for to in all {
            match ask(*to, fleet, what, ONE.min(within).max(PAUSE) + ONE) {
                Ok(ServerMessage::QueryResult { answer }) => return QueryOutcome::Answer(answer),
                Ok(ServerMessage::Rejected { why }) => return QueryOutcome::Refused(why),
                Ok(ServerMessage::NotLeader { why, .. }) => last = format!("{to}: {why}"),
                Ok(other) => last = format!("{to}: {other:?}"),
                Err(why) => last = why,
            }
        }
        if Instant::now() >= until {
            return QueryOutcome::NoQuorum(last);
        }
        std::thread::sleep(PAUSE);
    }
}
