//! Idempotency keys of requests whose tenant (X-Org) differs between attempts, and of two tenants that use the same key.

use crate::WORKER;
use test_support::{add_second_tenant, Client, RequestBuilder};

fn order<'a>(tenant: &'a str, body: &'a str) -> RequestBuilder<'a> {
    RequestBuilder::new("order").key("k1").tenant(tenant).body(body)
}

/// Guards against a second run, a rejection or a foreign result when a retry names another tenant than the attempt that
/// ran.
#[test]
fn retry_that_names_another_tenant_fails_during_and_after_the_run() {
    let worker = WORKER.start_with(add_second_tenant, None);
    let mut executor = worker.accept_link();
    let (mut first, mut second) = (Client::connect(worker.http), Client::connect(worker.http));
    first.send(&order("acme", "hello"));
    let exec = executor.expect_command("EXEC");
    assert_eq!(second.request(&order("bolt", "hello").retry()).status, 500);
    executor.send_exit(&exec["job"], "PASS", "placed");
    assert_eq!(first.read_response().body, b"placed");
    assert_eq!(second.request(&order("bolt", "hello").retry()).status, 500);
    assert_eq!(second.request(&order("acme", "hello").retry()).body, b"placed");
    executor.expect_no_command(&worker);
}

/// Guards against a tenant that gets another's result, or that blocks another's key by guessing it.
#[test]
fn two_tenants_use_one_key_for_different_orders_at_once_and_in_turn() {
    let worker = WORKER.start_with(add_second_tenant, None);
    let mut executor = worker.accept_link();
    let (mut first, mut second) = (Client::connect(worker.http), Client::connect(worker.http));
    first.send(&order("acme", "one"));
    let first_exec = executor.expect_command("EXEC");
    // The first attempt of the second order went to another worker.
    second.send(&order("bolt", "two").retry());
    let second_exec = executor.expect_command("EXEC");
    executor.send_exit(&second_exec["job"], "PASS", "placed 2");
    executor.send_exit(&first_exec["job"], "PASS", "placed 1");
    assert_eq!(first.read_response().body, b"placed 1");
    assert_eq!(second.read_response().body, b"placed 2");
    for _ in 0..2 {
        assert_eq!(first.request(&order("acme", "one").retry()).body, b"placed 1");
        assert_eq!(second.request(&order("bolt", "two").retry()).body, b"placed 2");
    }
    executor.expect_no_command(&worker);
    // A tenant that guesses even the body doesn't block the other's first attempt.
    second.send(&order("bolt", "three").key("k2"));
    let exec = executor.expect_command("EXEC");
    executor.send_exit(&exec["job"], "PASS", "guessed");
    assert_eq!(second.read_response().body, b"guessed");
    first.send(&order("acme", "three").key("k2"));
    let exec = executor.expect_command("EXEC");
    executor.send_exit(&exec["job"], "PASS", "placed 3");
    assert_eq!(first.read_response().body, b"placed 3");
    assert_eq!(first.request(&order("acme", "three").key("k2").retry()).body, b"placed 3");
}
