//! Command-line tool for operators of a fleet. Exit status: 0 success, 1 query rejected, 2 invalid arguments, 3 no quorum
//! within the time given by `--wait`.

use clap::{Parser, Subcommand};
use fleet_coordinator::client::{query_all, query_leader, QueryOutcome};
use port_worker::fleet::frame::OperatorQuery;
use serde_json::Value;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

const EXIT_REJECTED: u8 = 1;
const EXIT_INVALID_ARGUMENTS: u8 = 2;
const EXIT_NO_QUORUM: u8 = 3;
/// The maximum of `--wait` (seconds).
const MAX_WAIT_S: f64 = 3600.0;
/// Separates the columns of a table.
const COLUMN_SEPARATOR: &str = "  ";

#[derive(Parser)]
#[command(name = "fleetctl", version, about = "Queries and controls a fleet's coordinators")]
struct Arguments {
    /// Comma-separated addresses of the coordinators.
    #[arg(long, value_delimiter = ',', env = "HONEYPOST_COORDINATORS", required = true)]
    coordinators: Vec<SocketAddr>,
    /// The fleet's name.
    #[arg(long, env = "HONEYPOST_FLEET", default_value = "polderlijn")]
    fleet: String,
    /// Print JSON instead of tables.
    #[arg(long)]
    json: bool,
    /// How long to wait for a quorum (seconds, at most 3600).
    #[arg(long, default_value_t = 5.0)]
    wait: f64,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Show the status of each coordinator.
    Status,
    /// List the workers' sessions.
    Members,
    /// List the leases and their holders.
    Leases,
    /// List the tasks, their latest periods, and calls with an indeterminate outcome.
    Tasks,
    /// Show the fleet's shedding level, its load and capacity, and which worker probes a service.
    Overload,
    /// Pin the shedding level until --for has passed or the leader changes: admit all tiers above TIER, and SHARE of TIER.
    Pin {
        /// First tier that is not admitted in full; 0 is the highest.
        tier: usize,
        /// Share of that tier to admit (0 to 1).
        share: f32,
        /// How long to pin the level (seconds, at most 3600).
        #[arg(long = "for", default_value_t = 60.0)]
        for_s: f64,
    },
    /// Replace the member of a coordinator that has lost its disk with a new one.
    Replace {
        /// Name of the coordinator.
        coordinator: String,
    },
}

impl Command {
    /// Returns the query to send to the leader, or to every coordinator for its status.
    fn into_query(self) -> OperatorQuery {
        match self {
            Command::Status => OperatorQuery::Status,
            Command::Members => OperatorQuery::Members,
            Command::Leases => OperatorQuery::Leases,
            Command::Tasks => OperatorQuery::Tasks,
            Command::Overload => OperatorQuery::Overload,
            Command::Pin { tier, share, for_s } => OperatorQuery::Pin { tier, share, for_s },
            Command::Replace { coordinator } => OperatorQuery::Replace { coordinator },
        }
    }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let wait_s = arguments.wait;
    if !(0.0..=MAX_WAIT_S).contains(&wait_s) {
        eprintln!("fleetctl: --wait is {wait_s}; expected 0 to {MAX_WAIT_S}");
        return ExitCode::from(EXIT_INVALID_ARGUMENTS);
    }
    let timeout = Duration::from_secs_f64(wait_s);
    let coordinators = &arguments.coordinators;
    let outcome = match arguments.command.into_query() {
        OperatorQuery::Status => query_all(coordinators, &arguments.fleet, timeout),
        query => query_leader(coordinators, &arguments.fleet, &query, timeout),
    };
    match outcome {
        QueryOutcome::Answer(answer) => {
            print_answer(&answer, arguments.json);
            ExitCode::SUCCESS
        }
        QueryOutcome::Rejected(reason) => {
            eprintln!("fleetctl: refused: {reason}");
            ExitCode::from(EXIT_REJECTED)
        }
        QueryOutcome::NoQuorum(reason) => {
            eprintln!("fleetctl: no quorum within {wait_s} s: {reason}");
            ExitCode::from(EXIT_NO_QUORUM)
        }
    }
}

fn print_answer(answer: &Value, as_json: bool) {
    if as_json {
        println!("{answer}");
    } else {
        print!("{}", format_answer(answer));
    }
}

/// Formats lists of objects as tables, and the members of an object one after the other; other values as JSON.
fn format_answer(answer: &Value) -> String {
    match answer {
        Value::Array(rows) => format_table(rows),
        Value::Object(members) => members.iter().map(|(name, value)| format_member(name, value)).collect(),
        other => format!("{other}\n"),
    }
}

fn format_member(name: &str, value: &Value) -> String {
    let Value::Array(rows) = value else { return format!("{name}: {value}\n") };
    let table = format_table(rows);
    let indented: Vec<String> = table.lines().map(|line| format!("  {line}\n")).collect();
    format!("{name}:\n{}", indented.concat())
}

/// Formats a table with the first row's keys as columns.
fn format_table(rows: &[Value]) -> String {
    let Some(Value::Object(first)) = rows.first() else { return "none\n".to_owned() };
    let columns: Vec<&String> = first.keys().collect();
    let widths: Vec<usize> = columns.iter().map(|column| column_width(column, rows)).collect();
    let header: Vec<String> = columns.iter().map(|column| (*column).clone()).collect();
    let mut text = format_line(&header, &widths);
    for row in rows {
        let cells: Vec<String> = columns.iter().map(|column| format_cell(row.get(column.as_str()))).collect();
        text.push_str(&format_line(&cells, &widths));
    }
    text
}

fn column_width(column: &str, rows: &[Value]) -> usize {
    let widest_cell = rows.iter().map(|row| format_cell(row.get(column)).len()).max();
    widest_cell.unwrap_or(0).max(column.len())
}

fn format_line(cells: &[String], widths: &[usize]) -> String {
    let padded: Vec<String> =
        cells.iter().zip(widths).map(|(cell, width)| format!("{cell:width$}", width = *width)).collect();
    format!("{}\n", padded.join(COLUMN_SEPARATOR).trim_end())
}

fn format_cell(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => "-".to_owned(),
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    }
}
