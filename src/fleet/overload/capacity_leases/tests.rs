#![expect(
    clippy::float_cmp,
    reason = "these values are exact: sums of binary fractions, or values passed through"
)]

use super::server::{max_min_fair_shares, Demand};
use super::*;
use proptest::prelude::*;
use std::collections::VecDeque;

const WORKERS: usize = 3;
const BASE_CALLS: f64 = 4.0;
/// The relative drift between clocks that workers tolerate. In the simulation, clocks differ by this maximum, in the
/// direction that shortens loans and lengthens slices.
const DRIFT: f64 = 0.1;
const FAST_CLOCK: f64 = 1.0 + DRIFT / 2.0;
const SLOW_CLOCK: f64 = 1.0 - DRIFT / 2.0;

#[derive(Clone, Debug)]
enum Step {
    /// Time advances (seconds).
    Elapse(f64),
    /// A worker reports how many calls it can spare; a negative number is a demand.
    Report(usize, f64),
    /// The oldest report on a worker's link reaches the leader.
    Arrive(usize),
    /// The leader answers the oldest report that it has received from a worker.
    Answer(usize),
    /// The oldest answer on a worker's link reaches the worker.
    Deliver(usize),
    /// A worker's link is lost and replaced by one to the newest leader.
    Reconnect(usize),
    /// A worker's process is replaced by a new one.
    Restart(usize),
    /// A new leader takes over.
    NewLeader,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let worker = 0..WORKERS;
    let step = prop_oneof![
        4 => (0.0..1.2f64).prop_map(Step::Elapse),
        5 => (worker.clone(), -6.0..6.0f64).prop_map(|(w, spare)| Step::Report(w, spare)),
        5 => worker.clone().prop_map(Step::Arrive),
        5 => worker.clone().prop_map(Step::Answer),
        5 => worker.clone().prop_map(Step::Deliver),
        1 => worker.clone().prop_map(Step::Reconnect),
        1 => worker.prop_map(Step::Restart),
        1 => Just(Step::NewLeader),
    ];
    prop::collection::vec(step, 0..200)
}

/// The safety rule that a simulation leaves out, to show that it is necessary.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RemovedGuard {
    None,
    /// A new leader grants slices immediately.
    NoWait,
    /// A loan counts from when the latest digest was sent, whether or not the lender had received it.
    AnyDigest,
    /// A new process uses its full base allocation.
    FullAllocation,
    /// Workers apply no margin for clock drift to loans and slices.
    NoDrift,
}

/// The report of a worker that can spare `spare` calls; a negative number is a demand.
fn report_of(offer: LoanOffer, spare: f64) -> CapacityReport {
    CapacityReport {
        last_digest: offer.last_digest,
        lent_calls: offer.lent_calls,
        wanted_calls: (-spare).max(0.0),
        weight: 1.0,
    }
}

/// A worker, and the messages between it and its leader.
struct Worker {
    client: CapacityClient,
    /// Index of the leader to which the worker is connected.
    leader: usize,
    /// Number of the latest report.
    number: u64,
    /// Reports in transit to the leader, with their numbers.
    reports: VecDeque<(u64, CapacityReport)>,
    /// Numbers of the reports that wait for the quorum's confirmation, and when they were received.
    received: VecDeque<(u64, f64)>,
    /// Answers in transit to the worker, with the numbers of their reports.
    grants: VecDeque<(u64, SliceGrant)>,
}

impl Worker {
    fn new(client: CapacityClient) -> Worker {
        Worker {
            client,
            leader: 0,
            number: 0,
            reports: VecDeque::new(),
            received: VecDeque::new(),
            grants: VecDeque::new(),
        }
    }
}

/// Simulation of leaders and workers whose clocks differ, optionally without one of the safety rules.
struct Simulation {
    removed: RemovedGuard,
    now: f64,
    /// In the order of their terms.
    leaders: Vec<CapacityLeaseServer>,
    workers: Vec<Worker>,
}

impl Simulation {
    fn new(removed: RemovedGuard) -> Simulation {
        let mut simulation = Simulation { removed, now: 1000.0, leaders: Vec::new(), workers: Vec::new() };
        simulation.leaders.push(CapacityLeaseServer::new(simulation.leader_clock(), BASE_CALLS));
        for w in 0..WORKERS {
            simulation.workers.push(Worker::new(simulation.client(w, true)));
        }
        simulation
    }

    /// The client of a worker's process that either has been running for a long time or starts now.
    fn client(&self, w: usize, long_running: bool) -> CapacityClient {
        let now = self.worker_clock(w);
        let began = if long_running { now - 100.0 } else { now };
        let drift = if self.removed == RemovedGuard::NoDrift { 0.0 } else { DRIFT };
        CapacityClient::new(began, BASE_CALLS, drift)
    }

    fn leader_clock(&self) -> f64 {
        self.now * FAST_CLOCK
    }

    /// The lender's clock is fast, so that its loans end early; the borrowers' clocks are slow, so that their slices end
    /// late.
    fn worker_clock(&self, w: usize) -> f64 {
        self.now * if w == 0 { FAST_CLOCK } else { SLOW_CLOCK }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Elapse(seconds) => self.now += seconds,
            Step::Report(w, spare) => self.report(w, spare),
            Step::Arrive(w) => self.arrive(w),
            Step::Answer(w) => self.answer(w),
            Step::Deliver(w) => {
                let worker = &mut self.workers[w];
                if let Some((number, grant)) = worker.grants.pop_front() {
                    worker.client.receive(number, grant);
                }
            }
            Step::Reconnect(w) => {
                self.relink(w);
                self.workers[w].client.reconnected();
            }
            Step::Restart(w) => {
                self.relink(w);
                self.workers[w].client = self.client(w, self.removed == RemovedGuard::FullAllocation);
            }
            Step::NewLeader => {
                let now = self.leader_clock();
                let from = if self.removed == RemovedGuard::NoWait { now } else { now + SLICE_S };
                self.leaders.push(CapacityLeaseServer::with_grant_start(from, BASE_CALLS));
            }
        }
    }

    fn report(&mut self, w: usize, spare: f64) {
        let now = self.worker_clock(w);
        let worker = &mut self.workers[w];
        worker.number += 1;
        let offer = worker.client.report(now, worker.number, spare);
        worker.reports.push_back((worker.number, report_of(offer, spare)));
    }

    fn arrive(&mut self, w: usize) {
        let now = self.leader_clock();
        let worker = &mut self.workers[w];
        let leader = &mut self.leaders[worker.leader];
        let Some((number, mut report)) = worker.reports.pop_front() else { return };
        if self.removed == RemovedGuard::AnyDigest {
            let worker_state = leader.workers.get(&(w as u64));
            let newest_digest = worker_state.and_then(|worker_state| worker_state.sent_digests.back());
            report.last_digest = newest_digest.map_or(0, |digest| digest.number);
        }
        leader.receive_report(now, w as u64, report);
        worker.received.push_back((number, now));
    }

    fn answer(&mut self, w: usize) {
        let now = self.leader_clock();
        let newest = self.leaders.len() - 1;
        let worker = &mut self.workers[w];
        // A superseded leader has no quorum and cannot answer.
        if worker.leader == newest {
            if let Some((number, received_at)) = worker.received.pop_front() {
                let grant = self.leaders[newest].grant(now, received_at, w as u64);
                worker.grants.push_back((number, grant));
            }
        }
    }

    /// Drops all messages in transit on a worker's link, and connects the worker to the newest leader.
    fn relink(&mut self, w: usize) {
        let worker = &mut self.workers[w];
        worker.reports.clear();
        worker.received.clear();
        worker.grants.clear();
        worker.leader = self.leaders.len() - 1;
    }

    /// The calls that all workers together may have in flight.
    fn max_in_flight(&self) -> f64 {
        let calls = |(w, worker): (usize, &Worker)| worker.client.max_in_flight(self.worker_clock(w));
        self.workers.iter().enumerate().map(calls).sum()
    }
}

/// Runs the steps. Returns the first total of permitted calls in flight that exceeds the sum of the base allocations.
fn first_excess(steps: &[Step], removed: RemovedGuard) -> Option<f64> {
    let mut simulation = Simulation::new(removed);
    for step in steps {
        simulation.step(step);
        let in_flight = simulation.max_in_flight();
        if in_flight > BASE_CALLS * WORKERS as f64 + 1e-9 {
            return Some(in_flight);
        }
    }
    None
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn calls_in_flight_never_exceed_the_sum_of_base_allocations(steps in steps()) {
        prop_assert_eq!(first_excess(&steps, RemovedGuard::None), None);
    }
}

/// A report that is received and answered without loss or delay.
fn exchange(worker: usize, spare: f64) -> Vec<Step> {
    vec![Step::Report(worker, spare), Step::Arrive(worker), Step::Answer(worker), Step::Deliver(worker)]
}

/// Worker 0 lends one call, which is granted to worker 1.
fn one_call_lent() -> Vec<Step> {
    let wait = vec![Step::Elapse(1.2)];
    [wait, exchange(0, 3.0), exchange(0, 3.0), vec![Step::Elapse(0.15)], exchange(1, -3.0)].concat()
}

#[test]
fn without_any_one_guard_of_loans_and_slices_calls_exceed_the_sum() {
    let lend_to_new_leader =
        [vec![Step::NewLeader, Step::Reconnect(0), Step::Reconnect(2)], exchange(0, 3.0), exchange(0, 3.0)]
            .concat();
    let delayed_loan = vec![
        // The answer to one report is delayed, and so is a later report that offers a loan.
        Step::Report(0, 0.0),
        Step::Arrive(0),
        Step::Report(0, 3.0),
        Step::Elapse(2.9),
        Step::Answer(0),
        Step::Arrive(0),
    ];
    let fair_share_refresh = vec![Step::Elapse(0.15)];
    for (removed, steps) in [
        (
            RemovedGuard::NoWait,
            [one_call_lent(), lend_to_new_leader, fair_share_refresh.clone(), exchange(2, -3.0)].concat(),
        ),
        (
            RemovedGuard::AnyDigest,
            [
                vec![Step::Elapse(1.2)],
                exchange(0, 0.0),
                delayed_loan,
                fair_share_refresh,
                exchange(1, -3.0),
                vec![Step::Elapse(0.4)],
            ]
            .concat(),
        ),
        (RemovedGuard::FullAllocation, [one_call_lent(), vec![Step::Restart(0)]].concat()),
        (
            RemovedGuard::NoDrift,
            [
                one_call_lent(),
                vec![Step::Elapse(1.75)],
                exchange(1, -3.0),
                vec![Step::Elapse(1.0), Step::Elapse(0.0)],
            ]
            .concat(),
        ),
    ] {
        assert_eq!(first_excess(&steps, RemovedGuard::None), None, "{removed:?}");
        assert!(first_excess(&steps, removed).is_some(), "the sum is not exceeded with {removed:?}");
    }
}

#[test]
fn lent_calls_are_granted_within_two_reports_and_return_when_the_loan_expires() {
    let mut server = CapacityLeaseServer::new(0.0, BASE_CALLS);
    let mut clients =
        [CapacityClient::new(-10.0, BASE_CALLS, DRIFT), CapacityClient::new(-10.0, BASE_CALLS, DRIFT)];
    let mut round = |now: f64, number: u64, spare: [f64; 2]| {
        for w in 0..2 {
            let offer = clients[w].report(now, number, spare[w]);
            server.receive_report(now, w as u64, report_of(offer, spare[w]));
        }
        for (w, client) in clients.iter_mut().enumerate() {
            let grant = server.grant(now, now, w as u64);
            client.receive(number, grant);
        }
        [clients[0].max_in_flight(now), clients[1].max_in_flight(now)]
    };
    assert_eq!(
        round(1.0, 1, [3.0, -3.0]),
        [BASE_CALLS, BASE_CALLS],
        "without a digest the leader cannot count a loan"
    );
    assert_eq!(
        round(1.5, 2, [3.0, -3.0]),
        [BASE_CALLS - 1.0, BASE_CALLS + 1.0],
        "at most a quarter of a base allocation"
    );
    assert_eq!(round(2.0, 3, [0.0, -0.5]), [BASE_CALLS - 1.0, BASE_CALLS + 0.5], "at most the demand");
    // The lender needs the call again, but the loan lasts as promised; the slice expires before it.
    assert_eq!(round(2.5, 4, [-1.0, -3.0])[0], BASE_CALLS - 1.0);
    assert_eq!(round(4.0, 5, [-1.0, -3.0]), [BASE_CALLS - 1.0, BASE_CALLS]);
    assert_eq!(round(5.0, 6, [-1.0, -3.0]), [BASE_CALLS, BASE_CALLS]);
}

#[test]
fn shares_are_proportional_to_weight_and_never_exceed_the_demand() {
    let demand = |worker, wanted_calls, weight| Demand { worker, wanted_calls, weight };
    let shares =
        max_min_fair_shares(6.0, vec![demand(1, 1.0, 5.0), demand(2, 9.0, 2.0), demand(3, 9.0, 3.0)]);
    assert_eq!(shares.into_iter().collect::<Vec<_>>(), [(1, 1.0), (2, 2.0), (3, 3.0)]);
    assert!(max_min_fair_shares(6.0, Vec::new()).is_empty());
}

#[test]
fn excessive_reports_lend_at_most_a_quarter_and_receive_at_most_what_is_lent() {
    let mut server = CapacityLeaseServer::new(0.0, BASE_CALLS);
    for now in [1.0, 1.5] {
        for (worker, lent_calls, wanted_calls) in [(1, 1e6, 0.0), (2, 0.0, 1e6)] {
            let last_digest = u64::from(now > 1.0);
            server.receive_report(
                now,
                worker,
                CapacityReport { last_digest, lent_calls, wanted_calls, weight: 1e6 },
            );
            server.grant(now, now, worker);
        }
    }
    assert_eq!(server.totals(1.5), CapacityTotals { lent: 1.0, granted: 1.0 });
}
