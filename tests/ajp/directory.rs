//! Lookup of portals' tenants in an LDAP directory.

use crate::{forward, Ajp, FRONTEND, WORKER};
use bytes::BytesMut;
use ldap3_proto::proto::*;
use ldap3_proto::LdapCodec;
use port_worker::net::upstreams::ajp_codec::Forward;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;
use test_support::{accept_link, WorkerUnderTest};
use tokio_util::codec::{Decoder, Encoder};

/// A scripted LDAP server on one connection.
struct Ldap {
    stream: TcpStream,
    bytes: BytesMut,
}

impl Ldap {
    fn accept(listener: &TcpListener) -> Ldap {
        Ldap { stream: accept_link(listener), bytes: BytesMut::new() }
    }

    fn read_message(&mut self) -> LdapMsg {
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
    fn answer_bind(&mut self, code: LdapResultCode) {
        let message = self.read_message();
        let LdapOp::BindRequest(bind) = message.op else { panic!("not a bind request") };
        assert_eq!((&bind.dn[..], &bind.cred), ("cn=worker", &LdapBindCred::Simple("pw".to_owned())));
        self.send(
            message.msgid,
            LdapOp::BindResponse(LdapBindResponse { res: result(code), saslcreds: None }),
        );
    }

    /// Answers a search request; a tenant of `None` means that the identity is unknown.
    fn answer_search(&mut self, identity: &str, tenant: Option<&str>) {
        let message = self.read_message();
        let LdapOp::SearchRequest(search) = message.op else { panic!("not a search request") };
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
fn start_with_directory(directory: &TcpListener, extra: &str) -> WorkerUnderTest {
    start_with_configuration(directory, extra, |_| {})
}

/// Like [`start_with_directory`], with a changed configuration.
fn start_with_configuration(
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
fn request_by(user: &str) -> Forward<'_> {
    Forward { remote_user: Some(user), ..forward("/portal/look", "") }
}

#[test]
fn tenant_is_looked_up_once_and_cached_while_the_directory_is_down() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let worker = start_with_directory(&listener, "timeout_ms = 10000");
    let mut executor = worker.accept_link();
    let mut portal = Ajp::connect(worker.ajp.unwrap());
    // A user name with characters that are special in a textual search filter.
    let special = "an*na)(uid=\\";
    portal.send(&request_by(special), b"hello");
    let mut ldap = Ldap::accept(&listener);
    ldap.answer_bind(LdapResultCode::Success);
    ldap.answer_search(special, Some("acme"));
    let exec = executor.expect_command("EXEC");
    executor.send_exit(&exec["job"], "PASS", "seen");
    assert_eq!(portal.read_response().0.status, 200);
    // The first user is unknown to the directory; the second has a tenant that is not in the configuration.
    for (user, tenant) in [("nobody", None), ("stranger", Some("elsewhere"))] {
        portal.send(&request_by(user), b"hello");
        ldap.answer_search(user, tenant);
        assert_eq!(portal.read_response().0.status, 403);
    }
    // A server that closes an idle connection fails no request; an unreachable server does.
    drop(ldap);
    portal.send(&request_by("ben"), b"hello");
    let mut ldap = Ldap::accept(&listener);
    ldap.answer_bind(LdapResultCode::Success);
    drop((ldap, listener));
    assert_eq!(portal.read_response().0.status, 503);
    let rejected = portal.request(&request_by("ben"), b"hello");
    assert_eq!((rejected.status, rejected.header("Retry-After")), (503, Some("1")));
    portal.send(&request_by(special), b"hello");
    let exec = executor.expect_command("EXEC");
    executor.send_exit(&exec["job"], "PASS", "seen again");
    assert_eq!(portal.read_response().0.status, 200);
}

#[test]
fn request_fails_at_the_timeout_of_a_silent_directory_or_at_its_deadline() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let worker = start_with_directory(&listener, "timeout_ms = 300");
    let mut executor = worker.accept_link();
    let mut portal = Ajp::connect(worker.ajp.unwrap());
    assert_eq!(portal.request(&request_by("anna"), b"hello").status, 503);
    let mut short_deadline = request_by("anna");
    short_deadline.headers.push(("X-Deadline-Ms", b"100"));
    // While the directory counts as down it is not queried. After that, the request's deadline of 100 ms comes before the
    // directory's timeout of 300 ms.
    let timed_out = (0..100).any(|_| {
        std::thread::sleep(Duration::from_millis(50));
        portal.request(&short_deadline, b"hello").status == 504
    });
    assert!(timed_out, "no request was answered with 504 at its own deadline");
    executor.expect_no_command(&worker);
}

/// At a shutdown during a lookup, the portal gets a response with Retry-After before the process exits.
#[test]
fn request_waiting_for_a_silent_directory_is_answered_at_shutdown() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut worker = start_with_configuration(&listener, "timeout_ms = 10000", |c| c["stop_ms"] = json!(400));
    let _executor = worker.accept_link();
    let mut portal = Ajp::connect(worker.ajp.unwrap());
    portal.send(&request_by("anna"), b"hello");
    let mut ldap = Ldap::accept(&listener);
    ldap.read_message();
    worker.terminate();
    let (reply, reuse) = portal.read_response();
    assert_eq!((reply.status, reply.header("Retry-After"), reuse), (503, Some("1"), false));
    drop(portal);
    assert!(worker.exits_successfully());
}

#[test]
fn rejected_bind_counts_as_a_directory_that_is_down() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut worker = start_with_directory(&listener, "timeout_ms = 10000");
    let mut executor = worker.accept_link();
    let mut portal = Ajp::connect(worker.ajp.unwrap());
    portal.send(&request_by("anna"), b"hello");
    Ldap::accept(&listener).answer_bind(LdapResultCode::InvalidCredentials);
    assert_eq!(portal.read_response().0.status, 503);
    worker.wait_log("LDAP bind rejected");
    executor.expect_no_command(&worker);
}
