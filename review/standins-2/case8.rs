//! Case 8: a second copy of a reply of the records service, which comes late, is taken for the reply to another run's call.

mod common;

use common::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// One in this many replies is followed by a second copy.
const COPY_EVERY: usize = 20;
/// How long after the reply its second copy comes (milliseconds).
const COPY_AFTER_MS: u64 = 30;
const ROUTERS: usize = 3;
const SECONDS: f64 = 20.0;

fn main() {
    begin();
    let folder = folder();
    let calls = AtomicUsize::new(0);
    let records = start_records(move |run, _| {
        let reply = ok_reply(format!("record of {run}").as_bytes());
        let call = calls.fetch_add(1, Ordering::Relaxed) + 1;
        if trouble() && call % COPY_EVERY == 0 {
            note(&format!("records: call of {run}: the reply, and a second copy {COPY_AFTER_MS} ms later"));
            return vec![(15, reply.clone()), (COPY_AFTER_MS, reply)];
        }
        vec![(15, reply)]
    });
    let changed = Arc::new(Mutex::new(Vec::new()));
    let observed = changed.clone();
    let executor = Executor::start(
        "executor",
        |exec| {
            let job = exec.job.clone();
            // The answer that the client gets holds what the run was told about its number.
            let result = move |reply: &[u8]| {
                let reply = if reply.is_empty() { b"record left out" } else { reply };
                [format!("status for {job}: ").as_bytes(), reply].concat()
            };
            Plan { before_ms: 20, call: Some(b"number?".to_vec()), after_ms: 10, result: Box::new(result) }
        },
        move |job, reply| {
            let expected = format!("record of {job}");
            if reply.is_some_and(|reply| reply != expected.as_bytes()) {
                let got = String::from_utf8_lossy(reply.unwrap_or_default()).into_owned();
                note(&format!("executor: the run of {job} gets the reply '{got}'"));
                observed.lock().unwrap().push(job.to_owned());
            }
        },
    );
    let registry = start_registry();
    let listen = free_port();
    let config = format!("{folder}/config.json");
    let addresses = Addresses { listen, executor: executor.port, records, registry };
    write_config(&config, &addresses, &["belwijs", "veenbel"]);
    let worker = start_worker("worker", &config, &folder, None, "");
    worker.wait_ready("worker");

    let foreign = Arc::new(AtomicUsize::new(0));
    let served = Arc::new(AtomicUsize::new(0));
    let sent = Arc::new(AtomicUsize::new(0));
    let until = elapsed() + SECONDS;
    let routers: Vec<_> = (0..ROUTERS)
        .map(|router| {
            let (foreign, served, sent) = (foreign.clone(), served.clone(), sent.clone());
            thread::spawn(move || {
                while elapsed() < until {
                    let request = Try {
                        id: new_id(),
                        class: if router == 0 { "eligibility" } else { "status-check" },
                        tenant: "belwijs",
                        deadline_ms: 4700,
                        key: None,
                        resent: false,
                        body: b"number 0612345678".to_vec(),
                    };
                    sent.fetch_add(1, Ordering::Relaxed);
                    let response = request.send(listen);
                    let text = response.as_ref().map(|r| String::from_utf8_lossy(&r.body).into_owned());
                    note(&format!("{}: {:?} {text:?}", request.id, response.as_ref().map(|r| r.status)));
                    if response.is_some_and(|response| response.status == 200) {
                        served.fetch_add(1, Ordering::Relaxed);
                        let text = text.unwrap_or_default();
                        let own = text.ends_with(&format!("record of {}", request.id));
                        if !own && !text.ends_with("record left out") {
                            foreign.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                    // Random, so that the routers do not run in step.
                    sleep_ms(random() % 40);
                }
            })
        })
        .collect();
    routers.into_iter().for_each(|router| router.join().unwrap());
    worker.retire("worker", 3200);

    let (foreign, served) = (foreign.load(Ordering::Relaxed), served.load(Ordering::Relaxed));
    let sent = sent.load(Ordering::Relaxed);
    assert!(served > 100, "only {served} requests were served");
    let changed = changed.lock().unwrap().len();
    // On days with bad peers three in a thousand requests may be lost.
    let broken = changed * 1000 > sent * 3;
    let text = format!(
        "of {sent} requests {served} were served; {changed} runs got the reply to another run's call, and {foreign} clients \
         another request's data"
    );
    verdict(broken, &text);
}
