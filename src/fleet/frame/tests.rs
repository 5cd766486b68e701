use super::*;

#[test]
fn frames_are_read_at_every_cut_and_bounded() {
    let say = ClientMessage::BeginPeriod {
        held: LeaseRef { task: "trial".into(), token: 7 },
        every_ms: 1000,
        safe: false,
        attempt: 1,
    };
    let bytes = encode(&say);
    for cut in 0..bytes.len() {
        assert_eq!(decode::<ClientMessage>(&bytes[..cut], MAX_CLIENT_FRAME_BYTES), Ok(None), "{cut}");
    }
    assert_eq!(decode(&bytes, MAX_CLIENT_FRAME_BYTES), Ok(Some((say, bytes.len()))));
    for bad in [&b"GET /check HTTP/1.1\r\n\r\n"[..], &[0, 0, 0, 2, b'{', b'x'], &[0xff; 8]] {
        assert!(decode::<ClientMessage>(bad, MAX_CLIENT_FRAME_BYTES).is_err(), "{bad:?}");
    }
}

#[test]
fn a_later_version_s_kinds_and_keys_are_passed_over() {
    let frame = |text: &str| [&(text.len() as u32).to_be_bytes()[..], text.as_bytes()].concat();
    let read = |text: &str| decode::<ServerMessage>(&frame(text), 1000).unwrap().unwrap().0;
    assert_eq!(read(r#"{"word":"sing","song":"x"}"#), ServerMessage::Unknown);
    assert_eq!(read(r#"{"word":"gone","why":"later"}"#), ServerMessage::SessionExpired);
}
