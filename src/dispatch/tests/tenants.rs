//! Idempotency keys of requests whose tenant changes between attempts, and of several tenants that use the same key.

use super::*;
use crate::dispatch::idempotency::{AttemptIdentity, IdempotencyUpdate, RequestFingerprints};
use crate::hot_restart::IndeterminateKeys;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::HashSet;

pub(super) const FIRST_TENANT: Option<usize> = Some(0);
pub(super) const SECOND_TENANT: Option<usize> = Some(1);

/// Settings with two tenants, whose callers mark retries.
pub(super) fn settings_with_tenants() -> Settings {
    let tenant = Tenant { quota_per_s: 1000.0 };
    Settings { tenants: vec![tenant.clone(), tenant], marks_retries: true, ..settings() }
}

/// Makes this user the sender of a request.
pub(super) fn sent_by(user: &str, request: Request) -> Request {
    let principal = Principal { remote_user: Some(user.into()), server_name: None };
    Request { principal: Some(principal), ..request }
}

/// The first attempt of an order with key "k" and this body.
pub(super) fn order_of(number: u64, tenant: Option<usize>, body: &str) -> Request {
    Request { tenant, body: body.as_bytes().into(), ..request(number, "k") }
}

pub(super) fn retry_of(number: u64, tenant: Option<usize>, body: &str) -> Request {
    Request { retry: true, ..order_of(number, tenant, body) }
}

impl Harness {
    pub(super) fn with_tenants() -> Harness {
        Harness::with_settings(settings_with_tenants())
    }

    pub(super) fn arrive_as(&mut self, request: Request) -> Vec<Command> {
        self.input(Input::Arrived(request))
    }
}

/// Guards against a second run of an order whose sender the directory assigns to another tenant between two attempts.
#[test]
fn order_of_a_principal_that_changes_its_tenant_runs_once() {
    let mut h = Harness::with_tenants();
    // Both run slots are occupied, so the first retry waits behind the queued order.
    h.arrive(1, "");
    h.arrive(2, "");
    assert_eq!(runs(&h.arrive_as(sent_by("portal", order_of(3, FIRST_TENANT, "order")))), 0);
    assert_eq!(runs(&h.arrive_as(sent_by("portal", retry_of(4, SECOND_TENANT, "order")))), 0);
    assert_eq!(runs(&h.end(1, Outcome::Ok, b"x")), 1);
    // The second retry arrives during the run, the third after it.
    assert_eq!(runs(&h.arrive_as(sent_by("portal", retry_of(5, SECOND_TENANT, "order")))), 0);
    let out = h.end(3, Outcome::Ok, b"done");
    assert_eq!(responses(&out), vec![(3, served(b"done")), (4, served(b"done")), (5, served(b"done"))]);
    let out = h.arrive_as(sent_by("portal", retry_of(6, SECOND_TENANT, "order")));
    assert_eq!((runs(&out), responses(&out)), (0, vec![(6, served(b"done"))]));
    // Another order under the key is no retry, whichever tenant its sender has now.
    let out = h.arrive_as(sent_by("portal", order_of(7, SECOND_TENANT, "another")));
    assert_eq!(responses(&out), vec![(7, Response::Conflict)]);
}

/// Guards against a queued order that is lost, or that runs twice, when its retry under another tenant takes its place.
#[test]
fn retry_under_another_tenant_runs_in_place_of_its_queued_order_whose_caller_is_gone() {
    let mut h = Harness::with_tenants();
    h.arrive(1, "");
    h.arrive(2, "");
    h.arrive_as(sent_by("portal", order_of(3, FIRST_TENANT, "order")));
    h.arrive_as(sent_by("portal", retry_of(4, SECOND_TENANT, "order")));
    h.input(Input::ClientDisconnected(Ticket(3)));
    let out = h.end(1, Outcome::Ok, b"x");
    assert!(out.iter().any(|c| matches!(c, Command::Run { name, .. } if &**name == "r4")), "{out:?}");
    assert_eq!(responses(&h.end(4, Outcome::Ok, b"done")), vec![(4, served(b"done"))]);
    let out = h.arrive_as(sent_by("portal", retry_of(5, FIRST_TENANT, "order")));
    assert_eq!((runs(&out), responses(&out)), (0, vec![(5, served(b"done"))]));
}

/// Guards against a tenant that gets another's result, or that blocks another's key by guessing it.
#[test]
fn two_tenants_use_one_key_for_different_orders_at_once_and_in_turn() {
    let mut h = Harness::with_tenants();
    assert_eq!(runs(&h.arrive_as(order_of(1, FIRST_TENANT, "one"))), 1);
    // The second tenant sends the key while the first tenant's order runs; its first attempt went to another worker.
    assert_eq!(runs(&h.arrive_as(retry_of(2, SECOND_TENANT, "two"))), 1);
    assert_eq!(responses(&h.arrive_as(retry_of(3, FIRST_TENANT, "one"))), vec![]);
    assert_eq!(responses(&h.arrive_as(retry_of(4, SECOND_TENANT, "two"))), vec![]);
    let first = responses(&h.end(1, Outcome::Ok, b"first"));
    assert_eq!(first, vec![(1, served(b"first")), (3, served(b"first"))]);
    let second = responses(&h.end(2, Outcome::Ok, b"second"));
    assert_eq!(second, vec![(2, served(b"second")), (4, served(b"second"))]);
    for (number, tenant, body, result) in
        [(5, FIRST_TENANT, "one", b"first".as_slice()), (6, SECOND_TENANT, "two", b"second")]
    {
        let out = h.arrive_as(retry_of(number, tenant, body));
        assert_eq!((runs(&out), responses(&out)), (0, vec![(number, served(result))]));
    }
    // A first attempt is an order of its own, even if another tenant's order under the key has the same body.
    let mut h = Harness::with_tenants();
    for (number, tenant) in [(1, FIRST_TENANT), (2, SECOND_TENANT)] {
        assert_eq!(runs(&h.arrive_as(order_of(number, tenant, "same"))), 1);
    }
    assert_eq!(responses(&h.end(1, Outcome::Ok, b"first")), vec![(1, served(b"first"))]);
    assert_eq!(responses(&h.end(2, Outcome::Ok, b"second")), vec![(2, served(b"second"))]);
}

/// Guards against a second run, a rejection, and a foreign result when only the tenant of a request is known and may have
/// changed between its attempts.
#[test]
fn retry_under_another_tenant_fails_if_its_principal_is_unknown() {
    let mut h = Harness::with_tenants();
    h.arrive_as(order_of(1, FIRST_TENANT, "order"));
    let failed = |number| vec![Command::Respond(Ticket(number), Response::Failed)];
    assert_eq!(h.arrive_as(retry_of(2, SECOND_TENANT, "order")), failed(2));
    assert_eq!(responses(&h.end(1, Outcome::Ok, b"done")), vec![(1, served(b"done"))]);
    let other_portal = sent_by("other", retry_of(3, SECOND_TENANT, "order"));
    assert_eq!(h.arrive_as(other_portal), failed(3));
    assert_eq!(responses(&h.arrive_as(retry_of(4, FIRST_TENANT, "order"))), vec![(4, served(b"done"))]);
}

#[test]
fn attempt_under_another_tenant_is_a_possible_retry_where_retries_are_not_marked() {
    let mut h = Harness::with_settings(Settings { marks_retries: false, ..settings_with_tenants() });
    h.arrive_as(order_of(1, FIRST_TENANT, "order"));
    let out = h.arrive_as(order_of(2, SECOND_TENANT, "order"));
    assert_eq!(out, vec![Command::Respond(Ticket(2), Response::Failed)]);
    assert_eq!(runs(&h.arrive_as(order_of(3, SECOND_TENANT, "another"))), 1);
}

/// Guards against a second run after a hot restart between whose processes the rules for tenants have changed.
#[test]
fn order_of_a_principal_that_changes_its_tenant_across_a_hot_restart_runs_once() {
    let mut predecessor = Harness::with_tenants();
    predecessor.arrive_as(sent_by("portal", order_of(1, FIRST_TENANT, "order")));
    predecessor.end(1, Outcome::Ok, b"done");
    let state = predecessor.dispatcher.hand_off(0.0, |_| true, &mut Vec::new());
    let update = state.keys[0].clone();
    // An older predecessor reports no principal.
    let body_only = RequestFingerprints { principal: None, ..update.identity.fingerprints };
    let identity = AttemptIdentity { fingerprints: body_only, may_be_retry: true };
    let older_update = IdempotencyUpdate { identity, ..update.clone() };
    for (update, response) in [(update, served(b"done")), (older_update, Response::Failed)] {
        let mut successor = Harness::with_tenants();
        successor.dispatcher.inherit_from_predecessor(state.fingerprint_key, Vec::new());
        successor.input(Input::IdempotencyUpdate(update));
        let out = successor.arrive_as(sent_by("portal", retry_of(2, SECOND_TENANT, "order")));
        assert_eq!((runs(&out), responses(&out)), (0, vec![(2, response)]));
    }
}

/// Guards against a rejection of a retry whose order may have run in another process, because the directory is down.
#[test]
fn request_without_tenant_and_with_unknown_key_fails_if_the_key_may_have_run_elsewhere() {
    let error = TenantError::DirectoryUnavailable;
    let undetermined = Response::TenantUndetermined(error);
    for (indeterminate_keys, response) in [
        (IndeterminateKeys::None, undetermined.clone()),
        (IndeterminateKeys::RetriesUntil(9.0), Response::Failed),
        (IndeterminateKeys::All, Response::Failed),
    ] {
        let mut h = Harness::with_tenants();
        h.dispatcher.set_indeterminate_keys(indeterminate_keys);
        let request = sent_by("portal", retry_of(1, None, "order"));
        let out = h.input(Input::ArrivedWithoutTenant { request, error });
        assert_eq!((runs(&out), responses(&out)), (0, vec![(1, response)]));
        // A request without a key has run nowhere.
        let out = h.input(Input::ArrivedWithoutTenant { request: request_without_key(2), error });
        assert_eq!((runs(&out), responses(&out)), (0, vec![(2, undetermined.clone())]));
    }
}

fn request_without_key(number: u64) -> Request {
    request(number, "")
}

/// Guards against a request without a tenant that shares the entry of requests that have none because no tenants are
/// configured.
#[test]
fn request_without_tenant_is_not_that_of_a_worker_without_tenants() {
    let mut h = Harness::new();
    h.arrive(1, "k");
    h.end(1, Outcome::Ok, b"done");
    let error = TenantError::UnknownTenant;
    let out = h.input(Input::ArrivedWithoutTenant { request: sent_by("portal", request(2, "k")), error });
    assert_eq!(out, vec![Command::Respond(Ticket(2), Response::Failed)]);
}

/// Number of portals in the random histories. Each sends one order per key, whose body contains its number.
const PORTALS: usize = 3;

/// An order in a random history.
struct Order {
    portal: usize,
    key: &'static str,
}

impl Order {
    fn body(&self) -> String {
        format!("{} of portal {}", self.key, self.portal)
    }
}

/// A dispatcher, the portals' tenants, and the orders that were sent, by request number.
struct PortalHistory {
    harness: Harness,
    /// Tenants by portal.
    tenants: [usize; PORTALS],
    directory_is_down: bool,
    orders: HashMap<u64, Order>,
    running: Vec<u64>,
    /// Runs by body, which identifies the order.
    runs_by_body: HashMap<String, u32>,
    /// Requests whose order had already begun to run when they arrived.
    sent_after_run: HashSet<u64>,
    responses: HashMap<u64, Response>,
}

impl PortalHistory {
    fn new() -> PortalHistory {
        PortalHistory {
            harness: Harness::with_tenants(),
            tenants: [0, 1, 0],
            directory_is_down: false,
            orders: HashMap::new(),
            running: Vec::new(),
            runs_by_body: HashMap::new(),
            sent_after_run: HashSet::new(),
            responses: HashMap::new(),
        }
    }

    fn send(&mut self, portal: usize, key: &'static str) {
        let number = self.orders.len() as u64 + 1;
        let order = Order { portal, key };
        if self.runs_by_body.contains_key(&order.body()) {
            self.sent_after_run.insert(number);
        }
        let is_retry = self.orders.values().any(|earlier| earlier.portal == portal && earlier.key == key);
        let request = Request {
            tenant: Some(self.tenants[portal]),
            body: order.body().as_bytes().into(),
            retry: is_retry,
            ..request(number, key)
        };
        self.orders.insert(number, order);
        let request = sent_by(&format!("portal-{portal}"), request);
        let out = self.harness.input(if self.directory_is_down {
            let request = Request { tenant: None, ..request };
            Input::ArrivedWithoutTenant { request, error: TenantError::DirectoryUnavailable }
        } else {
            Input::Arrived(request)
        });
        self.record(out);
    }

    fn end_run(&mut self, selector: usize) {
        if self.running.is_empty() {
            return;
        }
        let number = self.running.swap_remove(selector % self.running.len());
        let result = self.orders[&number].body();
        let out = self.harness.end(number, Outcome::Ok, result.as_bytes());
        self.record(out);
    }

    fn record(&mut self, out: Vec<Command>) {
        for (number, response) in responses(&out) {
            assert_eq!(
                self.responses.insert(number, response),
                None,
                "a second response to request {number}"
            );
        }
        for command in out {
            let Command::Run { name, .. } = command else { continue };
            let number = name[1..].parse().unwrap();
            self.running.push(number);
            *self.runs_by_body.entry(self.orders[&number].body()).or_default() += 1;
        }
    }

    /// Checks each request's response. `moved` tells which portals have changed their tenant.
    fn check_responses(&self, moved: [bool; PORTALS]) -> Result<(), TestCaseError> {
        for (number, order) in &self.orders {
            let response = self.responses.get(number);
            prop_assert!(response.is_some(), "no response to request {}", number);
            match response {
                Some(Response::Served(result)) => {
                    let own_result = order.body();
                    prop_assert_eq!(&**result, own_result.as_bytes());
                }
                Some(Response::Rejected { .. } | Response::TenantUndetermined(_)) => {
                    prop_assert!(!self.sent_after_run.contains(number), "request {} ran before", number);
                }
                // Portals 0 and 2 share a tenant from the start, so their keys may conflict. Portal 1 shares its tenant
                // only after a move.
                Some(Response::Conflict) if order.portal == 1 => {
                    prop_assert!(
                        moved.contains(&true),
                        "request {} of the only portal of its tenant",
                        number
                    );
                }
                _ => {}
            }
        }
        Ok(())
    }
}

/// Portals of two tenants use the same keys for different orders, change their tenants meanwhile, and at times have none,
/// since the directory is down: each order runs at most once, each request gets one response, no portal gets another's
/// result, and no request of an order that has run is rejected.
#[test]
fn random_histories_of_portals_that_change_tenants_run_each_order_once() {
    let config = Config { cases: 200, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[40; 32]);
    let step = (0..13u8, 0..PORTALS, 0..3usize, 1..60u32);
    let steps = proptest::collection::vec(step, 20..150);
    let ran = TestRunner::new_with_rng(config, rng).run(&steps, |steps| {
        let mut history = PortalHistory::new();
        let mut moved = [false; PORTALS];
        let portals_move = steps[0].0 < 8;
        for (kind, portal, selector, ms) in steps {
            history.harness.now += f64::from(ms) / 1000.0;
            match kind {
                0..=5 => history.send(portal, ["a", "b", "c"][selector]),
                6..=9 => history.end_run(selector),
                10 => history.directory_is_down = !history.directory_is_down,
                _ if portals_move => {
                    history.tenants[portal] = 1 - history.tenants[portal];
                    moved[portal] = true;
                }
                _ => {}
            }
        }
        for _ in 0..200 {
            history.end_run(0);
            let out = history.harness.advance(0.05);
            history.record(out);
        }
        for (body, runs) in &history.runs_by_body {
            prop_assert!(*runs <= 1, "order {} ran {} times", body, runs);
        }
        history.check_responses(moved)
    });
    ran.unwrap();
}
