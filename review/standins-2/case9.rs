//! Case 9: the link to the directory falls quiet and stays open; portals that keep asking are never served again.

mod ajp;
mod common;
mod ldap;

use ajp::Request;
use common::*;
use ldap::Directory;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;

const PORTALS: [&str; 3] = ["portal-belwijs", "portal-veenbel", "portal-belwijs-2"];
/// Connections of each portal's web server.
const CONNECTIONS: usize = 10;
/// Mean pause between two requests on a connection (milliseconds).
const PAUSE_MS: u64 = 300;
/// When the link falls quiet, and when the case ends (seconds after the first request).
const QUIET_AT_S: f64 = 6.0;
const END_S: f64 = 60.0;
/// The rule is judged by the requests of this last part (seconds).
const LAST_S: f64 = 20.0;

fn main() {
    begin();
    let folder = folder();
    let tenant_of = |portal: &str| if portal.contains("veenbel") { "veenbel" } else { "belwijs" };
    let directory = Directory::start(PORTALS.iter().map(|p| (p.to_string(), tenant_of(p))).collect());
    let executor = Executor::start(
        "executor",
        |exec| {
            let job = exec.job.clone();
            let result = move |_: &[u8]| format!("status for {job}").into_bytes();
            Plan { before_ms: 20, call: None, after_ms: 0, result: Box::new(result) }
        },
        |_, _| {},
    );
    let records = start_records(|_, _| vec![(10, ok_reply(b"yes"))]);
    let registry = start_registry();
    let (listen, ajp_port) = (free_port(), free_port());
    let config = format!("{folder}/config.json");
    write_config(&config, &Addresses { listen, executor: executor.port, records, registry }, &["belwijs", "veenbel"]);
    // The settings of deploy/ajp.toml, but a result is cached for 5 s.
    let operator = format!(
        "[ajp]\nlisten = \"127.0.0.1:{ajp_port}\"\n[[ajp.route]]\npath = \"/portal/status\"\nclass = \"status-check\"\n{}",
        ldap::block(directory.port, 5)
    );
    let operator_file = format!("{folder}/operator.toml");
    std::fs::write(&operator_file, operator).unwrap();
    let worker = start_worker("worker", &config, &folder, None, &format!("--operator {operator_file}"));
    worker.wait_ready("worker");

    let began = elapsed();
    let served_early = Arc::new(AtomicUsize::new(0));
    let (asked_late, served_late) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let portals: Vec<_> = PORTALS
        .iter()
        .flat_map(|portal| std::iter::repeat_n(portal, CONNECTIONS))
        .map(|portal| {
            let (early, asked, served) = (served_early.clone(), asked_late.clone(), served_late.clone());
            thread::spawn(move || {
                let mut link: Option<TcpStream> = None;
                while elapsed() - began < END_S {
                    let at = elapsed() - began;
                    let mut stream = link.take().unwrap_or_else(|| ajp::connect(ajp_port));
                    let request = Request { path: "/portal/status", user: portal, headers: &[], body: b"" };
                    let answer = ajp::ask(&mut stream, &request).map(|answer| (answer.status, answer.reuse));
                    note(&format!("{portal}: {:?}", answer.map(|(status, _)| status)));
                    let is_served = answer.is_some_and(|(status, _)| status == 200);
                    if at >= END_S - LAST_S {
                        asked.fetch_add(1, Ordering::Relaxed);
                        served.fetch_add(usize::from(is_served), Ordering::Relaxed);
                    } else if at < QUIET_AT_S {
                        early.fetch_add(usize::from(is_served), Ordering::Relaxed);
                    }
                    if answer.is_some_and(|(_, reuse)| reuse) {
                        link = Some(stream);
                    }
                    sleep_ms(PAUSE_MS / 2 + random() % PAUSE_MS);
                }
            })
        })
        .collect();
    sleep_ms((QUIET_AT_S * 1000.0) as u64);
    if trouble() {
        let links = directory.quiet.lock().unwrap();
        note(&format!("the directory's {} open connections fall quiet and stay open", links.len()));
        links.iter().for_each(|quiet| quiet.store(true, Ordering::Relaxed));
    }
    sleep_ms(((END_S - LAST_S - QUIET_AT_S) * 1000.0) as u64);
    let reachable = directory.answers();
    note(&format!("the directory answers a new client: {reachable}"));
    assert!(reachable, "the directory does not answer");
    portals.into_iter().for_each(|portal| portal.join().unwrap());
    let opened = directory.quiet.lock().unwrap().len();
    worker.retire("worker", 3200);

    let (asked, served) = (asked_late.load(Ordering::Relaxed), served_late.load(Ordering::Relaxed));
    assert!(served_early.load(Ordering::Relaxed) > 20, "the portals were not served before the disruption");
    let text = format!(
        "in the last {LAST_S} s of {END_S} {served} of {asked} requests were served; the directory was connected to {opened} \
         times, with the case's own one"
    );
    verdict(served == 0, &text);
}
