use super::reply::MAX_HEAD_BYTES;
use super::*;
use crate::net::io::poll::ReadyEvents;
use crate::net::io::source::Source;
use calloop::EventLoop;
use std::io::{Read, Write};
use std::time::Duration;

#[test]
fn only_complete_replies_are_parsed_and_only_op_not_begun_proves_that_a_call_did_not_run() {
    let outcome = |head: &str| {
        let text = format!("HTTP/1.1 {head}\r\nContent-Length: 2\r\n\r\nok");
        assert!(parse(&text.as_bytes()[..text.len() - 1]).unwrap().is_none());
        parse(text.as_bytes()).unwrap().unwrap().outcome
    };
    assert_eq!(outcome("200 OK"), Outcome::Ok);
    assert_eq!(outcome("503 Busy\r\nOp-Not-Begun: 1"), Outcome::Rejected);
    assert_eq!(outcome("503 Busy"), Outcome::Error);
    assert_eq!(outcome("500 No"), Outcome::Error);
    assert_eq!(outcome("504 Late"), Outcome::TimedOut);
    assert_eq!(outcome("409 Gone\r\nOp-Not-Begun: 1"), Outcome::NotStarted);
    assert!(parse(b"nonsense\r\n\r\n").is_err());
    assert_eq!(outcome("100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200 OK"), Outcome::Ok);
    // Invalid lengths, encodings and oversized heads are rejected without waiting for more data.
    for bad in [
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\n\r\nok",
        &format!("HTTP/1.1 200 OK\r\nA: {}", "a".repeat(MAX_HEAD_BYTES)),
        &"HTTP/1.1 100 Continue\r\n\r\n".repeat(MAX_HEAD_BYTES / 20),
    ] {
        assert!(parse(bad.as_bytes()).is_err(), "not rejected: {bad:.60}");
    }
}

/// Polls the event loop once, processes the ready connections and returns the inputs.
fn poll_once(
    event_loop: &mut EventLoop<ReadyEvents>,
    records: &mut Records,
    wheel: &mut Wheel,
) -> Vec<Input> {
    let (mut ready_events, mut inputs) = (ReadyEvents::default(), Vec::new());
    event_loop.dispatch(Some(Duration::from_millis(5)), &mut ready_events).unwrap();
    for ready in ready_events.take() {
        if let Source::Records(id) = ready.source {
            records.mark_ready(id, ready.readiness);
        }
    }
    records.gather(0.0, &mut inputs, wheel);
    inputs
}

/// Regression test: a call queued on an idle connection, which triggers no readiness event, was not written until the
/// event loop woke up for another reason.
#[test]
fn call_on_reused_connection_is_sent_without_readiness_event() {
    let mut event_loop: EventLoop<ReadyEvents> = EventLoop::try_new().unwrap();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut records = Records::new(&Poll::new(event_loop.handle(), 8), listener.local_addr().unwrap());
    let mut wheel = Wheel::new(0.0);
    let body: Rc<[u8]> = Rc::from(*b"first");
    records.call(0.0, "r1".into(), body, 5.0, true, &mut wheel);
    let (mut service, _) = listener.accept().unwrap();
    service.set_read_timeout(Some(Duration::from_secs(15))).unwrap();
    poll_once(&mut event_loop, &mut records, &mut wheel);
    let mut bytes = [0; 1024];
    let length = service.read(&mut bytes).unwrap();
    assert!(bytes[..length].ends_with(b"first"));
    service.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").unwrap();
    let ended = (0..1000).find_map(|_| poll_once(&mut event_loop, &mut records, &mut wheel).pop());
    assert!(
        matches!(ended, Some(Input::CallEnded { outcome: Outcome::Ok, .. })),
        "expected Ok, got {ended:?}"
    );
    assert!(!records.has_pending());
    // The second call must be written without another poll of the event loop.
    records.call(1.0, "r2".into(), Rc::from(*b"second"), 5.0, true, &mut wheel);
    assert!(records.has_pending());
    records.gather(1.0, &mut Vec::new(), &mut wheel);
    let length = service.read(&mut bytes).unwrap();
    assert!(bytes[..length].ends_with(b"second"));
}
