use super::*;

/// The worker closes a connection at the first malformed frame, so a flood with one would measure only that.
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
        ZeroWindows,
    ] {
        for index in [0, 7] {
            let bytes = [opening_frames(flood), next_chunk(flood, index)].concat();
            let mut offset = 0;
            while offset < bytes.len() {
                let length =
                    u32::from_be_bytes([0, bytes[offset], bytes[offset + 1], bytes[offset + 2]]) as usize;
                assert!(length <= CHUNK_BYTES, "{flood:?}: frame payload of {length} bytes");
                offset += 9 + length;
            }
            assert_eq!(offset, bytes.len(), "{flood:?}");
        }
    }
}
