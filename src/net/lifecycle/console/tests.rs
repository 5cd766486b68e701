use super::*;

#[test]
fn request_is_parsed_only_once_its_head_is_complete() {
    let text = b"POST /-/drain HTTP/1.1\r\nHost: n1\r\nContent-Length: 0\r\n\r\n";
    for cut in 0..text.len() {
        assert_eq!(parse(&text[..cut]), Ok(None), "cut after {cut} bytes");
    }
    assert_eq!(parse(text), Ok(Some(ConsoleRequest::Drain)));
}

#[test]
fn invalid_requests_are_rejected_with_the_matching_status() {
    for (text, status) in [
        ("GET /-/nothing HTTP/1.1\r\n\r\n", 404),
        ("GET /-/drain HTTP/1.1\r\n\r\n", 405),
        ("POST /-/metrics HTTP/1.1\r\n\r\n", 405),
        ("nonsense\r\n\r\n", 400),
        (&"a".repeat(MAX_HEAD_BYTES), 400),
    ] {
        assert_eq!(parse(text.as_bytes()).unwrap_err().status, status, "{text:.40}");
    }
}
