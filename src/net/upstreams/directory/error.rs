//! Errors of the link to the directory.

use super::MAX_MESSAGE_BYTES;
use ldap3_proto::LdapResultCode;
use std::io;

/// Why the link to the directory is closed.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// Connecting, reading or writing failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The server has closed the link.
    #[error("closed")]
    Closed,
    /// A message exceeds the maximum length of 64 KiB.
    #[error("LDAP message exceeds the maximum length of {MAX_MESSAGE_BYTES} bytes")]
    MessageTooLong,
    /// A message can't be decoded.
    #[error("malformed LDAP message")]
    MalformedMessage,
    /// The server has rejected the bind.
    #[error("LDAP bind rejected: {0:?}")]
    BindRejected(LdapResultCode),
    /// The server has sent a message that is not valid in this state.
    #[error("unexpected LDAP message: expected the awaited bind response or a search result")]
    UnexpectedMessage,
}
