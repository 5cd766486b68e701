//! The operators' command line of a fleet. Exit status: 0 done, 1 refused, 2 can't be used, 3 no quorum in time.

use clap::{Parser, Subcommand};
use fleet_coordinator::client::{ask_all, ask_leader, QueryOutcome};
use port_worker::fleet::frame::OperatorQuery;
use serde_json::Value;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

#[derive(Parser)]
#[command(name = "fleetctl", version, about = "Asks a fleet's coordinators")]
struct Arguments {
    /// Their addresses, with commas between.
    #[arg(long, value_delimiter = ',', env = "HONEYPOST_COORDINATORS", required = true)]
    coordinators: Vec<SocketAddr>,
    /// The fleet's name.
    #[arg(long, env = "HONEYPOST_FLEET", default_value = "polderlijn")]
    fleet: String,
    /// One JSON value instead of a table.
    #[arg(long)]
    json: bool,
    /// How long a quorum is waited for (seconds).
    #[arg(long, default_value_t = 5.0)]
    wait: f64,
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// How each coordinator stands.
    Status,
    /// Which workers are in session.
    Members,
    /// Who holds what.
    Leases,
    /// Tasks, their latest periods, and calls whose outcome nobody knows.
    Tasks,
    /// How deep the fleet sheds, what is short of it, and who tries a service again.
    Overload,
    /// Sets how deep the fleet sheds, for a while or until the leader changes: tiers before TIER are let in, and SHARE of it.
    Pin {
        tier: usize,
        share: f32,
        /// For how long (seconds).
        #[arg(long = "for", default_value_t = 60.0)]
        for_s: f64,
    },
    /// Puts a fresh member in the place of a coordinator that has lost its disk.
    Replace { coordinator: String },
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    if !(0.0..=3600.0).contains(&arguments.wait) {
        eprintln!("fleetctl: --wait is {}; expected 0 to 3600", arguments.wait);
        return ExitCode::from(2);
    }
    let wait = Duration::from_secs_f64(arguments.wait);
    let (all, fleet) = (&arguments.coordinators, arguments.fleet.as_str());
    let asked = match &arguments.what {
        What::Status => ask_all(all, fleet, wait),
        What::Members => ask_leader(all, fleet, &OperatorQuery::Members, wait),
        What::Leases => ask_leader(all, fleet, &OperatorQuery::Leases, wait),
        What::Tasks => ask_leader(all, fleet, &OperatorQuery::Tasks, wait),
        What::Overload => ask_leader(all, fleet, &OperatorQuery::Overload, wait),
        What::Pin { tier, share, for_s } => {
            ask_leader(all, fleet, &OperatorQuery::Pin { tier: *tier, share: *share, for_s: *for_s }, wait)
        }
        What::Replace { coordinator } => {
            ask_leader(all, fleet, &OperatorQuery::Replace { coordinator: coordinator.clone() }, wait)
        }
    };
    match asked {
        QueryOutcome::Answer(answer) => {
            if arguments.json {
                println!("{answer}");
            } else {
                print!("{}", table(&answer));
            }
            ExitCode::SUCCESS
        }
        QueryOutcome::Refused(why) => {
            eprintln!("fleetctl: refused: {why}");
            ExitCode::from(1)
        }
        QueryOutcome::NoQuorum(why) => {
            eprintln!("fleetctl: no quorum within {} s: {why}", arguments.wait);
            ExitCode::from(3)
        }
    }
}

/// Rows of objects as columns; what is no list of objects is printed as it is.
fn table(answer: &Value) -> String {
    let mut text = String::new();
    match answer {
        Value::Array(rows) => {
            let Some(Value::Object(first)) = rows.first() else { return "none\n".to_owned() };
            let names: Vec<&String> = first.keys().collect();
            let cell = |v: Option<&Value>| match v {
                None | Some(Value::Null) => "-".to_owned(),
                Some(Value::String(s)) => s.clone(),
                Some(other) => other.to_string(),
            };
            let wide = |n: &&String| {
                let cells = rows.iter().map(|r| cell(r.get(n.as_str())).len());
                cells.max().unwrap_or(0).max(n.len())
            };
            let widths: Vec<usize> = names.iter().map(wide).collect();
            let mut line = |cells: Vec<String>| {
                let padded: Vec<String> =
                    cells.iter().zip(&widths).map(|(c, w)| format!("{c:w$}", w = *w)).collect();
                text.push_str(padded.join("  ").trim_end());
                text.push('\n');
            };
            line(names.iter().map(|n| (*n).clone()).collect());
            for row in rows {
                line(names.iter().map(|n| cell(row.get(n.as_str()))).collect());
            }
        }
        Value::Object(parts) => {
            for (name, part) in parts {
                match part {
                    Value::Array(_) => {
                        text.push_str(&format!("{name}:\n"));
                        table(part).lines().for_each(|l| text.push_str(&format!("  {l}\n")));
                    }
                    other => text.push_str(&format!("{name}: {other}\n")),
                }
            }
        }
        other => text = format!("{other}\n"),
    }
    text
}
