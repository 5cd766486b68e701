//! Exchange of load reports and digests between the workers and the leader, with the delay of the links.

use super::scenario::{FleetMode, Scenario};
use super::worker::Worker;
use port_worker::fleet::overload::events::OverloadEvent;
use port_worker::fleet::overload::leader::OverloadLeader;
use port_worker::fleet::overload::{FleetDigest, LoadReport, REPORT_INTERVAL_S};
use std::collections::{BTreeMap, VecDeque};

/// Worker that sends implausible reports in [`FleetMode::Outlier`].
const OUTLIER_WORKER: usize = 1;

/// A load report in transit to the leader.
struct ReportInFlight {
    arrives_at: f64,
    worker: usize,
    report: LoadReport,
}

/// A digest in transit to a worker, in response to the report with this number.
struct DigestInFlight {
    arrives_at: f64,
    worker: usize,
    report_number: u64,
    digest: FleetDigest,
}

/// Reports and digests in transit, in the order in which they were sent.
#[derive(Default)]
pub(super) struct ReportExchange {
    up: VecDeque<ReportInFlight>,
    down: VecDeque<DigestInFlight>,
    /// First digest of each worker, which [`FleetMode::Stale`] repeats.
    first_digests: BTreeMap<usize, FleetDigest>,
}

/// Replaces the values of a report by implausible ones.
fn outlier_report(report: &LoadReport) -> LoadReport {
    LoadReport {
        arrivals: vec![1e6; 3],
        retries: 1e6,
        capacity: 1.0,
        calls_failed: 1e6,
        call_s: 1e6,
        wanted_calls: 1e6,
        weight: 1e6,
        lent_calls: 1e6,
        ..report.clone()
    }
}

impl ReportExchange {
    /// Sends and delivers the messages that are due, and returns the events of the leader's evaluation.
    pub fn exchange(
        &mut self,
        now: f64,
        scenario: &Scenario,
        workers: &mut [Worker],
        leader: &mut OverloadLeader,
    ) -> Vec<OverloadEvent> {
        for (number, worker) in workers.iter_mut().enumerate() {
            self.send_report(now, scenario, number, worker);
        }
        while let Some(arrived) = pop_arrived(&mut self.up, |r| r.arrives_at <= now) {
            self.answer_report(now, scenario, &arrived, leader);
        }
        while let Some(arrived) = pop_arrived(&mut self.down, |d| d.arrives_at <= now) {
            workers[arrived.worker].client.receive(arrived.report_number, &arrived.digest);
        }
        leader.evaluate(now)
    }

    fn send_report(&mut self, now: f64, scenario: &Scenario, number: usize, worker: &mut Worker) {
        if now < worker.next_report {
            return;
        }
        worker.next_report += REPORT_INTERVAL_S;
        let Some(sample) = worker.dispatcher.fleet_load_sample(now) else { return };
        worker.reports += 1;
        let mut report = worker.client.report(now, worker.reports, &sample);
        if scenario.mode == FleetMode::Outlier && number == OUTLIER_WORKER {
            report = outlier_report(&report);
        }
        let arrives_at = now + scenario.digest_delay_s / 2.0;
        self.up.push_back(ReportInFlight { arrives_at, worker: number, report });
    }

    fn answer_report(
        &mut self,
        now: f64,
        scenario: &Scenario,
        arrived: &ReportInFlight,
        leader: &mut OverloadLeader,
    ) {
        let worker = arrived.worker;
        let zone = format!("z{}", worker % scenario.zones);
        leader.receive(now, worker as u64, &zone, &arrived.report);
        let mut digest = leader.digest(now, now, worker as u64, &zone);
        if scenario.mode == FleetMode::Stale {
            let number = digest.number;
            let first =
                self.first_digests.entry(worker).or_insert_with(|| FleetDigest { slice: 0.0, ..digest });
            digest = FleetDigest { number, ..first.clone() };
        }
        let arrives_at = now + scenario.digest_delay_s / 2.0;
        let report_number = arrived.report.number;
        self.down.push_back(DigestInFlight { arrives_at, worker, report_number, digest });
    }
}

fn pop_arrived<T>(queue: &mut VecDeque<T>, has_arrived: impl Fn(&T) -> bool) -> Option<T> {
    if queue.front().is_some_and(has_arrived) {
        queue.pop_front()
    } else {
        None
    }
}
