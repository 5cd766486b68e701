//! Case 7: a portal's second try of an order comes within the window while the process stalls for a moment, and runs again.

mod ajp;
mod common;

use ajp::Request;
use common::*;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

const ORDERS: usize = 4;
/// How long an order runs: a little longer than the 3.4 s that its caller waits (milliseconds).
const RUN_MS: u64 = 3600;
/// When the stall begins, when the orders are tried again, and when the stall ends (milliseconds after the first tries). The
/// window is 10,191 ms.
const STALL_AT_MS: u64 = 9300;
const RETRY_AT_MS: u64 = 9500;
const STALL_ENDS_MS: u64 = 10_600;

const SIGSTOP: i32 = 19;
const SIGCONT: i32 = 18;

fn order(port: u16, number: usize, key: &str, resent: bool) -> Option<u16> {
    let mut headers = vec![("X-Operation-Key", key)];
    if resent {
        headers.push(("X-Resent", "1"));
    }
    let body = format!("order {number}");
    let request = Request { path: "/portal/submit", user: "veenbel-portal", headers: &headers, body: body.as_bytes() };
    let mut stream = ajp::connect(port);
    ajp::ask(&mut stream, &request).map(|answer| answer.status)
}

fn main() {
    begin();
    let folder = folder();
    let runs: Arc<Mutex<HashMap<Vec<u8>, Vec<String>>>> = Arc::default();
    let seen = runs.clone();
    let executor = Executor::start(
        "executor",
        move |exec| {
            let is_order = exec.class == "port-submit";
            if is_order {
                seen.lock().unwrap().entry(exec.body.clone()).or_default().push(exec.job.clone());
            }
            let result = [b"done: ", &exec.body[..]].concat();
            let before_ms = if is_order { RUN_MS } else { 30 };
            Plan { before_ms, call: None, after_ms: 0, result: Box::new(move |_| result.clone()) }
        },
        |_, _| {},
    );
    let records = start_records(|_, _| vec![(10, ok_reply(b"yes"))]);
    let registry = start_registry();
    let (listen, ajp_port) = (free_port(), free_port());
    let config = format!("{folder}/config.json");
    write_config(&config, &Addresses { listen, executor: executor.port, records, registry }, &["belwijs", "veenbel"]);
    let operator = format!(
        "[ajp]\nlisten = \"127.0.0.1:{ajp_port}\"\n[[ajp.route]]\npath = \"/portal/submit\"\nclass = \"port-submit\"\n\
         [[ajp.tenant]]\nremote_user = \"veenbel-portal\"\ntenant = \"veenbel\"\n"
    );
    let operator_file = format!("{folder}/operator.toml");
    std::fs::write(&operator_file, operator).unwrap();
    let worker = start_worker("worker", &config, &folder, None, &format!("--operator {operator_file}"));
    worker.wait_ready("worker");

    // Usual traffic beside the orders.
    let done = Arc::new(AtomicBool::new(false));
    let ended = done.clone();
    let router = thread::spawn(move || {
        let mut served = 0;
        while !ended.load(Ordering::Relaxed) {
            let request = Try {
                id: new_id(),
                class: "status-check",
                tenant: "belwijs",
                deadline_ms: 4700,
                key: None,
                resent: false,
                body: b"number 0612345678".to_vec(),
            };
            served += usize::from(request.send(listen).is_some_and(|response| response.status == 200));
            sleep_ms(100);
        }
        served
    });
    sleep_ms(1000);

    let began = unix_ms();
    let until = |ms: u64| sleep_ms((began + ms).saturating_sub(unix_ms()));
    let keys: Vec<String> = (0..ORDERS).map(|_| format!("{:032x}", random())).collect();
    let try_all = |resent: bool| -> Vec<_> {
        let send = |(number, key): (usize, &String)| {
            let key = key.clone();
            thread::spawn(move || {
                let word = if resent { "second" } else { "first" };
                note(&format!("order {number}: {word} try is sent"));
                let status = order(ajp_port, number, &key, resent);
                note(&format!("order {number}: {word} try: {status:?}"));
                status
            })
        };
        keys.iter().enumerate().map(send).collect()
    };
    let firsts: Vec<Option<u16>> = try_all(false).into_iter().map(|sent| sent.join().unwrap()).collect();
    assert!(firsts.iter().all(|status| *status == Some(504)), "expected 504 for each first try: {firsts:?}");
    assert!(runs.lock().unwrap().len() == ORDERS, "not every order has run");
    until(STALL_AT_MS);
    if trouble() {
        note("the process stalls (SIGSTOP)");
        worker.signal(SIGSTOP);
    }
    until(RETRY_AT_MS);
    let seconds = try_all(true);
    until(STALL_ENDS_MS);
    if trouble() {
        worker.signal(SIGCONT);
        note("the stall is over (SIGCONT)");
    }
    let seconds: Vec<Option<u16>> = seconds.into_iter().map(|sent| sent.join().unwrap()).collect();
    done.store(true, Ordering::Relaxed);
    let served = router.join().unwrap();
    assert!(served > 20, "the usual traffic was not served");
    worker.retire("worker", 5000);

    let runs = runs.lock().unwrap();
    let mut twice = 0;
    for (body, jobs) in runs.iter() {
        note(&format!("{}: {} runs: {}", String::from_utf8_lossy(body), jobs.len(), jobs.join(", ")));
        twice += usize::from(jobs.len() > 1);
    }
    let refused = seconds.iter().filter(|status| **status == Some(503)).count();
    let text = format!(
        "of {ORDERS} orders, tried again {:.1} s after their first try, {twice} ran twice and {refused} were refused after they ran",
        RETRY_AT_MS as f64 / 1000.0
    );
    verdict(twice + refused > 0, &text);
}
