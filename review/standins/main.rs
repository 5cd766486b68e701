//! The platform and the stand-ins of the review's cases: `standins CASE FOLDER`.
//!
//! A case starts the worker with the command of the deploy file, plays the platform, the clients and the servers around it on
//! loopback, and writes what was sent, answered and run to `FOLDER/record.txt`. Exit status: 0 if the rule held, 1 if it was
//! broken, 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod ajp;
mod client;
mod directory;
mod executor;
mod platform;
mod services;
mod world;

mod case_directory;
mod case_stop_time;
mod case_unknown_keys;

use std::path::PathBuf;
use std::process::exit;
use std::time::Duration;

/// A case that takes longer than this is ended with status 2.
const TIME_LIMIT: Duration = Duration::from_secs(115);

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: standins CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let world = match world::World::new(&PathBuf::from(folder).join("record.txt")) {
        Ok(world) => world,
        Err(error) => {
            eprintln!("can't write the record: {error}");
            exit(2);
        }
    };
    world.note(&format!("case {case}, trouble {}", if trouble { "on" } else { "off" }));
    // The case runs on a thread of its own, so that a time limit and a panic both end all processes.
    let (sender, receiver) = std::sync::mpsc::channel();
    let case_world = world.clone();
    let name = case.clone();
    std::thread::spawn(move || {
        let result = match name.as_str() {
            "unknown-keys" => case_unknown_keys::run(&case_world, trouble),
            "directory" => case_directory::run(&case_world, trouble),
            "stop-time" => case_stop_time::run(&case_world, trouble),
            _ => Err(format!("unknown case {name}")),
        };
        let _ = sender.send(result);
    });
    let result = receiver.recv_timeout(TIME_LIMIT);
    world.end_processes();
    let status = match result {
        Ok(Ok(Verdict::Held)) => 0,
        Ok(Ok(Verdict::Broken)) => 1,
        Ok(Err(reason)) => {
            world.note(&format!("the case could not run: {reason}"));
            2
        }
        Err(_) => {
            world.note("the case did not end, or a stand-in failed");
            2
        }
    };
    world.note(&format!("status {status}"));
    world.remove_folder();
    exit(status);
}
