//! RFC 9113 and RFC 7541 by section: what is sent after a sound preface, and what must come of it.

use crate::peer::*;
use crate::WORKER;

const FLOW_CONTROL_ERROR: u32 = 3;
const STREAM_CLOSED: u32 = 5;
const FRAME_SIZE_ERROR: u32 = 6;
const COMPRESSION_ERROR: u32 = 9;
const PRIORITY: u8 = 2;
const PADDED: u8 = 8;

/// What must come: the end of the connection or of stream 1 with one of these codes, or nothing, so that a ping and
/// a request after it are answered.
enum Comes {
    Goaway(&'static [u32]),
    Reset(&'static [u32]),
    /// The end of the connection with `PROTOCOL_ERROR`, where the section asks for this code: the codec has but one word
    /// for frames and blocks that it can't read, and for data on a stream that is over (docs/design/02-http2.md).
    Instead(u32),
    Nothing,
}

struct Case {
    section: &'static str,
    what: &'static str,
    /// Kind, flags, stream, payload.
    sent: Vec<(u8, u8, u32, Vec<u8>)>,
    comes: Comes,
}

fn case(section: &'static str, what: &'static str, sent: Vec<(u8, u8, u32, Vec<u8>)>, comes: Comes) -> Case {
    Case { section, what, sent, comes }
}

fn setting(id: u16, value: u32) -> Vec<u8> {
    [&id.to_be_bytes()[..], &value.to_be_bytes()[..]].concat()
}

#[expect(clippy::too_many_lines, reason = "a table of cases in the order of the RFCs' sections")]
fn cases() -> Vec<Case> {
    use Comes::*;
    let head = || Peer::block(&Peer::head("nonsense", None));
    let opened = |stream| (HEADERS, END_HEADERS, stream, head());
    // One whose body is waited for.
    let looked = || (HEADERS, END_HEADERS, 1, Peer::block(&Peer::head("look", None)));
    let asked = |stream| (HEADERS, END_HEADERS | END_STREAM, stream, head());
    let window = |stream, n: u32| (WINDOW_UPDATE, 0, stream, n.to_be_bytes().to_vec());
    let packed = |block: &[u8]| vec![(HEADERS, END_HEADERS | END_STREAM, 1, block.to_vec())];
    vec![
        case("4.1", "an unknown frame is ignored", vec![(0xee, 0xff, 0, vec![1; 50])], Nothing),
        case("4.1", "unknown flags are ignored", vec![(PING, 0xfe, 0, vec![0; 8])], Nothing),
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
        case("5.1", "a window for an idle stream", vec![window(1, 5)], Goaway(&[PROTOCOL_ERROR])),
        case(
            "5.1",
            "data after the end of its stream",
            vec![asked(1), (DATA, END_STREAM, 1, vec![0; 5])],
            Instead(STREAM_CLOSED),
        ),
        case("5.1.1", "an even stream", vec![asked(2)], Goaway(&[PROTOCOL_ERROR])),
        case(
            "5.1.1",
            "a stream that goes back",
            vec![asked(5), asked(3)],
            Goaway(&[PROTOCOL_ERROR, STREAM_CLOSED]),
        ),
        case("5.3", "priorities are ignored", vec![(PRIORITY, 0, 1, vec![0, 0, 0, 3, 9])], Nothing),
        case("6.1", "data on stream 0", vec![(DATA, 0, 0, vec![0; 5])], Goaway(&[PROTOCOL_ERROR])),
        case(
            "6.1",
            "more padding than payload",
            vec![opened(1), (DATA, PADDED, 1, vec![9, 0, 0])],
            Goaway(&[PROTOCOL_ERROR]),
        ),
        case("6.2", "headers on stream 0", vec![asked(0)], Goaway(&[PROTOCOL_ERROR])),
        case(
            "6.3",
            "a priority of four bytes",
            vec![(PRIORITY, 0, 1, vec![0; 4])],
            Instead(FRAME_SIZE_ERROR),
        ),
        case("6.4", "a reset of stream 0", vec![(RST_STREAM, 0, 0, vec![0; 4])], Goaway(&[PROTOCOL_ERROR])),
        case(
            "6.4",
            "a reset of three bytes",
            vec![opened(1), (RST_STREAM, 0, 1, vec![0; 3])],
            Instead(FRAME_SIZE_ERROR),
        ),
        case("6.5", "settings of five bytes", vec![(SETTINGS, 0, 0, vec![0; 5])], Instead(FRAME_SIZE_ERROR)),
        case("6.5", "settings on a stream", vec![(SETTINGS, 0, 1, vec![])], Goaway(&[PROTOCOL_ERROR])),
        case(
            "6.5",
            "an acknowledgement with settings",
            vec![(SETTINGS, ACK, 0, setting(3, 5))],
            Instead(FRAME_SIZE_ERROR),
        ),
        case("6.5.2", "an unknown setting is ignored", vec![(SETTINGS, 0, 0, setting(0x99, 5))], Nothing),
        case("6.5.2", "a push of 2", vec![(SETTINGS, 0, 0, setting(2, 2))], Goaway(&[PROTOCOL_ERROR])),
        case(
            "6.5.2",
            "a window above 2^31 - 1",
            vec![(SETTINGS, 0, 0, setting(4, 1 << 31))],
            Goaway(&[FLOW_CONTROL_ERROR, PROTOCOL_ERROR]),
        ),
        case(
            "6.5.2",
            "frames under 16,384",
            vec![(SETTINGS, 0, 0, setting(5, 100))],
            Goaway(&[PROTOCOL_ERROR]),
        ),
        case("6.7", "a ping of seven bytes", vec![(PING, 0, 0, vec![0; 7])], Instead(FRAME_SIZE_ERROR)),
        case("6.7", "a ping on a stream", vec![(PING, 0, 1, vec![0; 8])], Goaway(&[PROTOCOL_ERROR])),
        case("6.8", "a goodbye on a stream", vec![(GOAWAY, 0, 1, vec![0; 8])], Goaway(&[PROTOCOL_ERROR])),
        case("6.9", "a window update of 0", vec![window(0, 0)], Goaway(&[PROTOCOL_ERROR])),
        case(
            "6.9",
            "a window update of 0 on a stream",
            vec![opened(1), window(1, 0)],
            Reset(&[PROTOCOL_ERROR]),
        ),
        case(
            "6.9",
            "a window update of three bytes",
            vec![(WINDOW_UPDATE, 0, 0, vec![0; 3])],
            Instead(FRAME_SIZE_ERROR),
        ),
        case("6.9.1", "a window that overflows", vec![window(0, 0x7fff_ffff)], Goaway(&[FLOW_CONTROL_ERROR])),
        case(
            "6.9.1",
            "a stream's window that overflows",
            vec![looked(), window(1, 0x7fff_ffff)],
            Reset(&[FLOW_CONTROL_ERROR]),
        ),
        case(
            "6.10",
            "a continuation of nothing",
            vec![(CONTINUATION, 4, 1, vec![])],
            Goaway(&[PROTOCOL_ERROR]),
        ),
        case(
            "6.10",
            "a ping inside a header block",
            vec![(HEADERS, 0, 1, head()), (PING, 0, 0, vec![0; 8])],
            Goaway(&[PROTOCOL_ERROR]),
        ),
        // RFC 7541.
        case("2.3.3", "an index beyond the tables", packed(&[0xff, 0x80, 0x01]), Instead(COMPRESSION_ERROR)),
        case("6.1", "index 0", packed(&[0x80]), Instead(COMPRESSION_ERROR)),
        case("4.2", "a table above the limit", packed(&[0x3f, 0xe2, 0xff, 0x03]), Instead(COMPRESSION_ERROR)),
        case(
            "4.2",
            "a table that shrinks between two blocks",
            packed(&[&[0x20], &head()[..]].concat()),
            Nothing,
        ),
        case("4.2", "a table that shrinks in mid-block", packed(&[0x82, 0x20]), Instead(COMPRESSION_ERROR)),
        case("5.1", "an integer without end", packed(&[0xff; 20]), Instead(COMPRESSION_ERROR)),
        case(
            "5.2",
            "a string longer than its block",
            packed(&[0x00, 0x7f, b'a']),
            Instead(COMPRESSION_ERROR),
        ),
        case(
            "5.2",
            "a string packed with the end's code",
            packed(&[0x00, 0x84, 0xff, 0xff, 0xff, 0xff, 0x01, b'a']),
            Instead(COMPRESSION_ERROR),
        ),
    ]
}

#[test]
fn protocol_violations_end_as_their_rfc_section_requires() {
    let worker = WORKER.start_with(|_| {}, Some(FRONTEND));
    let mut executor = worker.accept_link();
    for case in cases() {
        let mut peer = Peer::connect(&worker, &[]);
        for (kind, flags, stream, payload) in &case.sent {
            peer.frame(*kind, *flags, *stream, payload);
        }
        let name = format!("{} {}", case.section, case.what);
        match case.comes {
            Comes::Goaway(codes) => {
                let (_, code) = peer.goaway();
                assert!(codes.contains(&code), "{name}: GOAWAY {code}");
            }
            Comes::Reset(codes) => {
                let is_end = |f: &Frame| f.kind == GOAWAY || f.kind == RST_STREAM;
                let frame = peer.next(&name, is_end);
                let code = if frame.kind == GOAWAY { frame.code(4) } else { frame.code(0) };
                assert!(codes.contains(&code), "{name}: {code}");
            }
            Comes::Instead(asked_for) => {
                let (_, code) = peer.goaway();
                assert_eq!(code, PROTOCOL_ERROR, "{name}: the section asks for {asked_for}");
            }
            Comes::Nothing => {
                peer.frame(PING, 0, 0, b"whatever");
                peer.next(&name, |f| f.kind == PING && f.payload == b"whatever");
                peer.send_request(7, "nonsense", None, "hello");
                assert_eq!(peer.read_response(7).status, 404, "{name}");
            }
        }
    }
    executor.expect_no_command(&worker);
}

/// Sections 6.9.1 and 6.9.2: the window is the settings' as soon as the client has acknowledged them.
#[test]
fn data_beyond_the_stream_window_resets_the_stream_and_is_not_dispatched() {
    let worker = WORKER.start_with(|_| {}, Some(FRONTEND));
    let mut executor = worker.accept_link();
    let mut peer = Peer::connect(&worker, &[]);
    // Reading the settings acknowledges them, and the ping's answer shows that this has been seen.
    peer.next("settings", |f| f.kind == SETTINGS && f.flags & ACK == 0);
    peer.frame(PING, 0, 0, b"whatever");
    peer.next("the ping's answer", |f| f.kind == PING && f.flags & ACK != 0);
    peer.frame(HEADERS, END_HEADERS, 1, &Peer::block(&Peer::head("look", None)));
    peer.frame(DATA, END_STREAM, 1, &[b'x'; 5000]);
    assert_eq!(peer.read_response(1).reset, Some(FLOW_CONTROL_ERROR));
    executor.expect_no_command(&worker);
}

#[test]
fn request_in_single_bytes_is_run_once() {
    let worker = WORKER.start_with(|_| {}, Some(FRONTEND));
    let mut executor = worker.accept_link();
    let block = Peer::block(&Peer::head("look", None));
    let whole = [
        PREFACE.to_vec(),
        Peer::bytes(SETTINGS, 0, 0, &[]),
        Peer::bytes(HEADERS, END_HEADERS, 1, &block),
        Peer::bytes(DATA, END_STREAM, 1, b"hello"),
    ]
    .concat();
    // A byte a write, on one connection; each is a segment of its own.
    let mut peer = Peer::silent(&worker);
    for byte in &whole {
        peer.raw(&[*byte]);
    }
    let job = executor.expect_command("EXEC")["job"].clone();
    executor.send_exit(&job, "PASS", "seen");
    assert_eq!(peer.read_response(1).body, b"seen");
}
