//! Case 9: the link to the directory falls quiet and stays open; portals that keep asking are never served again.

mod ajp;
mod common;

use ajp::Request;
use common::*;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

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

// ---- a directory that speaks as much LDAP as the worker uses ----

/// Reads one BER element: its tag and content.
fn read_element(stream: &mut impl Read) -> Option<(u8, Vec<u8>)> {
    let mut head = [0; 2];
    stream.read_exact(&mut head).ok()?;
    let mut length = usize::from(head[1]);
    if length >= 0x80 {
        let mut bytes = vec![0; length & 0x7f];
        stream.read_exact(&mut bytes).ok()?;
        length = bytes.iter().fold(0, |length, byte| length << 8 | usize::from(*byte));
    }
    let mut content = vec![0; length];
    stream.read_exact(&mut content).ok()?;
    Some((head[0], content))
}

fn element(tag: u8, content: &[u8]) -> Vec<u8> {
    let mut bytes = vec![tag];
    match content.len() {
        length @ 0..=0x7f => bytes.push(length as u8),
        length => bytes.extend([0x82, (length >> 8) as u8, length as u8]),
    }
    bytes.extend_from_slice(content);
    bytes
}

/// A message with this operation; `id` is the encoded id of the request.
fn message(id: &[u8], operation: &[u8]) -> Vec<u8> {
    element(0x30, &[&element(0x02, id)[..], operation].concat())
}

fn result(tag: u8) -> Vec<u8> {
    element(tag, &[0x0a, 0x01, 0x00, 0x04, 0x00, 0x04, 0x00])
}

/// The directory: one entry for each portal. While `quiet` is set for a connection, nothing more is sent on it.
fn serve_directory(mut stream: TcpStream, tenants: &HashMap<String, &'static str>, quiet: &AtomicBool) {
    while let Some((_, content)) = read_element(&mut stream) {
        let mut rest = &content[..];
        let (Some((_, id)), Some((operation, request))) = (read_element(&mut rest), read_element(&mut rest)) else {
            return;
        };
        if quiet.load(Ordering::Relaxed) {
            continue;
        }
        let mut answer = Vec::new();
        match operation {
            0x60 => answer = message(&id, &result(0x61)),
            0x63 => {
                let text = String::from_utf8_lossy(&request).into_owned();
                let portal = tenants.keys().filter(|portal| text.contains(portal.as_str())).max_by_key(|p| p.len());
                if let Some(portal) = portal {
                    let values = element(0x31, &element(0x04, tenants[portal].as_bytes()));
                    let attribute = element(0x30, &[element(0x04, b"o"), values].concat());
                    let name = element(0x04, format!("uid={portal},dc=example").as_bytes());
                    let entry = element(0x64, &[name, element(0x30, &attribute)].concat());
                    answer.extend(message(&id, &entry));
                }
                answer.extend(message(&id, &result(0x65)));
            }
            _ => return,
        }
        if stream.write_all(&answer).is_err() {
            return;
        }
    }
}

/// Asks the directory as a client of its own; whether it answers within a second.
fn directory_answers(port: u16) -> bool {
    let ask = || -> Option<u8> {
        let mut stream = TcpStream::connect(("127.0.0.1", port)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        let bind = element(0x60, &[0x02, 0x01, 0x03, 0x04, 0x00, 0x80, 0x00]);
        stream.write_all(&message(&[1], &bind)).ok()?;
        let (_, content) = read_element(&mut stream)?;
        content.get(3).copied()
    };
    ask() == Some(0x61)
}

fn main() {
    begin();
    let folder = folder();
    let directory = TcpListener::bind("127.0.0.1:0").unwrap();
    let directory_port = directory.local_addr().unwrap().port();
    let tenants: HashMap<String, &'static str> =
        PORTALS.iter().map(|p| (p.to_string(), if p.contains("veenbel") { "veenbel" } else { "belwijs" })).collect();
    let tenants = Arc::new(tenants);
    // The connections that were open when the disruption came; they stay open.
    let links: Arc<Mutex<Vec<Arc<AtomicBool>>>> = Arc::default();
    let opened = links.clone();
    thread::spawn(move || {
        for stream in directory.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let quiet = Arc::new(AtomicBool::new(false));
            opened.lock().unwrap().push(quiet.clone());
            let tenants = tenants.clone();
            thread::spawn(move || serve_directory(stream, &tenants, &quiet));
        }
    });
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
        "[ajp]\nlisten = \"127.0.0.1:{ajp_port}\"\n[[ajp.route]]\npath = \"/portal/status\"\nclass = \"status-check\"\n\
         [directory]\naddress = \"127.0.0.1:{directory_port}\"\nbind_dn = \"cn=honeypost\"\nbind_password = \"secret\"\n\
         base = \"dc=example\"\nidentity = \"remote-user\"\nidentity_attribute = \"uid\"\ntenant_attribute = \"o\"\n\
         timeout_ms = 500\ncache_s = 5\ncache_entries = 1024\n"
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
        let links = links.lock().unwrap();
        note(&format!("the directory's {} open connections fall quiet and stay open", links.len()));
        links.iter().for_each(|quiet| quiet.store(true, Ordering::Relaxed));
    }
    sleep_ms(((END_S - LAST_S - QUIET_AT_S) * 1000.0) as u64);
    let reachable = directory_answers(directory_port);
    note(&format!("the directory answers a new client: {reachable}"));
    assert!(reachable, "the directory does not answer");
    portals.into_iter().for_each(|portal| portal.join().unwrap());
    let opened = links.lock().unwrap().len();
    worker.retire("worker", 3200);

    let (asked, served) = (asked_late.load(Ordering::Relaxed), served_late.load(Ordering::Relaxed));
    assert!(served_early.load(Ordering::Relaxed) > 20, "the portals were not served before the disruption");
    let text = format!(
        "in the last {LAST_S} s of {END_S} {served} of {asked} requests were served; the directory was connected to {opened} \
         times, with the case's own one"
    );
    verdict(served == 0, &text);
}
