use super::*;

/// Guards against hundreds of clients that send continuously: each within its own limit, they would delay the others' answers.
#[test]
fn bytes_read_from_all_connections_in_a_round_are_limited() {
    for (scheduled, expected) in [(0, 8192), (1, 8192), (32, 8192), (64, 4096), (256, 1024), (500, 1024)] {
        assert_eq!(max_bytes_per_poll(scheduled), expected, "{scheduled} connections");
    }
}
