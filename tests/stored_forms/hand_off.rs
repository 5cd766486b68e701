//! Frames between a worker process and its successor.

use crate::learned::learned;
use crate::{fixture_lines, from_hex, pair_with_fixture, to_hex};
use port_worker::hot_restart::frame::{
    Bytes, Frame, HandedOffConnection, IndeterminateKeysReport, Key, KeyOutcome, KeyState, QueuedRequest,
    Usage, HEADER_BYTES, MAX_FRAME_BYTES, VERSION,
};
use port_worker::hot_restart::FingerprintKey;
use port_worker::interface::LearnedState;

fn bytes(content: &[u8]) -> Bytes {
    Bytes(content.into())
}

fn key_state(tenant: Option<usize>, outcome: KeyOutcome) -> Frame {
    let key = Key { class: 2, tenant, key: "order/17".into() };
    Frame::Key(KeyState {
        key,
        body_fingerprint: u64::MAX,
        principal_fingerprint: None,
        is_first_attempt: false,
        expires_at_ms: 1_700_000_000_123.5,
        outcome,
    })
}

fn request_with_optional_fields() -> QueuedRequest {
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

fn request_without_optional_fields() -> QueuedRequest {
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
        Frame::Usage(Usage {
            on_cores: 6,
            downstream_calls: 4,
            memory_kb: 1024.75,
            sockets: 311,
            indeterminate_keys: None,
        }),
        Frame::Connection(HandedOffConnection::default()),
        connection_with(Some(request_without_optional_fields())),
        connection_with(Some(request_with_optional_fields())),
        Frame::Listener { frontend: "http2".to_owned() },
        Frame::StateComplete,
        Frame::TakeoverConfirmed,
        Frame::Drain(false),
        Frame::Drain(true),
    ]
}

/// The values that `hand_off_tolerated.jsonl` decodes to: unknown fields and absent optional fields.
fn tolerated_frames() -> Vec<Frame> {
    let Frame::Connection(connection) = connection_with(Some(request_without_optional_fields())) else {
        unreachable!()
    };
    vec![
        Frame::Hello { version: 1, name: "n1".to_owned(), classes: vec![], tenants: vec![] },
        Frame::State {
            fingerprint_key: FingerprintKey(1, 2),
            draining: false,
            learned: LearnedState::default(),
            running: vec![],
        },
        key_state(None, KeyOutcome::Open),
        Frame::Usage(Usage {
            on_cores: 1,
            downstream_calls: 2,
            memory_kb: 3.0,
            sockets: 4,
            indeterminate_keys: None,
        }),
        Frame::Connection(HandedOffConnection { queued_request: None, ..connection.clone() }),
        Frame::Connection(connection),
    ]
}

/// Guards against a newer process whose field for the principal an older one can't read, or which can't read a key without
/// it: the older form is that of the fixtures, which lack the field.
#[test]
fn principal_of_a_key_is_an_additional_field() {
    let Frame::Key(older) = key_state(Some(1), KeyOutcome::Failed) else { unreachable!() };
    let payload = concat!(
        r#"{"Key":{"key":{"class":2,"tenant":1,"key":"order/17"},"print":18446744073709551615,"#,
        r#""principal":18446744073709551614,"until_ms":1700000000123.5,"end":"Failed"}}"#
    );
    let newer = Frame::Key(KeyState { principal_fingerprint: Some(u64::MAX - 1), ..older });
    assert_eq!(to_hex(&newer.encode()), to_hex(&frame_with_payload(payload, false)));
    assert_decodes_to(payload, &newer);
}

/// Guards against a newer process whose mark of first attempts an older one can't read, or which takes a key without it for
/// that of a first attempt.
#[test]
fn first_attempt_of_a_key_is_an_additional_field() {
    let Frame::Key(older) = key_state(Some(1), KeyOutcome::Failed) else { unreachable!() };
    assert!(!older.is_first_attempt);
    let payload = concat!(
        r#"{"Key":{"key":{"class":2,"tenant":1,"key":"order/17"},"print":18446744073709551615,"#,
        r#""first":true,"until_ms":1700000000123.5,"end":"Failed"}}"#
    );
    let newer = Frame::Key(KeyState { is_first_attempt: true, ..older });
    assert_eq!(to_hex(&newer.encode()), to_hex(&frame_with_payload(payload, false)));
    assert_decodes_to(payload, &newer);
}

/// Guards against a report of the predecessor that an older process can't read, or whose field a newer one requires: the
/// older form is that of the fixtures, which lack the field.
#[test]
fn indeterminate_keys_of_a_usage_report_are_an_additional_field() {
    for (report, text) in [
        (IndeterminateKeysReport::None, r#""None""#),
        (IndeterminateKeysReport::All, r#""All""#),
        (IndeterminateKeysReport::RetriesUntil(1_700_000_010_191.5), r#"{"RetriesUntil":1700000010191.5}"#),
    ] {
        let payload = format!(
            r#"{{"Usage":{{"on_cores":0,"calling":0,"kb":0.0,"sockets":0,"indeterminate_keys":{text}}}}}"#
        );
        let frame = Frame::Usage(Usage { indeterminate_keys: Some(report), ..Usage::default() });
        assert_eq!(to_hex(&frame.encode()), to_hex(&frame_with_payload(&payload, false)));
        assert_decodes_to(&payload, &frame);
    }
}

/// Encodes a frame with this payload and descriptor flag.
fn frame_with_payload(payload: &str, carries_descriptor: bool) -> Vec<u8> {
    let length = (payload.len() as u32).to_be_bytes();
    [&length[..], &[u8::from(carries_descriptor)], payload.as_bytes()].concat()
}

/// Whether a frame with this payload carries a file descriptor, by the name of its kind on the wire.
fn carries_descriptor(payload: &str) -> bool {
    payload.starts_with(r#"{"Passed":"#) || payload.starts_with(r#"{"Listener":"#)
}

fn assert_decodes_to(payload: &str, value: &Frame) {
    let frame = frame_with_payload(payload, carries_descriptor(payload));
    let (read, length) = Frame::decode(&frame).unwrap().unwrap();
    assert_eq!(&read, value, "{payload}");
    assert_eq!(length, frame.len(), "{payload}");
}

#[test]
fn frames_encode_and_decode_as_in_the_fixture() {
    for (payload, value) in pair_with_fixture("hand_off.jsonl", frames()) {
        let expected = frame_with_payload(&payload, carries_descriptor(&payload));
        assert_eq!(to_hex(&value.encode()), to_hex(&expected), "{payload}");
        assert_decodes_to(&payload, &value);
    }
}

/// The values of the complete frames in `hand_off_frames.hex`: one without a file descriptor and one with.
fn complete_frames() -> Vec<Frame> {
    vec![Frame::Welcome, connection_with(Some(request_with_optional_fields()))]
}

#[test]
fn complete_frames_keep_their_bytes() {
    for (hex, value) in pair_with_fixture("hand_off_frames.hex", complete_frames()) {
        assert_eq!(to_hex(&value.encode()), hex);
        let frame = from_hex(&hex);
        assert_eq!(Frame::decode(&frame), Ok(Some((value, frame.len()))));
    }
}

#[test]
fn unknown_fields_and_absent_optional_fields_are_tolerated() {
    for (payload, value) in pair_with_fixture("hand_off_tolerated.jsonl", tolerated_frames()) {
        assert_decodes_to(&payload, &value);
    }
}

#[test]
fn unknown_kinds_and_missing_fields_are_errors() {
    for payload in fixture_lines("hand_off_unreadable.jsonl") {
        let frame = frame_with_payload(&payload, carries_descriptor(&payload));
        assert!(Frame::decode(&frame).is_err(), "{payload}");
    }
}

#[test]
fn descriptor_flag_that_does_not_match_the_kind_is_an_error() {
    assert!(Frame::decode(&frame_with_payload(r#""Welcome""#, true)).is_err());
    assert!(Frame::decode(&frame_with_payload(r#"{"Listener":{"front":"http2"}}"#, false)).is_err());
}

#[test]
fn non_finite_number_is_encoded_as_null_and_not_decoded() {
    let usage = Frame::Usage(Usage { memory_kb: f64::NAN, ..Usage::default() });
    let payload = r#"{"Usage":{"on_cores":0,"calling":0,"kb":null,"sockets":0}}"#;
    assert_eq!(to_hex(&usage.encode()), to_hex(&frame_with_payload(payload, false)));
    assert!(Frame::decode(&frame_with_payload(payload, false)).is_err());
}

#[test]
fn version_and_bounds_keep_their_values() {
    assert_eq!((VERSION, MAX_FRAME_BYTES, HEADER_BYTES), (1, 131_072, 5));
    let padded = |length: usize| frame_with_payload(&format!("\"Done\"{}", " ".repeat(length - 6)), false);
    assert_eq!(Frame::decode(&padded(131_072)), Ok(Some((Frame::StateComplete, 131_077))));
    assert!(Frame::decode(&padded(131_073)).is_err());
}
