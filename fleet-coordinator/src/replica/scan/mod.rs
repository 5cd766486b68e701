//! Checks protobuf data before the library parses it.
//!
//! The Raft library depends on an old protobuf crate that parses nested unknown groups by unbounded recursion
//! (RUSTSEC-2024-0437). Raft messages have no groups, so data that contains one is rejected before it is parsed.

use protobuf::{Message, ProtobufError};
use raft::eraftpb::{ConfChange, Entry, HardState, Message as RaftMessage, Snapshot};

// Protobuf's wire types.
const VARINT: u64 = 0;
const FIXED_64: u64 = 1;
const LENGTH_DELIMITED: u64 = 2;
const FIXED_32: u64 = 5;
/// The number of low bits of a field's key that encode the wire type.
const WIRE_TYPE_BITS: u32 = 3;
const WIRE_TYPE_MASK: u64 = 7;

/// Why data is not a valid message of the Raft library.
#[derive(Debug, thiserror::Error)]
pub enum ParseError {
    /// The data ends within a field's key.
    #[error("truncated field key")]
    TruncatedKey,
    /// The data ends within a field's value.
    #[error("truncated field value")]
    TruncatedField,
    /// A field is a group, or has an unknown wire type.
    #[error("field that is a group or has an unknown wire type; expected a varint, fixed-size or length-delimited field")]
    Group,
    /// The parser rejected the data.
    #[error("invalid message: {0}")]
    Invalid(#[from] ProtobufError),
}

/// The fields of a message that are themselves messages, by field number.
pub struct MessageFields(&'static [(u64, &'static MessageFields)]);

const NO_MESSAGE_FIELDS: MessageFields = MessageFields(&[]);
/// Field 1 of a snapshot's metadata is `conf_state`.
const METADATA_FIELDS: MessageFields = MessageFields(&[(1, &NO_MESSAGE_FIELDS)]);
/// A snapshot's field 2 is `metadata`.
const SNAPSHOT_FIELDS: MessageFields = MessageFields(&[(2, &METADATA_FIELDS)]);

/// A message of the Raft library whose nested messages are known.
pub trait NestedMessages: Message {
    /// The fields that are messages.
    const MESSAGE_FIELDS: MessageFields = NO_MESSAGE_FIELDS;
}

impl NestedMessages for Entry {}
impl NestedMessages for HardState {}
impl NestedMessages for ConfChange {}
impl NestedMessages for Snapshot {
    const MESSAGE_FIELDS: MessageFields = SNAPSHOT_FIELDS;
}
impl NestedMessages for RaftMessage {
    /// Field 7 is `entries`, field 9 `snapshot`.
    const MESSAGE_FIELDS: MessageFields = MessageFields(&[(7, &NO_MESSAGE_FIELDS), (9, &SNAPSHOT_FIELDS)]);
}

/// Parses a message after checking that it contains no group.
///
/// # Errors
/// The data is not a valid message or contains a group.
pub fn parse<M: NestedMessages>(bytes: &[u8]) -> Result<M, ParseError> {
    reject_groups(bytes, &M::MESSAGE_FIELDS)?;
    Ok(M::parse_from_bytes(bytes)?)
}

fn reject_groups(bytes: &[u8], fields: &MessageFields) -> Result<(), ParseError> {
    let mut at = 0usize;
    while at < bytes.len() {
        let key = read_varint(bytes, &mut at).ok_or(ParseError::TruncatedKey)?;
        let length = match key & WIRE_TYPE_MASK {
            VARINT => read_varint(bytes, &mut at).map(|_| 0),
            FIXED_64 => Some(8),
            FIXED_32 => Some(4),
            LENGTH_DELIMITED => read_varint(bytes, &mut at),
            _ => return Err(ParseError::Group),
        };
        let end = length.and_then(|length| at.checked_add(usize::try_from(length).ok()?));
        let field = end.and_then(|end| bytes.get(at..end)).ok_or(ParseError::TruncatedField)?;
        let is_message = |number: u64| key == number << WIRE_TYPE_BITS | LENGTH_DELIMITED;
        if let Some((_, inner)) = fields.0.iter().find(|(number, _)| is_message(*number)) {
            reject_groups(field, inner)?;
        }
        at += field.len();
    }
    Ok(())
}

fn read_varint(bytes: &[u8], at: &mut usize) -> Option<u64> {
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
mod tests;
