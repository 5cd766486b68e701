//! Frames between a process and the one that replaces it.

use crate::learned::learned;
use crate::{bytes_of, fixture_lines, hex_of, paired};
use port_worker::hot_restart::frame::{
    Bytes, Frame, HandedOffConnection, Key, KeyOutcome, KeyState, QueuedRequest, Usage, HEADER_BYTES,
    MAX_FRAME_BYTES, VERSION,
};
use port_worker::hot_restart::FingerprintKey;
use port_worker::interface::LearnedState;

fn bytes(content: &[u8]) -> Bytes {
    Bytes(content.into())
}

fn key_state(tenant: Option<usize>, outcome: KeyOutcome) -> Frame {
    let key = Key { class: 2, tenant, key: "order/17".into() };
    Frame::Key(KeyState { key, body_fingerprint: u64::MAX, expires_at_ms: 1_700_000_000_123.5, outcome })
}

fn request_with_all() -> QueuedRequest {
    QueuedRequest {
        name: "r-91".into(),
        class: 2,
        tenant: Some(1),
        caller: u64::MAX,
        memory_kb: 20.5,
        arrived_at_ms: 1_700_000_000_000.25,
        deadline_ms: 1_700_000_003_400.0,
        estimate_s: Some(0.125),
        key: Some("order/17".into()),
        retry: true,
        body: bytes(b"{\"number\":\"0612\"}\n\x00\xff"),
    }
}

fn request_with_least() -> QueuedRequest {
    QueuedRequest {
        name: "r-92".into(),
        class: 0,
        tenant: None,
        caller: 0,
        memory_kb: 0.0,
        arrived_at_ms: 0.0,
        deadline_ms: 0.0,
        estimate_s: None,
        key: None,
        retry: false,
        body: Bytes::default(),
    }
}

fn connection_with(queued_request: Option<QueuedRequest>) -> Frame {
    let unread = bytes(b"POST /do/port-submit HTTP/1.1\r\n");
    Frame::Connection(HandedOffConnection {
        unread,
        continued: true,
        requests_read: 17,
        close_after_response: true,
        queued_request,
    })
}

/// Every kind of frame, with its optional fields absent and present.
fn frames() -> Vec<Frame> {
    vec![
        Frame::Hello { version: VERSION, name: "n1".to_owned(), classes: vec![], tenants: vec![] },
        Frame::Hello {
            version: VERSION,
            name: "n1".to_owned(),
            classes: vec!["status-check".to_owned(), "port-submit".to_owned()],
            tenants: vec!["belwijs".to_owned()],
        },
        Frame::Welcome,
        Frame::Incompatible { reason: "its version is 2, here it is 1".to_owned() },
        Frame::RequestListeners,
        Frame::State {
            fingerprint_key: FingerprintKey(0, 0),
            draining: false,
            learned: LearnedState::default(),
            running: vec![],
        },
        Frame::State {
            fingerprint_key: FingerprintKey(u64::MAX, 1),
            draining: true,
            learned: learned(),
            running: vec!["r-91".into(), "r-92".into()],
        },
        key_state(None, KeyOutcome::Open),
        key_state(Some(1), KeyOutcome::Served(None)),
        key_state(Some(1), KeyOutcome::Served(Some(bytes(b"accepted\r\n\x80")))),
        key_state(Some(0), KeyOutcome::Failed),
        key_state(Some(0), KeyOutcome::NeverRan),
        Frame::Usage(Usage::default()),
        Frame::Usage(Usage { on_cores: 6, downstream_calls: 4, memory_kb: 1024.75, sockets: 311 }),
        Frame::Connection(HandedOffConnection::default()),
        connection_with(Some(request_with_least())),
        connection_with(Some(request_with_all())),
        Frame::Listener { frontend: "http2".to_owned() },
        Frame::StateComplete,
        Frame::TakeoverConfirmed,
        Frame::Drain(false),
        Frame::Drain(true),
    ]
}

/// What `hand_off_tolerated.jsonl` is read as: unknown fields, and optional fields that are left out.
fn tolerated_frames() -> Vec<Frame> {
    let Frame::Connection(connection) = connection_with(Some(request_with_least())) else { unreachable!() };
    vec![
        Frame::Hello { version: 1, name: "n1".to_owned(), classes: vec![], tenants: vec![] },
        Frame::State {
            fingerprint_key: FingerprintKey(1, 2),
            draining: false,
            learned: LearnedState::default(),
            running: vec![],
        },
        key_state(None, KeyOutcome::Open),
        Frame::Usage(Usage { on_cores: 1, downstream_calls: 2, memory_kb: 3.0, sockets: 4 }),
        Frame::Connection(HandedOffConnection { queued_request: None, ..connection.clone() }),
        Frame::Connection(connection),
    ]
}

/// A frame with this payload and mark.
fn framed(payload: &str, carries_descriptor: bool) -> Vec<u8> {
    let length = (payload.len() as u32).to_be_bytes();
    [&length[..], &[u8::from(carries_descriptor)], payload.as_bytes()].concat()
}

/// Whether a descriptor comes with a frame of this payload, by the kind's name on the wire.
fn carries_descriptor(payload: &str) -> bool {
    payload.starts_with(r#"{"Passed":"#) || payload.starts_with(r#"{"Listener":"#)
}

fn reads_as(payload: &str, value: &Frame) {
    let frame = framed(payload, carries_descriptor(payload));
    let (read, length) = Frame::decode(&frame).unwrap().unwrap();
    assert_eq!(&read, value, "{payload}");
    assert_eq!(length, frame.len(), "{payload}");
}

#[test]
fn frames_are_written_and_read_as_the_fixture_has_them() {
    for (payload, value) in paired("hand_off.jsonl", frames()) {
        let expected = framed(&payload, carries_descriptor(&payload));
        assert_eq!(hex_of(&value.encode()), hex_of(&expected), "{payload}");
        reads_as(&payload, &value);
    }
}

/// The values of the whole frames in `hand_off_frames.hex`: one without a descriptor, and one with.
fn whole_frames() -> Vec<Frame> {
    vec![Frame::Welcome, connection_with(Some(request_with_all()))]
}

#[test]
fn complete_frames_keep_their_bytes() {
    for (hex, value) in paired("hand_off_frames.hex", whole_frames()) {
        assert_eq!(hex_of(&value.encode()), hex);
        let frame = bytes_of(&hex);
        assert_eq!(Frame::decode(&frame), Ok(Some((value, frame.len()))));
    }
}

#[test]
fn unknown_fields_and_absent_options_are_tolerated() {
    for (payload, value) in paired("hand_off_tolerated.jsonl", tolerated_frames()) {
        reads_as(&payload, &value);
    }
}

#[test]
fn unknown_kinds_and_missing_fields_are_errors() {
    for payload in fixture_lines("hand_off_unreadable.jsonl") {
        let frame = framed(&payload, carries_descriptor(&payload));
        assert!(Frame::decode(&frame).is_err(), "{payload}");
    }
}

#[test]
fn a_mark_that_does_not_fit_is_an_error() {
    assert!(Frame::decode(&framed(r#""Welcome""#, true)).is_err());
    assert!(Frame::decode(&framed(r#"{"Listener":{"front":"http2"}}"#, false)).is_err());
}

#[test]
fn a_number_that_is_not_finite_is_written_as_null() {
    let usage = Frame::Usage(Usage { memory_kb: f64::NAN, ..Usage::default() });
    let payload = r#"{"Usage":{"on_cores":0,"calling":0,"kb":null,"sockets":0}}"#;
    assert_eq!(hex_of(&usage.encode()), hex_of(&framed(payload, false)));
    assert!(Frame::decode(&framed(payload, false)).is_err());
}

#[test]
fn version_and_bounds_keep_their_values() {
    assert_eq!((VERSION, MAX_FRAME_BYTES, HEADER_BYTES), (1, 131_072, 5));
    let padded = |length: usize| framed(&format!("\"Done\"{}", " ".repeat(length - 6)), false);
    assert_eq!(Frame::decode(&padded(131_072)), Ok(Some((Frame::StateComplete, 131_077))));
    assert!(Frame::decode(&padded(131_073)).is_err());
}
