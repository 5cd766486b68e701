//! Lookup of portals' tenants in an LDAP directory.

use crate::ldap::{request_by, start_with_configuration, start_with_directory, Ldap};
use crate::portals::{order_of, WorkerWithDirectory};
use crate::Ajp;
use ldap3_proto::proto::LdapResultCode;
use serde_json::json;
use std::net::TcpListener;
use std::time::Duration;
use test_support::unique_request_id;

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

/// Guards against a request that runs although its portal has reset the connection while the directory was asked.
#[test]
fn request_whose_portal_resets_while_the_directory_is_asked_does_not_run() {
    let mut w = WorkerWithDirectory::start("timeout_ms = 10000\ncache_s = 0");
    let id = unique_request_id();
    let mut order = order_of("portal", "k1");
    order.headers.push(("X-Correlation-Id", id.as_bytes()));
    let leaving = w.send_unanswered(&order, b"hello");
    let search = w.ldap().read_message();
    leaving.reset();
    w.executor.expect_no_command(&w.worker);
    w.ldap().answer(&search, "portal", Some("acme"));
    w.executor.expect_no_command(&w.worker);
    // The portal comes again with the same id, and its order runs once.
    let mut again = w.send(&order, b"hello", "acme");
    let exec = w.executor.expect_command("EXEC");
    assert_eq!(exec["job"], id.as_str());
    w.executor.send_exit(&exec["job"], "PASS", "placed");
    assert_eq!(again.read_response().0.body, b"placed");
}
