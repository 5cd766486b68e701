//! Events of the other upstreams: AJP servers, the records service, the directory and the registry.

use crate::log::{LogEvent, FOLDED};
use crate::net::upstreams::ajp_backend::ConnectionError;
use crate::net::upstreams::directory::LinkError;
use crate::net::upstreams::records::ReplyError;
use ldap3_proto::LdapResultCode;
use std::io;
use std::net::SocketAddr;
use tracing::warn;

/// What an upstream reports.
#[derive(Debug)]
pub enum UpstreamEvent<'a> {
    /// A connection to an AJP server failed while it carried a run.
    AjpBackendFailed(&'a ConnectionError),
    /// A request does not fit into the one packet that AJP has for its head.
    AjpBackendRequestTooLarge,
    /// A reply of the records service can't be read: the outcome of its call is indeterminate.
    RecordsReplyMalformed(ReplyError),
    /// The link to the directory is lost while lookups wait.
    DirectoryLinkLost(&'a LinkError),
    /// The directory has ended a search with an error.
    DirectorySearchFailed(&'a LdapResultCode),
    /// A reload names a registry that can't be used.
    RegistryUnusable {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        error: &'a io::Error,
    },
}

impl LogEvent for UpstreamEvent<'_> {
    fn emit(&self) {
        match self {
            UpstreamEvent::AjpBackendFailed(error) => warn!(name: "ajp_backend_failed", cause = %error),
            UpstreamEvent::AjpBackendRequestTooLarge => {
                warn!(name: "ajp_backend_request_too_large", cause = "head_exceeds_packet");
            }
            UpstreamEvent::RecordsReplyMalformed(error) => emit_malformed_reply(*error),
            UpstreamEvent::DirectoryLinkLost(error) => warn!(name: "directory_link_lost", cause = %error),
            UpstreamEvent::DirectorySearchFailed(code) => {
                warn!(name: "directory_search_failed", code = ?code);
            }
            UpstreamEvent::RegistryUnusable { address, error } => {
                warn!(name: "registry_unusable", address = %address, cause = %error);
            }
        }
    }
}

/// Each fault has a place of its own, so that its repeats are folded apart from the others.
fn emit_malformed_reply(error: ReplyError) {
    match error {
        ReplyError::Head => {
            warn!(name: "records_reply_malformed", target: FOLDED, cause = "unreadable_head");
        }
        ReplyError::ProtocolChange => {
            warn!(name: "records_reply_malformed", target: FOLDED, cause = "protocol_change");
        }
        ReplyError::Length => {
            warn!(name: "records_reply_malformed", target: FOLDED, cause = "content_length");
        }
        ReplyError::Encoding => {
            warn!(name: "records_reply_malformed", target: FOLDED, cause = "transfer_encoding");
        }
    }
}
