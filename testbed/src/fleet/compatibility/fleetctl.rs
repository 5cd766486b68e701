//! Compares the output of `fleetctl` of both builds about the same fleet.

use super::{Build, CheckResult};
use crate::error::TestbedError;
use crate::fleet::rig::Rig;
use serde_json::{Map, Value};
use std::process::Command;

/// Queries of `fleetctl`, all of them read-only.
const QUERIES: [&str; 5] = ["status", "members", "leases", "tasks", "overload"];
/// Number of comparisons after which the answers to a query count as different. One comparison is not enough, since a lease
/// that moves between the calls of the two builds also makes the answers differ.
const MAX_ATTEMPTS: usize = 5;

/// Runs each query with both builds; `stage` names the state of the fleet in the result.
pub(super) fn check(old: &Build, new: &Build, rig: &Rig, stage: &str) -> Result<CheckResult, TestbedError> {
    let mut differences = Vec::new();
    for query in QUERIES {
        let mut difference = None;
        for _ in 0..MAX_ATTEMPTS {
            difference = compare(old, new, rig, query)?;
            if difference.is_none() {
                break;
            }
        }
        differences.extend(difference);
    }
    let passed = differences.is_empty();
    let observed = if passed {
        format!("{} queries, same answers and columns", QUERIES.len())
    } else {
        differences.join("; ")
    };
    Ok(CheckResult { subject: format!("fleetctl of both builds, {stage}"), passed, observed })
}

/// Returns the difference between the answers of both builds to a query; numbers, which change with time, are ignored.
fn compare(old: &Build, new: &Build, rig: &Rig, query: &str) -> Result<Option<String>, TestbedError> {
    let tables = (run(old, rig, &[query])?, run(new, rig, &[query])?);
    let columns = (columns(&tables.0), columns(&tables.1));
    if columns.0 != columns.1 {
        return Ok(Some(format!("{query}: columns {:?} and {:?}", columns.0, columns.1)));
    }
    let texts = (run(old, rig, &["--json", query])?, run(new, rig, &["--json", query])?);
    let answers = (parse(&texts.0)?, parse(&texts.1)?);
    if answers.0 != answers.1 {
        return Ok(Some(format!("{query}: {} and {}", texts.0.trim(), texts.1.trim())));
    }
    Ok(None)
}

fn run(build: &Build, rig: &Rig, arguments: &[&str]) -> Result<String, TestbedError> {
    let addresses: Vec<String> = rig.coordinator_addresses().iter().map(ToString::to_string).collect();
    let output = Command::new(&build.fleetctl)
        .args(["--fleet", &rig.file.fleet, "--coordinators", &addresses.join(",")])
        .args(arguments)
        .output()
        .map_err(TestbedError::file(&build.fleetctl))?;
    if output.status.success() {
        Ok(String::from_utf8_lossy(&output.stdout).into_owned())
    } else {
        Err(TestbedError::Fleetctl {
            arguments: arguments.join(" "),
            status: output.status,
            message: String::from_utf8_lossy(&output.stderr).trim().to_owned(),
        })
    }
}

/// Returns the column headings of a table.
pub(super) fn columns(table: &str) -> Vec<String> {
    table.lines().next().unwrap_or_default().split_whitespace().map(str::to_owned).collect()
}

fn parse(text: &str) -> Result<Value, TestbedError> {
    Ok(without_numbers(serde_json::from_str(text)?))
}

/// Replaces all numbers by a placeholder.
pub(super) fn without_numbers(value: Value) -> Value {
    match value {
        Value::Number(_) => Value::from("number"),
        Value::Array(items) => Value::Array(items.into_iter().map(without_numbers).collect()),
        Value::Object(members) => {
            let members: Map<String, Value> =
                members.into_iter().map(|(name, member)| (name, without_numbers(member))).collect();
            Value::Object(members)
        }
        other => other,
    }
}
