use super::*;

#[test]
fn nested_groups_are_rejected_before_the_parser_overflows_its_stack() {
    // A million nested group starts: without the check the parser overflows its stack on them.
    let groups = vec![0x0bu8; 1_000_000];
    assert!(parse::<RaftMessage>(&groups).is_err());
    // The same inside an entry: field 7, a length of a million.
    let mut nested = vec![0x3a, 0xc0, 0x84, 0x3d];
    nested.extend_from_slice(&groups);
    assert!(parse::<RaftMessage>(&nested).is_err());
    // A bytes field may have any content.
    let entry = Entry { data: vec![0x0b; 100].into(), index: 9, ..Entry::default() };
    let message = RaftMessage { entries: vec![entry].into(), term: 3, ..RaftMessage::default() };
    let bytes = message.write_to_bytes().unwrap();
    assert_eq!(parse::<RaftMessage>(&bytes).unwrap(), message);
    for length in 1..bytes.len() {
        let _ = parse::<RaftMessage>(&bytes[..length]);
    }
}
