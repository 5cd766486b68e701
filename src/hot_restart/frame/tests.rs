use super::*;
use crate::hot_restart::FingerprintKey;
use crate::interface::LearnedState;
use std::rc::Rc;

fn all_frames() -> Vec<Frame> {
    let key = Key { class: 1, tenant: Some(0), key: "k\u{e9}\"1".into() };
    let state = |outcome| {
        Frame::Key(KeyState {
            key: key.clone(),
            body_fingerprint: u64::MAX,
            principal_fingerprint: Some(u64::MAX),
            is_first_attempt: false,
            expires_at_ms: 1.5e12,
            outcome,
        })
    };
    let queued = QueuedRequest {
        name: "r1".into(),
        class: 1,
        tenant: None,
        caller: 4,
        memory_kb: 24.5,
        arrived_at_ms: 1.7e12,
        deadline_ms: 1.7e12 + 480.0,
        estimate_s: Some(0.0125),
        key: Some("k".into()),
        retry: true,
        body: Bytes(Rc::from(*b"\0\xff")),
    };
    vec![
        Frame::Hello { version: VERSION, name: "n1".into(), classes: vec!["a".into()], tenants: vec![] },
        Frame::Welcome,
        Frame::Incompatible { reason: "because".into() },
        Frame::RequestListeners,
        Frame::State {
            fingerprint_key: FingerprintKey(1, u64::MAX),
            draining: true,
            learned: LearnedState::default(),
            running: vec!["r9".into()],
        },
        state(KeyOutcome::Open),
        state(KeyOutcome::Served(Some(Bytes(Rc::from(*b"done"))))),
        state(KeyOutcome::Served(None)),
        state(KeyOutcome::Failed),
        state(KeyOutcome::NeverRan),
        Frame::Usage(Usage {
            on_cores: 3,
            downstream_calls: 1,
            memory_kb: 0.5,
            sockets: 9,
            indeterminate_keys: Some(IndeterminateKeysReport::All),
        }),
        Frame::Connection(HandedOffConnection {
            unread: Bytes(Rc::from(*b"GET /ch")),
            ..HandedOffConnection::default()
        }),
        Frame::Connection(HandedOffConnection {
            queued_request: Some(queued),
            requests_read: 2,
            close_after_response: true,
            ..HandedOffConnection::default()
        }),
        Frame::Listener { frontend: "ajp".into() },
        Frame::StateComplete,
        Frame::TakeoverConfirmed,
        Frame::Drain(false),
    ]
}

#[test]
fn every_frame_is_decoded_as_encoded_and_not_before_it_is_complete() {
    for frame in all_frames() {
        let bytes = frame.encode();
        for cut in 0..bytes.len() {
            assert_eq!(Frame::decode(&bytes[..cut]), Ok(None), "{frame:?} at {cut}");
        }
        assert_eq!(Frame::decode(&bytes), Ok(Some((frame, bytes.len()))));
    }
}

#[test]
fn damaged_frames_are_errors_and_not_incomplete() {
    let bytes = Frame::RequestListeners.encode();
    let mut too_long = bytes.clone();
    too_long[0] = 0xff;
    let mut flagged = bytes.clone();
    flagged[4] = 1;
    let mut malformed = bytes.clone();
    malformed[HEADER_BYTES] = b'!';
    for damaged in [too_long, flagged, malformed] {
        assert!(Frame::decode(&damaged).is_err(), "{damaged:?}");
    }
}

#[test]
fn unknown_fields_of_another_version_are_ignored() {
    let text = br#"{"Usage":{"on_cores":1,"calling":0,"kb":2.0,"sockets":3,"moons":[1]}}"#;
    let mut bytes = (text.len() as u32).to_be_bytes().to_vec();
    bytes.push(0);
    bytes.extend_from_slice(text);
    let usage =
        Usage { on_cores: 1, downstream_calls: 0, memory_kb: 2.0, sockets: 3, indeterminate_keys: None };
    assert_eq!(Frame::decode(&bytes), Ok(Some((Frame::Usage(usage), bytes.len()))));
}
