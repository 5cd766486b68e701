//! Case 6: after a redeploy with another list of tenants, the next replacement of the process runs orders twice.

mod common;

use common::*;
use std::collections::HashMap;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::thread;

/// Orders that are sent before the second replacement: so many at once, so many times.
const AT_ONCE: usize = 5;
const WAVES: usize = 4;
/// From SIGTERM to SIGKILL of a replaced process: 3 s (the longest deadline is longer) and 0.7 s.
const KILL_MS: u64 = 3700;

/// A run of an order, as the executor's machine sees it.
struct Run {
    process: &'static str,
    job: String,
}

type Runs = Arc<Mutex<HashMap<Vec<u8>, Vec<Run>>>>;

/// An executor address of one process; the machine behind all addresses is the same.
fn executor(process: &'static str, runs: &Runs) -> Executor {
    let runs = runs.clone();
    Executor::start(
        process,
        move |exec| {
            let mut runs = runs.lock().unwrap();
            runs.entry(exec.body.clone()).or_default().push(Run { process, job: exec.job.clone() });
            let result = [b"placed: ", &exec.body[..]].concat();
            let slow = exec.body.starts_with(b"slow");
            let before_ms = if slow { 550 } else { 100 };
            Plan { before_ms, call: None, after_ms: 0, result: Box::new(move |_| result.clone()) }
        },
        |_, _| {},
    )
}

fn main() {
    begin();
    let folder = folder();
    let runs = Runs::default();
    let records = start_records(|_, _| vec![(10, ok_reply(b"yes"))]);
    let registry = start_registry();
    // The platform holds the clients' listening socket.
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    socket.set_nonblocking(true).unwrap();
    let listen = socket.local_addr().unwrap().port();
    let config = format!("{folder}/config.json");
    let start = |name: &'static str, tenants: &[&str]| {
        let executor = executor(name, &runs).port;
        write_config(&config, &Addresses { listen, executor, records, registry }, tenants);
        let worker = start_worker(name, &config, &folder, Some(&socket), "");
        worker.wait_ready(name);
        worker
    };

    let before: &[&str] = &["belwijs", "veenbel"];
    let after: &[&str] = if trouble() { &["belwijs", "veenbel", "dijktel"] } else { before };
    let a = start("process-a", before);
    note(&format!("first replacement; tenants now: {after:?}"));
    let b = start("process-b", after);
    a.retire("process-a", KILL_MS);

    // The effects of the first replacement pass: a window of 10.191 s and more.
    sleep_ms(11_500);
    for number in 0..3 {
        let body = format!("quick order {number}").into_bytes();
        let order = Try {
            id: new_id(),
            class: "port-submit",
            tenant: "belwijs",
            deadline_ms: 2000,
            key: Some(format!("{:032x}", random())),
            resent: false,
            body,
        };
        let status = order.send(listen).map(|response| response.status);
        note(&format!("quick order {number}: {status:?}"));
        assert!(status == Some(200), "process-b does not serve");
    }

    // Orders whose router waits 0.45 s for the first try; their run takes 0.55 s.
    let mut orders = Vec::new();
    for number in 0..WAVES * AT_ONCE {
        if number > 0 && number % AT_ONCE == 0 {
            sleep_ms(600);
        }
        let order = Try {
            id: new_id(),
            class: "port-submit",
            tenant: "belwijs",
            deadline_ms: 450,
            key: Some(format!("{:032x}", random())),
            resent: false,
            body: format!("slow order {number}").into_bytes(),
        };
        let sent = order.clone();
        let first = thread::spawn(move || {
            note(&format!("order {number}: first try {} is sent", sent.id));
            let status = sent.send(listen).map(|response| response.status);
            note(&format!("order {number}: first try: {status:?}"));
            status
        });
        orders.push((order, first));
    }
    sleep_ms(100);
    note("second replacement; nothing has changed");
    let c = start("process-c", after);
    let retired = thread::spawn(move || b.retire("process-b", KILL_MS));

    // Each client tries again, within its 3.4 s and the window of 10.191 s.
    let mut retries = Vec::new();
    for (number, (order, first)) in orders.into_iter().enumerate() {
        let status = first.join().unwrap();
        if status == Some(200) || status == Some(503) {
            continue;
        }
        retries.push(thread::spawn(move || {
            sleep_ms(100);
            let retry = Try { id: new_id(), resent: true, deadline_ms: 1000, ..order };
            note(&format!("order {number}: second try {} is sent", retry.id));
            let status = retry.send(listen).map(|response| response.status);
            note(&format!("order {number}: second try: {status:?}"));
        }));
    }
    let tried_again = retries.len();
    assert!(tried_again > 0, "no order had to be tried again");
    retries.into_iter().for_each(|retry| retry.join().unwrap());
    retired.join().unwrap();
    c.retire("process-c", 5000);

    let runs = runs.lock().unwrap();
    let mut twice = 0;
    for (body, runs) in runs.iter() {
        let list: Vec<String> = runs.iter().map(|run| format!("{} at {}", run.job, run.process)).collect();
        note(&format!("{}: {} runs: {}", String::from_utf8_lossy(body), runs.len(), list.join(", ")));
        twice += usize::from(runs.len() > 1);
    }
    verdict(twice > 0, &format!("{twice} of {tried_again} orders that were tried again ran twice within their window"));
}
