//! Events of the other upstreams: AJP servers, the records service, the directory and the registry.

use crate::log::{LogEvent, FOLDED};
use crate::net::upstreams::ajp_backend::ConnectionError;
use crate::net::upstreams::directory::LinkError;
use crate::net::upstreams::records::ReplyError;
use ldap3_proto::LdapResultCode;
use std::io;
use std::net::SocketAddr;
use tracing::warn;

/// An event of an upstream other than the executor.
#[derive(Debug)]
pub enum UpstreamEvent<'a> {
    /// A connection to an AJP server failed while it carried a run.
    AjpBackendFailed(&'a ConnectionError),
    /// The head of a request does not fit into the single packet that AJP allows for it.
    AjpBackendRequestTooLarge,
    /// A reply of the records service is malformed, so the outcome of its call is indeterminate.
    RecordsReplyMalformed(ReplyError),
    /// The link to the directory was lost while lookups were pending.
    DirectoryLinkLost(&'a LinkError),
    /// The directory answered a search with an error.
    DirectorySearchFailed(&'a LdapResultCode),
    /// The registry address of a reloaded configuration can't be used.
    RegistryUnusable {
        /// The new address.
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

/// Each fault has its own call site, so that repeats of one fault are folded separately from those of the others.
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
