use super::*;

fn all() -> Vec<Frame> {
    let key = Key { class: 1, tenant: Some(0), key: "k\u{e9}\"1".into() };
    let state = |end| Frame::Key(KeyState { key: key.clone(), print: u64::MAX, until_ms: 1.5e12, end });
    let held = QueuedRequest {
        name: "r1".into(),
        class: 1,
        tenant: None,
        caller: 4,
        kb: 24.5,
        arrived_ms: 1.7e12,
        due_ms: 1.7e12 + 480.0,
        estimate_s: Some(0.0125),
        key: Some("k".into()),
        retry: true,
        body: Bytes(Rc::from(*b"\0\xff")),
    };
    vec![
        Frame::Hello { version: VERSION, name: "n1".into(), classes: vec!["a".into()], tenants: vec![] },
        Frame::Welcome,
        Frame::Stranger { why: "because".into() },
        Frame::Take,
        Frame::State {
            prints: (1, u64::MAX),
            draining: true,
            learned: LearnedState::default(),
            running: vec!["r9".into()],
        },
        state(KeyEnd::Open),
        state(KeyEnd::Served(Some(Bytes(Rc::from(*b"done"))))),
        state(KeyEnd::Served(None)),
        state(KeyEnd::Failed),
        state(KeyEnd::Never),
        Frame::Usage(Usage { on_cores: 3, calling: 1, kb: 0.5, sockets: 9 }),
        Frame::Passed(HandedOffConnection {
            unread: Bytes(Rc::from(*b"GET /ch")),
            ..HandedOffConnection::default()
        }),
        Frame::Passed(HandedOffConnection {
            held: Some(held),
            asked: 2,
            close: true,
            ..HandedOffConnection::default()
        }),
        Frame::Listener { front: "ajp".into() },
        Frame::Done,
        Frame::Opened,
        Frame::Drain(false),
    ]
}

#[test]
fn every_frame_is_read_as_it_was_written_and_never_before_it_is_whole() {
    for frame in all() {
        let bytes = frame.encode();
        for cut in 0..bytes.len() {
            assert_eq!(Frame::decode(&bytes[..cut]), Ok(None), "{frame:?} at {cut}");
        }
        assert_eq!(Frame::decode(&bytes), Ok(Some((frame, bytes.len()))));
    }
}

#[test]
fn damage_is_told_from_want_of_bytes() {
    let bytes = Frame::Take.encode();
    let mut long = bytes.clone();
    long[0] = 0xff;
    let mut marked = bytes.clone();
    marked[4] = 1;
    let mut spoilt = bytes.clone();
    spoilt[HEAD] = b'!';
    for damaged in [long, marked, spoilt] {
        assert!(Frame::decode(&damaged).is_err(), "{damaged:?}");
    }
}

#[test]
fn what_another_version_says_beyond_is_let_pass() {
    let text = br#"{"Usage":{"on_cores":1,"calling":0,"kb":2.0,"sockets":3,"moons":[1]}}"#;
    let mut bytes = (text.len() as u32).to_be_bytes().to_vec();
    bytes.push(0);
    bytes.extend_from_slice(text);
    let usage = Usage { on_cores: 1, calling: 0, kb: 2.0, sockets: 3 };
    assert_eq!(Frame::decode(&bytes), Ok(Some((Frame::Usage(usage), bytes.len()))));
}
