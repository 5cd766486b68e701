//! Why the link to the directory ends.

use ldap3_proto::LdapResultCode;
use std::io;

/// Why the link to the directory is closed.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// Connecting, reading or writing failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The server has closed it.
    #[error("closed")]
    Closed,
    /// A message is longer than it may be.
    #[error("a message has no end")]
    MessageTooLong,
    /// A message can't be read.
    #[error("a message can't be read")]
    MalformedMessage,
    /// The server has rejected the bind.
    #[error("the bind was refused: {0:?}")]
    BindRejected(LdapResultCode),
    /// A message came that nothing asked for.
    #[error("an unfit message")]
    UnexpectedMessage,
}
