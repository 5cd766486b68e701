use super::*;

#[test]
fn a_call_is_known_only_when_its_head_is_whole() {
    let text = b"POST /-/drain HTTP/1.1\r\nHost: n1\r\nContent-Length: 0\r\n\r\n";
    for cut in 0..text.len() {
        assert_eq!(parse(&text[..cut]), Ok(None), "{cut}");
    }
    assert_eq!(parse(text), Ok(Some(Call::Drain)));
}

#[test]
fn what_is_no_call_is_told_why() {
    for (text, code) in [
        ("GET /-/nothing HTTP/1.1\r\n\r\n", 404),
        ("GET /-/drain HTTP/1.1\r\n\r\n", 405),
        ("POST /-/metrics HTTP/1.1\r\n\r\n", 405),
        ("nonsense\r\n\r\n", 400),
        (&"a".repeat(MAX_HEAD_BYTES), 400),
    ] {
        assert_eq!(parse(text.as_bytes()).unwrap_err().code, code, "{text:.40}");
    }
}
