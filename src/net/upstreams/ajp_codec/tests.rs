use super::*;

fn sample_request() -> Forward<'static> {
    Forward {
        method: "POST",
        uri: "/portal/submit",
        server_name: "portal.example",
        headers: vec![("content-length", b"5"), ("X-Operation-Key", b"k1")],
        remote_user: Some("anna"),
        secret: Some(b"s3"),
    }
}

#[test]
fn forward_request_round_trips_with_known_headers_encoded_as_codes() {
    let bytes = write_forward(&sample_request()).unwrap();
    assert!(bytes.windows(2).any(|w| w == [0xA0, 0x08]));
    assert!(!bytes.windows(14).any(|w| w.eq_ignore_ascii_case(b"content-length")));
    let range = find_packet(&bytes, Direction::ToContainer).unwrap().unwrap();
    assert_eq!(parse_to_container(&bytes[range]).unwrap(), ToContainer::Forward(Box::new(sample_request())));
}

#[test]
fn truncated_or_corrupted_messages_are_incomplete_or_rejected_without_panic() {
    let bytes = write_forward(&sample_request()).unwrap();
    for n in 0..bytes.len() {
        assert_eq!(find_packet(&bytes[..n], Direction::ToContainer), Ok(None));
        if n > 4 {
            assert!(parse_to_container(&bytes[4..n]).is_err(), "cut after {n} bytes");
        }
    }
    for i in 4..bytes.len() {
        let mut corrupted = bytes.clone();
        corrupted[i] = corrupted[i].wrapping_add(0x91);
        let _ = parse_to_container(&corrupted[4..]);
        let _ = parse_to_web_server(&corrupted[4..]);
    }
}

#[test]
fn hand_encoded_forward_request_is_parsed() {
    // Hand-encoded GET / HTTP/1.1 for host "h" with one coded header, a query string, a request attribute and a key
    // size.
    let mut payload = vec![2, 2];
    let string = |packet: &mut Vec<u8>, s: &[u8]| {
        packet.extend([0, s.len() as u8]);
        packet.extend(s);
        packet.push(0);
    };
    string(&mut payload, b"HTTP/1.1");
    string(&mut payload, b"/");
    string(&mut payload, b"10.0.0.1");
    payload.extend([0xFF, 0xFF]);
    string(&mut payload, b"h");
    payload.extend([0, 80, 0, 0, 1, 0xA0, 0x0B]);
    string(&mut payload, b"h");
    payload.push(5);
    string(&mut payload, b"a=1");
    payload.push(0x0A);
    string(&mut payload, b"AJP_REMOTE_PORT");
    string(&mut payload, b"4711");
    payload.extend([0x0B, 1, 0, 0xFF]);
    let Ok(ToContainer::Forward(forward)) = parse_to_container(&payload) else {
        panic!("the request was not parsed")
    };
    assert_eq!((forward.method, forward.uri, forward.server_name), ("GET", "/", "h"));
    assert_eq!(forward.headers, vec![("host", &b"h"[..])]);
    assert_eq!(parse_to_container(&[10]), Ok(ToContainer::CPing));
}

#[test]
fn wrong_magic_and_wrong_length_are_distinct_errors() {
    assert_eq!(find_packet(b"AB\0\x01\x09", Direction::ToContainer), Err(PacketError::Magic));
    assert_eq!(find_packet(&[0x12, 0x34, 0xFF, 0xFF], Direction::ToContainer), Err(PacketError::Length));
    assert_eq!(find_packet(&[0x12, 0x34, 0, 0], Direction::ToContainer), Ok(Some(4..4)));
    assert_eq!(parse_body(&[0, 9, 1]), Err(PacketError::Message));
}

#[test]
fn responses_round_trip() {
    let head = write_headers(503, "Busy", &[("Content-Length", "0".into()), ("Retry-After", "1".into())]);
    let expected: Vec<(&str, &[u8])> = vec![("Content-Length", b"0"), ("Retry-After", b"1")];
    assert_eq!(
        parse_to_web_server(&head.unwrap()[4..]),
        Ok(ToWebServer::Headers { status: 503, headers: expected })
    );
    let mut chunk = write_chunk_head(3);
    chunk.extend(b"abc\0");
    assert_eq!(find_packet(&chunk, Direction::ToWebServer), Ok(Some(4..chunk.len())));
    assert_eq!(parse_to_web_server(&chunk[4..]), Ok(ToWebServer::Chunk(b"abc")));
    assert_eq!(parse_to_web_server(&write_end(true)[4..]), Ok(ToWebServer::End { reuse: true }));
    assert_eq!(parse_to_web_server(&write_get_body(77)[4..]), Ok(ToWebServer::GetBody(77)));
    assert_eq!(parse_to_web_server(&write_cpong()[4..]), Ok(ToWebServer::CPong));
}
