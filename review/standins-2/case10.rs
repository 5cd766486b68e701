//! Case 10: an order is refused with 503 although it has run: its try over AJP waits for a slow directory, its repeat over
//! HTTP runs meanwhile.

mod ajp;
mod common;
mod ldap;

use ajp::Request;
use common::*;
use ldap::Directory;
use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;

const ORDERS: usize = 8;
/// How long a search takes while the directory is slow (milliseconds). The worker waits for 500 ms.
const SLOW_MS: u64 = 1500;
/// When the client repeats its order over HTTP (milliseconds after its first try).
const REPEAT_AFTER_MS: u64 = 250;

fn main() {
    begin();
    let folder = folder();
    // When the run of each order ended (seconds).
    let ended: Arc<Mutex<HashMap<Vec<u8>, Vec<f64>>>> = Arc::default();
    let seen = ended.clone();
    let executor = Executor::start(
        "executor",
        move |exec| {
            let (body, seen) = (exec.body.clone(), seen.clone());
            let result = move |_: &[u8]| {
                seen.lock().unwrap().entry(body.clone()).or_default().push(elapsed());
                [b"placed: ", &body[..]].concat()
            };
            Plan { before_ms: 80, call: None, after_ms: 0, result: Box::new(result) }
        },
        |_, _| {},
    );
    let directory = Directory::start(HashMap::from([("portal-veenbel".to_owned(), "veenbel")]));
    let records = start_records(|_, _| vec![(10, ok_reply(b"yes"))]);
    let registry = start_registry();
    let (listen, ajp_port) = (free_port(), free_port());
    let config = format!("{folder}/config.json");
    write_config(&config, &Addresses { listen, executor: executor.port, records, registry }, &["belwijs", "veenbel"]);
    let operator = format!(
        "[ajp]\nlisten = \"127.0.0.1:{ajp_port}\"\n[[ajp.route]]\npath = \"/portal/submit\"\nclass = \"port-submit\"\n{}",
        ldap::block(directory.port, 60)
    );
    let operator_file = format!("{folder}/operator.toml");
    std::fs::write(&operator_file, operator).unwrap();
    let worker = start_worker("worker", &config, &folder, None, &format!("--operator {operator_file}"));
    worker.wait_ready("worker");
    if trouble() {
        note("the directory is slow from now on");
        directory.search_ms.store(SLOW_MS, Ordering::Relaxed);
    }

    let mut refused = 0;
    for number in 0..ORDERS {
        let key = format!("{:032x}", random());
        let body = format!("order {number}").into_bytes();
        let (first_key, first_body) = (key.clone(), body.clone());
        let first = thread::spawn(move || {
            let headers = [("X-Operation-Key", &first_key[..])];
            let request = Request { path: "/portal/submit", user: "portal-veenbel", headers: &headers, body: &first_body };
            note(&format!("order {number}: first try, over AJP, is sent"));
            let status = ajp::ask(&mut ajp::connect(ajp_port), &request).map(|answer| answer.status);
            note(&format!("order {number}: first try, over AJP: {status:?}"));
            (status, elapsed())
        });
        sleep_ms(REPEAT_AFTER_MS);
        let repeat = Try {
            id: new_id(),
            class: "port-submit",
            tenant: "veenbel",
            deadline_ms: 3000,
            key: Some(key),
            resent: true,
            body: body.clone(),
        };
        note(&format!("order {number}: second try, over HTTP, is sent"));
        let second = repeat.send(listen).map(|response| response.status);
        note(&format!("order {number}: second try, over HTTP: {second:?}"));
        let (first, answered_at) = first.join().unwrap();
        assert!(second == Some(200), "the repeat over HTTP is not served");
        let runs = ended.lock().unwrap().get(&body).cloned().unwrap_or_default();
        let ran_before = runs.iter().any(|at| *at + 0.05 < answered_at);
        if first == Some(503) && ran_before {
            note(&format!("order {number}: refused at {answered_at:.3}, ran at {:.3}", runs[0]));
            refused += 1;
        }
        sleep_ms(1200);
    }
    worker.retire("worker", 3200);
    verdict(refused > 0, &format!("{refused} of {ORDERS} orders were refused after they had run"));
}
