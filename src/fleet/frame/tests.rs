use super::*;

#[test]
fn partial_frames_are_incomplete_and_oversized_or_malformed_ones_are_errors() {
    let message = ClientMessage::BeginPeriod {
        lease: LeaseRef { task: "t".into(), token: 7 },
        every_ms: 1000,
        idempotent: false,
        attempt: 1,
    };
    let bytes = encode(&message);
    for cut in 0..bytes.len() {
        let decoded = decode::<ClientMessage>(&bytes[..cut], MAX_CLIENT_FRAME_BYTES).unwrap();
        assert_eq!(decoded, None, "{cut}");
    }
    let decoded = decode(&bytes, MAX_CLIENT_FRAME_BYTES).unwrap();
    assert_eq!(decoded, Some((message, bytes.len())));
    for bad in [&b"GET /check HTTP/1.1\r\n\r\n"[..], &[0, 0, 0, 2, b'{', b'x'], &[0xff; 8]] {
        assert!(decode::<ClientMessage>(bad, MAX_CLIENT_FRAME_BYTES).is_err(), "{bad:?}");
    }
}

#[test]
fn error_messages_state_the_found_length_and_the_limit() {
    let error = decode::<ClientMessage>(&[0, 0, 1, 1], 256).unwrap_err();
    assert!(matches!(error, FrameError::TooLarge { length: 257, limit: 256 }), "{error:?}");
    assert_eq!(error.to_string(), "frame of 257 bytes exceeds the limit of 256 bytes");
    let error = decode::<ClientMessage>(&[0, 0, 0, 2, b'{', b'x'], 256).unwrap_err();
    assert_eq!(error.to_string(), "malformed frame: key must be a string at line 1 column 2");
}

#[test]
fn unknown_kinds_and_keys_of_a_later_version_are_ignored() {
    let frame = |text: &str| [&(text.len() as u32).to_be_bytes()[..], text.as_bytes()].concat();
    let decoded = |text: &str| decode::<ServerMessage>(&frame(text), 1000).unwrap().unwrap().0;
    assert_eq!(decoded(r#"{"word":"later-kind","key":"x"}"#), ServerMessage::Unknown);
    assert_eq!(decoded(r#"{"word":"gone","why":"later key"}"#), ServerMessage::SessionExpired);
}
