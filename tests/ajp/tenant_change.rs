//! Idempotency keys of portals whose tenant changes, and of portals of two tenants that use the same key.

use crate::portals::{order_of, retry_of, WorkerWithDirectory};
use crate::{Ajp, FRONTEND, WORKER};
use test_support::{add_second_tenant, reserve_address, unique_request_id, SharedListener};

/// The directory is asked about every request and has the time to answer.
const DIRECTORY: &str = "timeout_ms = 10000\ncache_s = 0";

/// Guards against a second run of an order whose portal the directory assigns to another tenant between its attempts.
#[test]
fn order_runs_once_although_the_directory_changes_its_portals_tenant() {
    let mut w = WorkerWithDirectory::start(DIRECTORY);
    let mut first = w.send(&order_of("portal", "k1"), b"hello", "acme");
    let exec = w.executor.expect_command("EXEC");
    let mut during = w.send(&retry_of("portal", "k1"), b"hello", "bolt");
    w.executor.expect_no_command(&w.worker);
    w.executor.send_exit(&exec["job"], "PASS", "placed");
    assert_eq!(first.read_response().0.body, b"placed");
    assert_eq!(during.read_response().0.body, b"placed");
    // The portal may not mark its retry.
    for retry in [retry_of("portal", "k1"), order_of("portal", "k1")] {
        let mut after = w.send(&retry, b"hello", "bolt");
        w.executor.expect_no_command(&w.worker);
        assert_eq!(after.read_response().0.body, b"placed");
    }
}

/// Guards against portals that get another tenant's result, or whose key another tenant blocks.
#[test]
fn portals_of_two_tenants_use_one_key_for_different_orders() {
    let mut w = WorkerWithDirectory::start(DIRECTORY);
    let mut first = w.send(&order_of("portal-1", "k1"), b"one__", "acme");
    let first_exec = w.executor.expect_command("EXEC");
    let mut second = w.send(&retry_of("portal-2", "k1"), b"two__", "bolt");
    let second_exec = w.executor.expect_command("EXEC");
    w.executor.send_exit(&second_exec["job"], "PASS", "placed 2");
    w.executor.send_exit(&first_exec["job"], "PASS", "placed 1");
    assert_eq!(first.read_response().0.body, b"placed 1");
    assert_eq!(second.read_response().0.body, b"placed 2");
    // In turn, and after each portal has been assigned to the other's tenant.
    for [first_tenant, second_tenant] in [["acme", "bolt"], ["bolt", "acme"]] {
        let mut first = w.send(&retry_of("portal-1", "k1"), b"one__", first_tenant);
        assert_eq!(first.read_response().0.body, b"placed 1");
        let mut second = w.send(&retry_of("portal-2", "k1"), b"two__", second_tenant);
        assert_eq!(second.read_response().0.body, b"placed 2");
    }
    // A third portal, of a tenant that has used the key, has another order.
    let mut third = w.send(&retry_of("portal-3", "k1"), b"three", "acme");
    assert_eq!(third.read_response().0.status, 409);
    w.executor.expect_no_command(&w.worker);
}

/// Guards against a second run of an order that ran over HTTP, when its retry comes through a portal of another tenant.
#[test]
fn retry_over_ajp_of_another_tenants_order_over_http_fails_without_a_run() {
    let mut w = WorkerWithDirectory::start(DIRECTORY);
    w.place_order_over_http("k1");
    let mut retry = w.send(&retry_of("portal", "k1"), b"hello", "bolt");
    assert_eq!(retry.read_response().0.status, 502);
    let mut same_tenant = w.send(&retry_of("portal", "k1"), b"hello", "acme");
    assert_eq!(same_tenant.read_response().0.body, b"placed");
    w.executor.expect_no_command(&w.worker);
}

/// Guards against a second run of an order whose portal is assigned to another tenant by the operator's file of the
/// successor.
#[test]
fn order_runs_once_although_the_successors_rules_change_its_portals_tenant() {
    let (reserved, address) = reserve_address();
    drop(reserved);
    let operator = |tenant: &str| {
        let frontend = FRONTEND.replace("127.0.0.1:0", &address.to_string());
        format!("{frontend}[[ajp.tenant]]\nremote_user = \"portal\"\ntenant = \"{tenant}\"\n")
    };
    let shared = SharedListener::bind();
    let mut predecessor = WORKER.start_on_with(&shared, add_second_tenant, Some(&operator("acme")));
    predecessor.wait_log("listeners_acquired");
    let mut executor = predecessor.accept_link();
    let mut portal = Ajp::connect(address);
    portal.send(&order_of("portal", "k-ended"), b"hello");
    let exec = executor.expect_command("EXEC");
    executor.send_exit(&exec["job"], "PASS", "placed 1");
    assert_eq!(portal.read_response().0.body, b"placed 1");
    portal.send(&order_of("portal", "k-open"), b"hello");
    let exec = executor.expect_command("EXEC");

    let successor = WORKER.start_on_with(&shared, add_second_tenant, Some(&operator("bolt")));
    let mut successor_executor = successor.accept_link();
    successor.wait_ready();
    let mut retrying = Ajp::connect(address);
    assert_eq!(retrying.request(&retry_of("portal", "k-ended"), b"hello").body, b"placed 1");
    let id = unique_request_id();
    let mut open_retry = retry_of("portal", "k-open");
    open_retry.headers.push(("X-Correlation-Id", id.as_bytes()));
    retrying.send(&open_retry, b"hello");
    successor_executor.expect_no_command(&successor);
    executor.send_exit(&exec["job"], "PASS", "placed 2");
    assert_eq!(portal.read_response().0.body, b"placed 2");
    assert_eq!(retrying.read_response().0.body, b"placed 2");
}
