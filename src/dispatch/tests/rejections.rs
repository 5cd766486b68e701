//! Rejections, which state that a request has not run, while other attempts of the request are known.

use super::tenants::{order_of, retry_of, sent_by, settings_with_tenants, FIRST_TENANT, SECOND_TENANT};
use super::*;
use crate::dispatch::arrival::MAX_ATTEMPTS_PER_KEY;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{HashMap, HashSet};

const DIRECTORY_UNAVAILABLE: TenantError = TenantError::DirectoryUnavailable;

impl Harness {
    /// The first tenant has used up its quota, so its next requests wait behind those of the second tenant.
    fn with_first_tenant_over_quota() -> Harness {
        let tenants = [0.0, 1000.0].map(|quota_per_s| Tenant { quota_per_s }).to_vec();
        let settings = Settings { tenants, over_quota_weight: 0.1, ..settings_with_tenants() };
        let mut h = Harness::with_settings(settings);
        for number in 11..=14 {
            h.arrive_as(Request { tenant: FIRST_TENANT, ..request(number, "") });
            h.end(number, Outcome::Ok, b"x");
        }
        h
    }

    /// Passes in an attempt of a portal for which the directory gave no tenant.
    fn arrive_without_tenant(&mut self, request: Request, error: TenantError) -> Vec<Command> {
        let request = sent_by("portal", Request { tenant: None, ..request });
        self.input(Input::ArrivedWithoutTenant { request, error })
    }
}

/// Guards against a rejection of a first attempt that waited for the directory while its retry over HTTP overtook it and
/// ran.
#[test]
fn first_attempt_without_tenant_is_not_rejected_after_its_retry_has_run() {
    let mut h = Harness::with_tenants();
    assert_eq!(runs(&h.arrive_as(retry_of(1, FIRST_TENANT, "order"))), 1);
    let responses_without_tenant = |h: &mut Harness, first_number| {
        let errors = [DIRECTORY_UNAVAILABLE, TenantError::UnknownTenant, TenantError::TimedOut];
        (first_number..)
            .zip(errors)
            .map(|(number, error)| {
                let out = h.arrive_without_tenant(order_of(number, None, "order"), error);
                assert_eq!(runs(&out), 0);
                responses(&out).remove(0).1
            })
            .collect::<Vec<_>>()
    };
    let not_rejected = [Response::Failed, Response::Failed, Response::DeadlineExceeded];
    assert_eq!(responses_without_tenant(&mut h, 2), not_rejected);
    assert_eq!(responses(&h.end(1, Outcome::Ok, b"placed")), vec![(1, served(b"placed"))]);
    assert_eq!(responses_without_tenant(&mut h, 5), not_rejected);
}

/// Guards against an order that is failed although it certainly hasn't run, because another order has its key.
#[test]
fn first_attempt_without_tenant_is_rejected_if_its_key_ran_only_for_other_orders() {
    let mut h = Harness::with_tenants();
    // Another first attempt with the same body, and a retry with another body.
    assert_eq!(runs(&h.arrive_as(order_of(1, FIRST_TENANT, "order"))), 1);
    assert_eq!(runs(&h.arrive_as(retry_of(2, SECOND_TENANT, "another"))), 1);
    let out = h.arrive_without_tenant(order_of(3, None, "order"), DIRECTORY_UNAVAILABLE);
    assert_eq!(responses(&out), vec![(3, Response::TenantUndetermined(DIRECTORY_UNAVAILABLE))]);
}

/// Guards against a rejection of a queued retry when its first attempt, of a sender that has another tenant by then, has
/// run meanwhile.
#[test]
fn queued_retry_is_not_rejected_after_its_first_attempt_has_run_under_another_tenant() {
    for process_exits in [false, true] {
        let mut h = Harness::with_first_tenant_over_quota();
        h.arrive(1, "");
        h.arrive(2, "");
        let out = [
            h.arrive_as(retry_of(3, FIRST_TENANT, "order")),
            h.arrive_as(order_of(4, SECOND_TENANT, "order")),
        ];
        assert_eq!(out.concat(), vec![]);
        let out = h.end(1, Outcome::Ok, b"x");
        assert!(out.iter().any(|c| matches!(c, Command::Run { name, .. } if &**name == "r4")), "{out:?}");
        let out = if process_exits { h.input(Input::RespondAll) } else { h.advance(3.5) };
        let retry = responses(&out).into_iter().find(|(number, _)| *number == 3).unwrap().1;
        assert!(matches!(retry, Response::Failed | Response::DeadlineExceeded), "{retry:?}");
    }
}

/// Guards against a second run of an order whose retry is queued while its first attempt, of a sender that has another tenant
/// by then, runs.
#[test]
fn queued_retry_does_not_run_after_its_first_attempt_has_run_under_another_tenant() {
    let mut h = Harness::with_first_tenant_over_quota();
    h.arrive(1, "");
    h.arrive(2, "");
    h.arrive_as(retry_of(3, FIRST_TENANT, "order"));
    h.arrive_as(retry_of(4, FIRST_TENANT, "order"));
    h.arrive_as(order_of(5, SECOND_TENANT, "order"));
    assert_eq!(runs(&h.end(1, Outcome::Ok, b"x")), 1);
    let out = h.end(2, Outcome::Ok, b"x");
    assert_eq!(runs(&out), 0);
    assert_eq!(responses(&out)[1..], [(3, Response::Failed), (4, Response::Failed)]);
    assert_eq!(responses(&h.end(5, Outcome::Ok, b"placed")), vec![(5, served(b"placed"))]);
    // The slot is free again, and so is the key for another order.
    assert_eq!(runs(&h.arrive_as(order_of(6, FIRST_TENANT, "another"))), 1);
}

/// Guards against callers that fill the memory with attempts of one key: no queue limits them, since they wait for one run.
#[test]
fn attempts_of_a_key_beyond_the_limit_are_answered_immediately() {
    let mut h = Harness::new();
    h.arrive(1, "");
    h.arrive(2, "");
    let attempts = 3..3 + MAX_ATTEMPTS_PER_KEY as u64;
    for number in attempts.clone() {
        assert_eq!(responses(&h.arrive(number, "k")), vec![]);
    }
    // The order is queued, then it runs.
    assert_eq!(responses(&h.arrive(50, "k")), vec![(50, Response::not_started())]);
    assert_eq!(runs(&h.end(1, Outcome::Ok, b"x")), 1);
    assert_eq!(responses(&h.arrive(51, "k")), vec![(51, Response::Failed)]);
    // Attempts of other keys are not affected.
    assert_eq!(responses(&h.arrive(52, "other")), vec![]);
    let out = h.end(3, Outcome::Ok, b"placed");
    let expected: Vec<_> = attempts.map(|number| (number, served(b"placed"))).collect();
    assert_eq!(responses(&out), expected);
    assert_eq!(responses(&h.arrive(53, "k")), vec![(53, served(b"placed"))]);
}

/// Guards against a failure of a request that certainly hasn't run: the entry of its own key is no evidence of a run.
#[test]
fn request_whose_run_provably_never_began_is_rejected() {
    let mut h = Harness::with_tenants();
    assert_eq!(runs(&h.arrive_as(retry_of(1, FIRST_TENANT, "order"))), 1);
    h.arrive_as(retry_of(2, FIRST_TENANT, "order"));
    let out = h.input(Input::NeverRan { name: "r1".into() });
    assert_eq!(responses(&out), vec![(1, Response::not_started()), (2, Response::not_started())]);
}

/// Number of portals in the random histories. Portals 0 and 2 have the same tenant.
const PORTALS: usize = 3;
const KEYS: [&str; 3] = ["a", "b", "c"];

/// An order: its portal and its key. Its body names both.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Order {
    portal: usize,
    key: &'static str,
}

impl Order {
    fn body(self) -> String {
        format!("{} of portal {}", self.key, self.portal)
    }

    fn tenant(self) -> usize {
        self.portal % 2
    }
}

/// What a history does with a request of a portal.
#[derive(Clone, Copy, Debug)]
enum Frontend {
    /// The tenant is named by the request.
    Http,
    /// The directory tells the tenant.
    Ajp,
    /// The directory tells no tenant.
    AjpWithoutTenant(TenantError),
}

/// A dispatcher, the attempts that were sent, and the orders whose run has begun.
struct AttemptHistory {
    harness: Harness,
    orders: HashMap<u64, Order>,
    /// Orders whose first attempt was sent. It may be read after retries, so callers send at most one unmarked attempt.
    first_sent: HashSet<Order>,
    running: Vec<u64>,
    runs: HashMap<Order, u32>,
    answered: HashSet<u64>,
}

impl AttemptHistory {
    fn new() -> AttemptHistory {
        // The windows of all keys last longer than any history.
        let mut settings = settings_with_tenants();
        settings.classes.iter_mut().for_each(|class| class.window_s = 10_000.0);
        AttemptHistory {
            harness: Harness::with_settings(settings),
            orders: HashMap::new(),
            first_sent: HashSet::new(),
            running: Vec::new(),
            runs: HashMap::new(),
            answered: HashSet::new(),
        }
    }

    fn send(&mut self, order: Order, is_first: bool, frontend: Frontend) -> Result<(), TestCaseError> {
        let number = self.orders.len() as u64 + 1;
        self.orders.insert(number, order);
        let is_first = is_first && self.first_sent.insert(order);
        let request = Request {
            tenant: Some(order.tenant()),
            body: order.body().as_bytes().into(),
            retry: !is_first,
            ..request(number, order.key)
        };
        let by_portal = |request| sent_by(&format!("portal-{}", order.portal), request);
        let input = match frontend {
            Frontend::Http => Input::Arrived(request),
            Frontend::Ajp => Input::Arrived(by_portal(request)),
            Frontend::AjpWithoutTenant(error) => {
                let request = by_portal(Request { tenant: None, ..request });
                Input::ArrivedWithoutTenant { request, error }
            }
        };
        let out = self.harness.input(input);
        self.check(out)
    }

    /// Ends a run, or reports that it never began.
    fn end_run(&mut self, selector: usize, never_ran: bool) -> Result<(), TestCaseError> {
        if self.running.is_empty() {
            return Ok(());
        }
        let number = self.running.swap_remove(selector % self.running.len());
        let order = self.orders[&number];
        let out = if never_ran {
            self.runs.entry(order).and_modify(|runs| *runs -= 1);
            self.harness.input(Input::NeverRan { name: format!("r{number}").into() })
        } else {
            self.harness.end(number, Outcome::Ok, order.body().as_bytes())
        };
        self.check(out)
    }

    /// Checks commands in the order in which they are carried out.
    fn check(&mut self, out: Vec<Command>) -> Result<(), TestCaseError> {
        for command in out {
            match command {
                Command::Run { name, .. } => {
                    let number = name[1..].parse().unwrap();
                    let order = self.orders[&number];
                    self.running.push(number);
                    let runs = self.runs.entry(order).or_default();
                    *runs += 1;
                    prop_assert!(*runs <= 1, "{:?} ran {} times", order, runs);
                }
                Command::Respond(Ticket(number), response) => {
                    prop_assert!(self.answered.insert(number), "a second response to request {}", number);
                    self.check_response(number, &response)?;
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn check_response(&self, number: u64, response: &Response) -> Result<(), TestCaseError> {
        let order = self.orders[&number];
        let has_run = self.runs.get(&order).is_some_and(|runs| *runs > 0);
        match response {
            Response::Served(result) => {
                let own_result = order.body();
                prop_assert_eq!(&**result, own_result.as_bytes());
            }
            Response::Rejected { .. } | Response::TenantUndetermined(_) => {
                prop_assert!(!has_run, "request {} of {:?} was rejected after a run", number, order);
            }
            Response::Failed | Response::DeadlineExceeded | Response::Conflict => {}
        }
        Ok(())
    }

    fn disconnect(&mut self, number: u64) -> Result<(), TestCaseError> {
        self.answered.insert(number);
        let out = self.harness.input(Input::ClientDisconnected(Ticket(number)));
        self.check(out)
    }
}

/// Attempts of an order come over two frontends and in any order, the directory is down at times, queues are full, callers
/// leave, and the process exits at the end: at the time of a rejection no attempt of its order has begun a run.
#[test]
fn random_histories_never_reject_an_attempt_of_an_order_that_has_begun_a_run() {
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[48; 32]);
    let step = (0..14u8, 0..PORTALS, 0..KEYS.len(), any::<bool>(), 1..200u32);
    let steps = proptest::collection::vec(step, 20..150);
    let ran = TestRunner::new_with_rng(config, rng).run(&steps, |steps| {
        let mut history = AttemptHistory::new();
        for (kind, portal, selector, flag, ms) in steps {
            history.harness.now += f64::from(ms) / 1000.0;
            let order = Order { portal, key: KEYS[selector] };
            match kind {
                0..=2 => history.send(order, flag, Frontend::Http)?,
                3 | 4 => history.send(order, flag, Frontend::Ajp)?,
                5 | 6 => {
                    history.send(order, flag, Frontend::AjpWithoutTenant(DIRECTORY_UNAVAILABLE))?;
                }
                7 => history.send(order, flag, Frontend::AjpWithoutTenant(TenantError::UnknownTenant))?,
                8 | 9 => history.end_run(selector, false)?,
                10 => history.end_run(selector, true)?,
                11 if !history.orders.is_empty() => {
                    let number = u64::from(ms) % history.orders.len() as u64 + 1;
                    history.disconnect(number)?;
                }
                _ => {
                    let out = history.harness.advance(f64::from(ms) / 1000.0);
                    history.check(out)?;
                }
            }
        }
        let out = history.harness.input(Input::RespondAll);
        history.check(out)?;
        let unanswered = history.orders.keys().find(|number| !history.answered.contains(number));
        prop_assert!(unanswered.is_none(), "no response to request {:?}", unanswered);
        Ok(())
    });
    ran.unwrap();
}
