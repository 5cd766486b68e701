//! The directory, in which the tenants of portals are looked up.

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

/// A scripted LDAP server, on one connection.
struct Ldap {
    stream: TcpStream,
    bytes: BytesMut,
}

impl Ldap {
    fn accept(listener: &TcpListener) -> Ldap {
        Ldap { stream: accept_link(listener), bytes: BytesMut::new() }
    }

    fn next(&mut self) -> LdapMsg {
        loop {
            if let Some(message) = LdapCodec::default().decode(&mut self.bytes).unwrap() {
                return message;
            }
            let mut some = [0; 512];
            let n = self.stream.read(&mut some).unwrap();
            assert!(n > 0, "the link was closed");
            self.bytes.extend_from_slice(&some[..n]);
        }
    }

    fn say(&mut self, msgid: i32, op: LdapOp) {
        let mut bytes = BytesMut::new();
        LdapCodec::default().encode(LdapMsg { msgid, op, ctrl: Vec::new() }, &mut bytes).unwrap();
        self.stream.write_all(&bytes).unwrap();
    }

    fn bind(&mut self, code: LdapResultCode) {
        let message = self.next();
        let LdapOp::BindRequest(bind) = message.op else { panic!("no bind") };
        assert_eq!((&bind.dn[..], &bind.cred), ("cn=worker", &LdapBindCred::Simple("pw".to_owned())));
        self.say(
            message.msgid,
            LdapOp::BindResponse(LdapBindResponse { res: result(code), saslcreds: None }),
        );
    }

    /// Answers one search; `None` where the identity is not known.
    fn search(&mut self, identity: &str, tenant: Option<&str>) {
        let message = self.next();
        let LdapOp::SearchRequest(search) = message.op else { panic!("no search") };
        assert_eq!(search.filter, LdapFilter::Equality("uid".to_owned(), identity.to_owned()));
        assert_eq!((&search.base[..], &search.attrs[..]), ("ou=portals", &["o".to_owned()][..]));
        if let Some(tenant) = tenant {
            let attributes = vec![LdapPartialAttribute { atype: "O".into(), vals: vec![tenant.into()] }];
            let entry = LdapSearchResultEntry { dn: "uid=x".into(), attributes };
            self.say(message.msgid, LdapOp::SearchResultEntry(entry));
        }
        self.say(message.msgid, LdapOp::SearchResultDone(result(LdapResultCode::Success)));
    }
}

fn result(code: LdapResultCode) -> LdapResult {
    LdapResult { code, matcheddn: String::new(), message: String::new(), referral: Vec::new() }
}

fn worker(directory: &TcpListener, more: &str) -> WorkerUnderTest {
    site_with(directory, more, |_| {})
}

fn site_with(
    directory: &TcpListener,
    more: &str,
    change: impl FnOnce(&mut serde_json::Value),
) -> WorkerUnderTest {
    let at = directory.local_addr().unwrap();
    let text = format!(
        "{FRONTEND}\n[directory]\naddress = \"{at}\"\nbind_dn = \"cn=worker\"\nbind_password = \"pw\"\n\
         base = \"ou=portals\"\nidentity = \"remote-user\"\nidentity_attribute = \"uid\"\n\
         tenant_attribute = \"o\"\n{more}\n"
    );
    WORKER.start_with(change, Some(&text))
}

fn by(user: &str) -> Forward<'_> {
    Forward { remote_user: Some(user), ..forward("/portal/look", "") }
}

#[test]
fn tenant_is_looked_up_once_and_cached_while_the_directory_is_down() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let worker = worker(&listener, "timeout_ms = 10000");
    let mut executor = worker.accept_link();
    let mut portal = Ajp::connect(worker.ajp.unwrap());
    // Signs that a filter in text would read as its own.
    let odd = "an*na)(uid=\\";
    portal.send(&by(odd), b"hello");
    let mut ldap = Ldap::accept(&listener);
    ldap.bind(LdapResultCode::Success);
    ldap.search(odd, Some("acme"));
    let exec = executor.expect_command("EXEC");
    executor.send_exit(&exec["job"], "PASS", "seen");
    assert_eq!(portal.read_response().0.status, 200);
    // Unknown to the directory, or known with a tenant that the platform does not have.
    for (user, tenant) in [("nobody", None), ("stranger", Some("elsewhere"))] {
        portal.send(&by(user), b"hello");
        ldap.search(user, tenant);
        assert_eq!(portal.read_response().0.status, 403);
    }
    // The server's end of an idle link costs no request; a server that is gone does.
    drop(ldap);
    portal.send(&by("ben"), b"hello");
    let mut ldap = Ldap::accept(&listener);
    ldap.bind(LdapResultCode::Success);
    drop((ldap, listener));
    assert_eq!(portal.read_response().0.status, 503);
    let refused = portal.request(&by("ben"), b"hello");
    assert_eq!((refused.status, refused.header("Retry-After")), (503, Some("1")));
    portal.send(&by(odd), b"hello");
    let exec = executor.expect_command("EXEC");
    executor.send_exit(&exec["job"], "PASS", "seen again");
    assert_eq!(portal.read_response().0.status, 200);
}

#[test]
fn silent_directory_costs_its_timeout_or_the_request_deadline() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let worker = worker(&listener, "timeout_ms = 300");
    let mut executor = worker.accept_link();
    let mut portal = Ajp::connect(worker.ajp.unwrap());
    assert_eq!(portal.request(&by("anna"), b"hello").status, 503);
    let mut quick = by("anna");
    quick.headers.push(("X-Deadline-Ms", b"100"));
    // While it counts as down it is not asked; then the request's own time runs out first.
    let told = (0..100).any(|_| {
        std::thread::sleep(Duration::from_millis(50));
        portal.request(&quick, b"hello").status == 504
    });
    assert!(told, "never told that its own time ran out");
    executor.expect_no_command(&worker);
}

/// The shutdown comes during a lookup: the portal gets a Retry-After before the process ends.
#[test]
fn request_waiting_for_a_silent_directory_is_answered_at_shutdown() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut worker = site_with(&listener, "timeout_ms = 10000", |c| c["stop_ms"] = json!(400));
    let _executor = worker.accept_link();
    let mut portal = Ajp::connect(worker.ajp.unwrap());
    portal.send(&by("anna"), b"hello");
    let mut ldap = Ldap::accept(&listener);
    ldap.next();
    worker.terminate();
    let (reply, reuse) = portal.read_response();
    assert_eq!((reply.status, reply.header("Retry-After"), reuse), (503, Some("1"), false));
    drop(portal);
    assert!(worker.exits_successfully());
}

#[test]
fn rejected_bind_counts_as_a_directory_that_is_down() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut worker = worker(&listener, "timeout_ms = 10000");
    let mut executor = worker.accept_link();
    let mut portal = Ajp::connect(worker.ajp.unwrap());
    portal.send(&by("anna"), b"hello");
    Ldap::accept(&listener).bind(LdapResultCode::InvalidCredentials);
    assert_eq!(portal.read_response().0.status, 503);
    worker.wait_log("LDAP bind rejected");
    executor.expect_no_command(&worker);
}
