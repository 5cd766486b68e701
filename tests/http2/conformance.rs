//! Conformance with RFC 9113 and RFC 7541 by section: frames sent after a valid preface, and the required reaction.

use crate::peer::*;
use crate::WORKER;

const FLOW_CONTROL_ERROR: u32 = 3;
const STREAM_CLOSED: u32 = 5;
const FRAME_SIZE_ERROR: u32 = 6;
const COMPRESSION_ERROR: u32 = 9;
const PRIORITY: u8 = 2;
const PADDED: u8 = 8;

/// The required reaction to the frames of a case.
enum Expected {
    /// The end of the connection with one of these error codes.
    Goaway(&'static [u32]),
    /// The reset of stream 1, or the end of the connection, with one of these error codes.
    Reset(&'static [u32]),
    /// The end of the connection with `PROTOCOL_ERROR`, where the section requires this code instead: the codec has a
    /// single error for unreadable frames and header blocks, and for data on a closed stream (docs/design/02-http2.md).
    ProtocolErrorInsteadOf(u32),
    /// No reaction: a PING and a request that follow are answered.
    NoError,
}

struct Case {
    section: &'static str,
    description: &'static str,
    /// Type, flags, stream and payload of each frame.
    frames: Vec<(u8, u8, u32, Vec<u8>)>,
    expected: Expected,
}

fn case(
    section: &'static str,
    description: &'static str,
    frames: Vec<(u8, u8, u32, Vec<u8>)>,
    expected: Expected,
) -> Case {
    Case { section, description, frames, expected }
}

fn setting(id: u16, value: u32) -> Vec<u8> {
    [&id.to_be_bytes()[..], &value.to_be_bytes()[..]].concat()
}

#[expect(clippy::too_many_lines, reason = "a table of cases in the order of the RFCs' sections")]
fn cases() -> Vec<Case> {
    use Expected::*;
    let headers = || Peer::header_block(&Peer::request_headers("nonsense", None));
    let open_request = |stream| (HEADERS, END_HEADERS, stream, headers());
    // A valid request whose body is missing.
    let valid_request =
        || (HEADERS, END_HEADERS, 1, Peer::header_block(&Peer::request_headers("look", None)));
    let complete_request = |stream| (HEADERS, END_HEADERS | END_STREAM, stream, headers());
    let window_update = |stream, n: u32| (WINDOW_UPDATE, 0, stream, n.to_be_bytes().to_vec());
    let compressed = |block: &[u8]| vec![(HEADERS, END_HEADERS | END_STREAM, 1, block.to_vec())];
    vec![
        case("4.1", "an unknown frame is ignored", vec![(0xee, 0xff, 0, vec![1; 50])], NoError),
        case("4.1", "unknown flags are ignored", vec![(PING, 0xfe, 0, vec![0; 8])], NoError),
        case(
            "4.2",
            "a frame above the limit",
            vec![(DATA, 0, 1, vec![0; 16_385])],
            Goaway(&[FRAME_SIZE_ERROR]),
        ),
        case("5.1", "data on an idle stream", vec![(DATA, 0, 1, vec![0; 5])], Goaway(&[PROTOCOL_ERROR])),
        case(
            "5.1",
            "a reset of an idle stream",
            vec![(RST_STREAM, 0, 1, vec![0; 4])],
            Goaway(&[PROTOCOL_ERROR]),
        ),
        case(
            "5.1",
            "a window update on an idle stream",
            vec![window_update(1, 5)],
            Goaway(&[PROTOCOL_ERROR]),
        ),
        case(
            "5.1",
            "data after END_STREAM",
            vec![complete_request(1), (DATA, END_STREAM, 1, vec![0; 5])],
            ProtocolErrorInsteadOf(STREAM_CLOSED),
        ),
        case("5.1.1", "an even stream identifier", vec![complete_request(2)], Goaway(&[PROTOCOL_ERROR])),
        case(
            "5.1.1",
            "a stream identifier lower than the last one",
            vec![complete_request(5), complete_request(3)],
            Goaway(&[PROTOCOL_ERROR, STREAM_CLOSED]),
        ),
        case("5.3", "priorities are ignored", vec![(PRIORITY, 0, 1, vec![0, 0, 0, 3, 9])], NoError),
        case("6.1", "data on stream 0", vec![(DATA, 0, 0, vec![0; 5])], Goaway(&[PROTOCOL_ERROR])),
        case(
            "6.1",
            "more padding than payload",
            vec![open_request(1), (DATA, PADDED, 1, vec![9, 0, 0])],
            Goaway(&[PROTOCOL_ERROR]),
        ),
        case("6.2", "headers on stream 0", vec![complete_request(0)], Goaway(&[PROTOCOL_ERROR])),
        case(
            "6.3",
            "a priority of four bytes",
            vec![(PRIORITY, 0, 1, vec![0; 4])],
            ProtocolErrorInsteadOf(FRAME_SIZE_ERROR),
        ),
        case("6.4", "a reset of stream 0", vec![(RST_STREAM, 0, 0, vec![0; 4])], Goaway(&[PROTOCOL_ERROR])),
        case(
            "6.4",
            "a reset of three bytes",
            vec![open_request(1), (RST_STREAM, 0, 1, vec![0; 3])],
            ProtocolErrorInsteadOf(FRAME_SIZE_ERROR),
        ),
        case(
            "6.5",
            "settings of five bytes",
            vec![(SETTINGS, 0, 0, vec![0; 5])],
            ProtocolErrorInsteadOf(FRAME_SIZE_ERROR),
        ),
        case("6.5", "settings on a stream", vec![(SETTINGS, 0, 1, vec![])], Goaway(&[PROTOCOL_ERROR])),
        case(
            "6.5",
            "an acknowledgement with settings",
            vec![(SETTINGS, ACK, 0, setting(3, 5))],
            ProtocolErrorInsteadOf(FRAME_SIZE_ERROR),
        ),
        case("6.5.2", "an unknown setting is ignored", vec![(SETTINGS, 0, 0, setting(0x99, 5))], NoError),
        case("6.5.2", "ENABLE_PUSH of 2", vec![(SETTINGS, 0, 0, setting(2, 2))], Goaway(&[PROTOCOL_ERROR])),
        case(
            "6.5.2",
            "INITIAL_WINDOW_SIZE above 2^31 - 1",
            vec![(SETTINGS, 0, 0, setting(4, 1 << 31))],
            Goaway(&[FLOW_CONTROL_ERROR, PROTOCOL_ERROR]),
        ),
        case(
            "6.5.2",
            "MAX_FRAME_SIZE under 16,384",
            vec![(SETTINGS, 0, 0, setting(5, 100))],
            Goaway(&[PROTOCOL_ERROR]),
        ),
        case(
            "6.7",
            "a ping of seven bytes",
            vec![(PING, 0, 0, vec![0; 7])],
            ProtocolErrorInsteadOf(FRAME_SIZE_ERROR),
        ),
        case("6.7", "a ping on a stream", vec![(PING, 0, 1, vec![0; 8])], Goaway(&[PROTOCOL_ERROR])),
        case("6.8", "GOAWAY on a stream", vec![(GOAWAY, 0, 1, vec![0; 8])], Goaway(&[PROTOCOL_ERROR])),
        case("6.9", "a window update of 0", vec![window_update(0, 0)], Goaway(&[PROTOCOL_ERROR])),
        case(
            "6.9",
            "a window update of 0 on a stream",
            vec![open_request(1), window_update(1, 0)],
            Reset(&[PROTOCOL_ERROR]),
        ),
        case(
            "6.9",
            "a window update of three bytes",
            vec![(WINDOW_UPDATE, 0, 0, vec![0; 3])],
            ProtocolErrorInsteadOf(FRAME_SIZE_ERROR),
        ),
        case(
            "6.9.1",
            "a window that overflows",
            vec![window_update(0, 0x7fff_ffff)],
            Goaway(&[FLOW_CONTROL_ERROR]),
        ),
        case(
            "6.9.1",
            "a stream's window that overflows",
            vec![valid_request(), window_update(1, 0x7fff_ffff)],
            Reset(&[FLOW_CONTROL_ERROR]),
        ),
        case(
            "6.10",
            "a CONTINUATION without HEADERS",
            vec![(CONTINUATION, 4, 1, vec![])],
            Goaway(&[PROTOCOL_ERROR]),
        ),
        case(
            "6.10",
            "a ping inside a header block",
            vec![(HEADERS, 0, 1, headers()), (PING, 0, 0, vec![0; 8])],
            Goaway(&[PROTOCOL_ERROR]),
        ),
        // RFC 7541.
        case(
            "2.3.3",
            "an index beyond the tables",
            compressed(&[0xff, 0x80, 0x01]),
            ProtocolErrorInsteadOf(COMPRESSION_ERROR),
        ),
        case("6.1", "index 0", compressed(&[0x80]), ProtocolErrorInsteadOf(COMPRESSION_ERROR)),
        case(
            "4.2",
            "a dynamic table size above the limit",
            compressed(&[0x3f, 0xe2, 0xff, 0x03]),
            ProtocolErrorInsteadOf(COMPRESSION_ERROR),
        ),
        case(
            "4.2",
            "a dynamic table size update at the start of a block",
            compressed(&[&[0x20], &headers()[..]].concat()),
            NoError,
        ),
        case(
            "4.2",
            "a dynamic table size update in the middle of a block",
            compressed(&[0x82, 0x20]),
            ProtocolErrorInsteadOf(COMPRESSION_ERROR),
        ),
        case(
            "5.1",
            "an integer that does not end",
            compressed(&[0xff; 20]),
            ProtocolErrorInsteadOf(COMPRESSION_ERROR),
        ),
        case(
            "5.2",
            "a string longer than its block",
            compressed(&[0x00, 0x7f, b'a']),
            ProtocolErrorInsteadOf(COMPRESSION_ERROR),
        ),
        case(
            "5.2",
            "a Huffman-coded string that contains EOS",
            compressed(&[0x00, 0x84, 0xff, 0xff, 0xff, 0xff, 0x01, b'a']),
            ProtocolErrorInsteadOf(COMPRESSION_ERROR),
        ),
    ]
}

#[test]
fn protocol_violations_end_as_their_rfc_section_requires() {
    let worker = WORKER.start_with(|_| {}, Some(FRONTEND));
    let mut executor = worker.accept_link();
    for case in cases() {
        let mut peer = Peer::connect(&worker, &[]);
        for (kind, flags, stream, payload) in &case.frames {
            peer.frame(*kind, *flags, *stream, payload);
        }
        let name = format!("{} {}", case.section, case.description);
        match case.expected {
            Expected::Goaway(codes) => {
                let (_, code) = peer.read_goaway();
                assert!(codes.contains(&code), "{name}: GOAWAY {code}");
            }
            Expected::Reset(codes) => {
                let is_end = |f: &Frame| f.kind == GOAWAY || f.kind == RST_STREAM;
                let frame = peer.next(&name, is_end);
                let code = if frame.kind == GOAWAY { frame.code(4) } else { frame.code(0) };
                assert!(codes.contains(&code), "{name}: {code}");
            }
            Expected::ProtocolErrorInsteadOf(required) => {
                let (_, code) = peer.read_goaway();
                assert_eq!(code, PROTOCOL_ERROR, "{name}: the section requires {required}");
            }
            Expected::NoError => {
                peer.frame(PING, 0, 0, b"whatever");
                peer.next(&name, |f| f.kind == PING && f.payload == b"whatever");
                peer.send_request(7, "nonsense", None, "hello");
                assert_eq!(peer.read_response(7).status, 404, "{name}");
            }
        }
    }
    executor.expect_no_command(&worker);
}

/// RFC 9113, sections 6.9.1 and 6.9.2: the stream window of the settings applies once the client has acknowledged them.
#[test]
fn data_beyond_the_stream_window_resets_the_stream_and_is_not_dispatched() {
    let worker = WORKER.start_with(|_| {}, Some(FRONTEND));
    let mut executor = worker.accept_link();
    let mut peer = Peer::connect(&worker, &[]);
    // Reading the settings acknowledges them; the PING acknowledgement shows that the worker has processed that.
    peer.next("SETTINGS", |f| f.kind == SETTINGS && f.flags & ACK == 0);
    peer.frame(PING, 0, 0, b"whatever");
    peer.next("the PING acknowledgement", |f| f.kind == PING && f.flags & ACK != 0);
    peer.frame(HEADERS, END_HEADERS, 1, &Peer::header_block(&Peer::request_headers("look", None)));
    peer.frame(DATA, END_STREAM, 1, &[b'x'; 5000]);
    assert_eq!(peer.read_response(1).reset, Some(FLOW_CONTROL_ERROR));
    executor.expect_no_command(&worker);
}

#[test]
fn request_in_single_bytes_is_run_once() {
    let worker = WORKER.start_with(|_| {}, Some(FRONTEND));
    let mut executor = worker.accept_link();
    let block = Peer::header_block(&Peer::request_headers("look", None));
    let bytes = [
        PREFACE.to_vec(),
        Peer::frame_bytes(SETTINGS, 0, 0, &[]),
        Peer::frame_bytes(HEADERS, END_HEADERS, 1, &block),
        Peer::frame_bytes(DATA, END_STREAM, 1, b"hello"),
    ]
    .concat();
    // One write per byte; with TCP_NODELAY each is a separate segment.
    let mut peer = Peer::silent(&worker);
    for byte in &bytes {
        peer.write_raw(&[*byte]);
    }
    let job = executor.expect_command("EXEC")["job"].clone();
    executor.send_exit(&job, "PASS", "seen");
    assert_eq!(peer.read_response(1).body, b"seen");
}
