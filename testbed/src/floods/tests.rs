use super::*;

/// A flood whose frames did not parse would measure nothing but the worker's first complaint.
#[test]
fn every_flood_consists_of_complete_frames() {
    use Flood::*;
    for flood in [
        Resets,
        Settings,
        Pings,
        UnreadPings,
        EmptyData,
        Priorities,
        WindowUpdates,
        Continuations,
        HeaderBombs,
        LongHeaders,
        ShutWindows,
    ] {
        for piece in [0, 7] {
            let bytes = [prelude(flood), frames(flood, piece)].concat();
            let mut at = 0;
            while at < bytes.len() {
                let length = u32::from_be_bytes([0, bytes[at], bytes[at + 1], bytes[at + 2]]) as usize;
                assert!(length <= PIECE, "{flood:?}: a frame of {length}");
                at += 9 + length;
            }
            assert_eq!(at, bytes.len(), "{flood:?}");
        }
    }
}
