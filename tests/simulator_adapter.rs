//! The simulator adapter, with lines written for these tests.

use port_worker::simulator_adapter::SimulatorAdapter;

fn provision(worker: u64, extra: &str) -> String {
    format!(
        r#"{{"clockS":1.0,"workers":[{{"workerId":{worker},"items":[{{"cmd":"Provision","prng":3,"options":{{"unknownKey":[1,2],"domain":{{"nCores":2,"heapKb":90000.0,"runFactor":4.0,"entryKb":10.0,"ownStats":["cpu_busy","runnable"]{extra}}},"contract":{{"fallMultiple":5.0,"tipAfterS":2.0,"drainGraceS":1.0}},"profiles":[{{"credit":1.0,"deadlineS":3.0,"effect":"safe","targetS":1.0}},{{"credit":5.0,"deadlineS":3.0,"effect":"keyed","targetS":1.0,"windowS":8.0}}],"servers":2,"periodS":0.002}}}}]}}]}}"#
    )
}

fn items(clock: f64, worker: u64, items: &str) -> String {
    format!(r#"{{"clockS":{clock},"workers":[{{"workerId":{worker},"items":[{items}]}}]}}"#)
}

const REQ: &str = r#"{"cmd":"Req","req":"a","tierClass":0,"kb":5.0,"queuedForS":0.001}"#;

#[test]
fn empty_batch_gets_an_empty_reply() {
    let mut adapter = SimulatorAdapter::default();
    assert_eq!(adapter.handle_line(r#"{"clockS":2.0,"workers":[]}"#).unwrap(), "{\"workers\":[]}\n");
}

#[test]
fn request_is_admitted_and_its_end_is_accepted() {
    let mut adapter = SimulatorAdapter::default();
    let reply = adapter.handle_line(&provision(3, "")).unwrap();
    assert!(reply.contains(r#""cmd":"Fitness","want":true,"fromState":true"#), "{reply}");
    assert!(reply.contains(r#""cmd":"Schedule""#), "{reply}");
    let reply = adapter.handle_line(&items(1.1, 3, REQ)).unwrap();
    assert_eq!(reply, "{\"workers\":[{\"workerId\":3,\"out\":[{\"cmd\":\"Admit\",\"req\":\"a\"}]}]}\n");
    let ended = r#"{"cmd":"Ended","req":"a","disposition":"OK","elapsedS":0.1}"#;
    assert_eq!(adapter.handle_line(&items(1.2, 3, ended)).unwrap(), "{\"workers\":[]}\n");
    // Further events of a request that has just ended change nothing.
    for late_event in [ended, r#"{"cmd":"Dropped","req":"a"}"#, r#"{"cmd":"AtCall","req":"a"}"#] {
        assert_eq!(adapter.handle_line(&items(1.3, 3, late_event)).unwrap(), "{\"workers\":[]}\n");
    }
}

#[test]
fn retry_named_by_the_simulator_shares_the_run() {
    let mut adapter = SimulatorAdapter::default();
    adapter.handle_line(&provision(1, "")).unwrap();
    let first = r#"{"cmd":"Req","req":"k1","tierClass":1,"kb":5.0,"write":true}"#;
    let reply = adapter.handle_line(&items(1.1, 1, first)).unwrap();
    assert!(
        reply.contains(r#""cmd":"RecordKey","req":"k1""#) && reply.contains(r#""cmd":"Admit""#),
        "{reply}"
    );
    let retry = r#"{"cmd":"Req","req":"k2","tierClass":1,"kb":5.0,"earlier":"k1","isRetry":true}"#;
    let reply = adapter.handle_line(&items(1.2, 1, retry)).unwrap();
    assert!(reply.contains(r#""cmd":"Reuse","req":"k2""#) && !reply.contains("Admit"), "{reply}");
}

#[test]
fn stop_and_provision_in_one_batch_start_a_new_instance() {
    let mut adapter = SimulatorAdapter::default();
    adapter.handle_line(&provision(2, "")).unwrap();
    adapter.handle_line(&items(1.1, 2, REQ)).unwrap();
    let stop_and_provision = provision(2, "").replace(r#""items":["#, r#""items":[{"cmd":"Stop"},"#);
    assert!(adapter.handle_line(&stop_and_provision).unwrap().contains("Fitness"));
    // The old instance is gone: the same identifier is a new request.
    assert!(adapter.handle_line(&items(1.3, 2, REQ)).unwrap().contains(r#""cmd":"Admit","req":"a""#));
}

#[test]
fn instances_are_independent() {
    let mut alone = SimulatorAdapter::default();
    alone.handle_line(&provision(1, "")).unwrap();
    let mut shared = SimulatorAdapter::default();
    shared.handle_line(&provision(1, "")).unwrap();
    shared.handle_line(&provision(2, "")).unwrap();
    for i in 0..40 {
        let other_request = format!(r#"{{"cmd":"Req","req":"n{i}","tierClass":0,"kb":5.0}}"#);
        shared.handle_line(&items(1.1 + f64::from(i) * 0.01, 2, &other_request)).unwrap();
        let req = format!(r#"{{"cmd":"Req","req":"r{i}","tierClass":{},"kb":5.0}}"#, i % 2);
        let at = 1.105 + f64::from(i) * 0.01;
        assert_eq!(
            alone.handle_line(&items(at, 1, &req)).unwrap(),
            shared.handle_line(&items(at, 1, &req)).unwrap()
        );
    }
}

#[test]
fn malformed_input_is_reported_with_its_position() {
    let cases = [
        ("not json".to_owned(), "malformed batch"),
        (r#"{"workers":[]}"#.to_owned(), "clockS"),
        (items(1.1, 3, r#"{"cmd":"Nonsense"}"#), "item 0: unknown variant `Nonsense`"),
        (items(1.1, 3, r#"{"cmd":"Req","tierClass":0,"kb":1.0}"#), "missing field `req`"),
        (items(1.1, 3, r#"{"cmd":"Req","req":"a","tierClass":9,"kb":1.0}"#), "no class 9"),
        (items(1.1, 3, r#"{"cmd":"Ended","req":"a"}"#), "missing field `disposition`"),
        (items(1.1, 8, REQ), "worker 8 item 0: an event for an instance that does not exist"),
        (items(1.1, 8, r#"{"cmd":"Stop"}"#), "Stop for an instance that does not exist"),
    ];
    for (line, expected) in cases {
        let mut adapter = SimulatorAdapter::default();
        adapter.handle_line(&provision(3, "")).unwrap();
        let error = adapter.handle_line(&line).unwrap_err().to_string();
        assert!(error.contains(expected), "{error}");
    }
}

#[test]
fn empty_settings_are_accepted() {
    let mut adapter = SimulatorAdapter::default();
    adapter.handle_line(&items(0.0, 1, r#"{"cmd":"Provision","prng":1,"options":{}}"#)).unwrap();
    adapter.handle_line(&items(0.5, 1, r#"{"cmd":"DeadlineHit","nonce":"wake"}"#)).unwrap();
    adapter.handle_line(&items(0.6, 1, r#"{"cmd":"Sigterm","remainingS":0.0}"#)).unwrap();
    let error = adapter.handle_line(&items(0.7, 1, REQ)).unwrap_err().to_string();
    assert!(error.contains("no class 0"), "{error}");
}
