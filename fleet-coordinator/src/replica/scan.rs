//! A look at protobuf bytes before the library parses them.
//!
//! The consensus library brings an old protobuf crate that follows unknown groups by recursion, without a bound
//! (RUSTSEC-2024-0437). The messages here have no groups: what has one is refused before it is parsed.

use protobuf::Message;
use raft::eraftpb::{ConfChange, Entry, HardState, Message as Raft, Snapshot};

/// Which fields of a message are messages themselves.
pub struct Shape(&'static [(u64, &'static Shape)]);

const FLAT: Shape = Shape(&[]);
const METADATA: Shape = Shape(&[(1, &FLAT)]);
const SNAPSHOT: Shape = Shape(&[(2, &METADATA)]);

/// A message of the consensus library's, and how it is nested.
pub trait Shaped: Message {
    const SHAPE: Shape = FLAT;
}

impl Shaped for Entry {}
impl Shaped for HardState {}
impl Shaped for ConfChange {}
impl Shaped for Snapshot {
    const SHAPE: Shape = SNAPSHOT;
}
impl Shaped for Raft {
    const SHAPE: Shape = Shape(&[(7, &FLAT), (9, &SNAPSHOT)]);
}

/// Parses a message whose bytes hold no group.
///
/// # Errors
/// Why it can't be one of ours.
pub fn parse<M: Shaped>(bytes: &[u8]) -> Result<M, String> {
    look(bytes, &M::SHAPE)?;
    M::parse_from_bytes(bytes).map_err(|e| format!("not a message: {e}"))
}

fn look(bytes: &[u8], shape: &Shape) -> Result<(), String> {
    let mut at = 0usize;
    while at < bytes.len() {
        let key = varint(bytes, &mut at).ok_or("a field's number is cut off")?;
        let skipped = match key & 7 {
            0 => varint(bytes, &mut at).map(|_| 0),
            1 => Some(8),
            5 => Some(4),
            2 => varint(bytes, &mut at),
            _ => return Err("a group, which no message of ours has".to_owned()),
        };
        let end = skipped.and_then(|n| at.checked_add(usize::try_from(n).ok()?));
        let part = end.and_then(|end| bytes.get(at..end)).ok_or("a field is cut off")?;
        if let Some((_, inner)) = shape.0.iter().find(|(field, _)| key == field << 3 | 2) {
            look(part, inner)?;
        }
        at += part.len();
    }
    Ok(())
}

fn varint(bytes: &[u8], at: &mut usize) -> Option<u64> {
    let mut value = 0u64;
    for shift in (0..70).step_by(7) {
        let byte = *bytes.get(*at)?;
        *at += 1;
        value |= u64::from(byte & 0x7f).checked_shl(shift).unwrap_or(0);
        if byte & 0x80 == 0 {
            return Some(value);
        }
    }
    None
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn nested_groups_are_refused_before_the_parser_follows_them() {
        // A million opened groups: the parser alone would run out of stack on them.
        let groups = vec![0x0bu8; 1_000_000];
        assert!(parse::<Raft>(&groups).is_err());
        // Inside of what the parser takes for an entry: field 7, a length of a million.
        let mut inside = vec![0x3a, 0xc0, 0x84, 0x3d];
        inside.extend_from_slice(&groups);
        assert!(parse::<Raft>(&inside).is_err());
        // Plain bytes may look like anything.
        let entry = Entry { data: vec![0x0b; 100].into(), index: 9, ..Entry::default() };
        let message = Raft { entries: vec![entry].into(), term: 3, ..Raft::default() };
        let bytes = message.write_to_bytes().unwrap();
        assert_eq!(parse::<Raft>(&bytes), Ok(message));
        for cut in 1..bytes.len() {
            let _ = parse::<Raft>(&bytes[..cut]);
        }
    }
}
