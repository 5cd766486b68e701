//! Downstream calls from runs to the records service.

use crate::WORKER;
use serde_json::json;
use test_support::{reserve_address, to_base64, unique_request_id, Client, Reply, RequestBuilder};

#[test]
fn downstream_call_reply_is_returned_to_the_run_unchanged() {
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    let mut client = Client::connect(worker.http);
    let mut records = None;
    for reply in ["one", "two"] {
        let id = unique_request_id();
        client.send(&RequestBuilder::new("look").id(&id));
        let exec = executor.expect_command("EXEC");
        executor.send_notice(json!({"type": "CALLOUT", "job": exec["job"], "data": to_base64("number?")}));
        // The second call reuses the connection of the first.
        let service = records.get_or_insert_with(|| worker.records.accept());
        let (line, head, body) = service.read_message();
        assert_eq!((line.as_str(), &body[..]), ("POST /records/op HTTP/1.1", &b"number?"[..]));
        let head = Reply { status: 0, head, body };
        assert_eq!(head.header("Op-Of"), Some(id.as_str()));
        assert!(head.header("Op-Wait-Ms").unwrap().parse::<u64>().unwrap() <= 8000);
        service.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{reply}", reply.len()));
        let command = executor.expect_command("RETURN");
        assert_eq!((&command["job"], &command["data"]), (&json!(id), &json!(to_base64(reply))));
        executor.send_exit(&exec["job"], "PASS", "done");
        assert_eq!(client.read_response().status, 200);
        // An idle connection is reused only after a short delay.
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
}

#[test]
fn broken_downstream_call_is_retried_when_idempotent_and_never_when_keyed() {
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    let mut client = Client::connect(worker.http);
    client.send(&RequestBuilder::new("look"));
    let exec = executor.expect_command("EXEC");
    executor.send_notice(json!({"type": "CALLOUT", "job": exec["job"], "data": ""}));
    let mut service = worker.records.accept();
    service.read_message();
    drop(service);
    let mut service = worker.records.accept();
    service.read_message();
    service.write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    drop(service);
    executor.expect_command("RETURN");
    executor.send_exit(&exec["job"], "PASS", "");
    assert_eq!(client.read_response().status, 200);

    client.send(&RequestBuilder::new("order").key("k3"));
    let exec = executor.expect_command("EXEC");
    executor.send_notice(json!({"type": "CALLOUT", "job": exec["job"], "data": ""}));
    // A reply with Op-Not-Begun proves that the call had no effect, so it is retried. After a broken connection the
    // call may have had its effect, so it is not.
    let mut service = worker.records.accept();
    service.read_message();
    service.write("HTTP/1.1 503 Busy\r\nOp-Not-Begun: 1\r\nContent-Length: 0\r\n\r\n");
    // The retry uses a new connection: if an idle connection were reset during the call, the outcome would be unknown.
    let mut service = worker.records.accept();
    service.read_message();
    drop(service);
    assert_eq!(client.read_response().status, 500);
    executor.send_exit(&exec["job"], "KILLED", "");
    executor.expect_no_command(&worker);
    assert!(!worker.records.has_waiting_connection(), "the call was retried");
}

#[test]
fn idempotent_run_skips_its_call_while_the_records_service_is_down() {
    let (_reserved, unused) = reserve_address();
    let worker = WORKER.start_with(|c| c["records"] = json!(unused), None);
    let mut executor = worker.accept_link();
    let mut client = Client::connect(worker.http);
    client.send(&RequestBuilder::new("look"));
    let exec = executor.expect_command("EXEC");
    executor.send_notice(json!({"type": "CALLOUT", "job": exec["job"], "data": ""}));
    let bypass = executor.expect_command("BYPASS");
    assert_eq!((&bypass["job"], &bypass["n"]), (&exec["job"], &json!(1)));
    executor.send_exit(&exec["job"], "PASS", "degraded");
    assert_eq!(client.read_response().body, b"degraded");
}
