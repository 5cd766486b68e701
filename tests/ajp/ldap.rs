//! A scripted LDAP directory, and workers that look tenants up in it.

use crate::{forward, FRONTEND, WORKER};
use bytes::BytesMut;
use ldap3_proto::proto::*;
use ldap3_proto::LdapCodec;
use port_worker::net::upstreams::ajp_codec::Forward;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use test_support::{accept_link, WorkerUnderTest};
use tokio_util::codec::{Decoder, Encoder};

/// A scripted LDAP server on one connection.
pub struct Ldap {
    stream: TcpStream,
    bytes: BytesMut,
}

impl Ldap {
    pub fn accept(listener: &TcpListener) -> Ldap {
        Ldap { stream: accept_link(listener), bytes: BytesMut::new() }
    }

    pub fn read_message(&mut self) -> LdapMsg {
        loop {
            if let Some(message) = LdapCodec::default().decode(&mut self.bytes).unwrap() {
                return message;
            }
            let mut buffer = [0; 512];
            let n = self.stream.read(&mut buffer).unwrap();
            assert!(n > 0, "the connection was closed");
            self.bytes.extend_from_slice(&buffer[..n]);
        }
    }

    fn send(&mut self, msgid: i32, op: LdapOp) {
        let mut bytes = BytesMut::new();
        LdapCodec::default().encode(LdapMsg { msgid, op, ctrl: Vec::new() }, &mut bytes).unwrap();
        self.stream.write_all(&bytes).unwrap();
    }

    /// Answers a bind request.
    pub fn answer_bind(&mut self, code: LdapResultCode) {
        let message = self.read_message();
        let LdapOp::BindRequest(bind) = message.op else { panic!("not a bind request") };
        assert_eq!((&bind.dn[..], &bind.cred), ("cn=worker", &LdapBindCred::Simple("pw".to_owned())));
        self.send(
            message.msgid,
            LdapOp::BindResponse(LdapBindResponse { res: result(code), saslcreds: None }),
        );
    }

    /// Answers a search request; a tenant of `None` means that the identity is unknown.
    pub fn answer_search(&mut self, identity: &str, tenant: Option<&str>) {
        let message = self.read_message();
        self.answer(&message, identity, tenant);
    }

    /// Answers a search request that has been read.
    pub fn answer(&mut self, message: &LdapMsg, identity: &str, tenant: Option<&str>) {
        let LdapOp::SearchRequest(search) = &message.op else { panic!("not a search request") };
        assert_eq!(search.filter, LdapFilter::Equality("uid".to_owned(), identity.to_owned()));
        assert_eq!((&search.base[..], &search.attrs[..]), ("ou=portals", &["o".to_owned()][..]));
        if let Some(tenant) = tenant {
            let attributes = vec![LdapPartialAttribute { atype: "O".into(), vals: vec![tenant.into()] }];
            let entry = LdapSearchResultEntry { dn: "uid=x".into(), attributes };
            self.send(message.msgid, LdapOp::SearchResultEntry(entry));
        }
        self.send(message.msgid, LdapOp::SearchResultDone(result(LdapResultCode::Success)));
    }
}

fn result(code: LdapResultCode) -> LdapResult {
    LdapResult { code, matcheddn: String::new(), message: String::new(), referral: Vec::new() }
}

/// Starts a worker that looks tenants up in this directory, with additional lines for the directory's block.
pub fn start_with_directory(directory: &TcpListener, extra: &str) -> WorkerUnderTest {
    start_with_configuration(directory, extra, |_| {})
}

/// Like [`start_with_directory`], with a changed configuration.
pub fn start_with_configuration(
    directory: &TcpListener,
    extra: &str,
    change: impl FnOnce(&mut serde_json::Value),
) -> WorkerUnderTest {
    let address = directory.local_addr().unwrap();
    let text = format!(
        "{FRONTEND}\n[directory]\naddress = \"{address}\"\nbind_dn = \"cn=worker\"\nbind_password = \"pw\"\n\
         base = \"ou=portals\"\nidentity = \"remote-user\"\nidentity_attribute = \"uid\"\n\
         tenant_attribute = \"o\"\n{extra}\n"
    );
    WORKER.start_with(change, Some(&text))
}

/// A request of this remote user.
pub fn request_by(user: &str) -> Forward<'_> {
    Forward { remote_user: Some(user), ..forward("/portal/look", "") }
}
