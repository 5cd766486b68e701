//! Idempotency keys in a simulated chain of processes that are replaced by a platform: processes hang, recover and die, and
//! no key runs twice within its window.

use super::process_chain::Simulation;
use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Time from the shutdown notice of a replaced process to its end (seconds).
const KILL_AFTER_NOTICE_S: f64 = 3.7;
const STEP_S: f64 = 0.2;

/// A platform that starts successors, and stops each process once its successor serves.
#[derive(Default)]
struct Platform {
    simulation: Simulation,
    /// When each process was sent its shutdown notice, by process.
    noticed_at: Vec<Option<f64>>,
    /// Processes that have not handled their notice yet, since they hang.
    notice_pending: Vec<bool>,
    /// When each key has run, by key.
    run_at: Vec<f64>,
}

/// What the owner does with an attempt.
#[derive(Debug, PartialEq)]
enum Handling {
    Runs,
    SharesRun,
    Fails,
    NoOwner,
}

impl Platform {
    /// Starts the next process, which can serve at once.
    fn start(&mut self) {
        let processes = self.simulation.chain.len();
        self.simulation.start();
        if self.simulation.chain.len() > processes {
            self.noticed_at.push(None);
            self.notice_pending.push(false);
            self.simulation.notify_if_alive(processes, Event::ReadyToServe);
        }
    }

    fn recover(&mut self, i: usize) {
        self.simulation.chain[i].hung = false;
        while self.simulation.receive(i) {}
        if std::mem::take(&mut self.notice_pending[i]) {
            self.simulation.notify_if_alive(i, Event::ShutdownNotice);
        }
    }

    /// Lets time pass: messages are received, timers expire, and replaced processes are stopped.
    fn advance(&mut self) {
        let processes = self.simulation.chain.len();
        while (0..processes).any(|i| self.simulation.receive(i)) {}
        self.simulation.now += STEP_S;
        (0..processes).for_each(|i| self.simulation.notify_if_alive(i, Event::Tick));
        while (0..processes).any(|i| self.simulation.receive(i)) {}
        for i in 0..processes.saturating_sub(1) {
            self.stop_if_replaced(i);
        }
    }

    fn stop_if_replaced(&mut self, i: usize) {
        let now = self.simulation.now;
        if let Some(noticed_at) = self.noticed_at[i] {
            if now >= noticed_at + KILL_AFTER_NOTICE_S {
                self.simulation.kill(i);
            }
        } else if self.simulation.chain[i + 1].ownership.is_owner() {
            self.noticed_at[i] = Some(now);
            self.notice_pending[i] = self.simulation.chain[i].hung;
            self.simulation.notify_if_alive(i, Event::ShutdownNotice);
        }
    }

    /// Sends an attempt to the process that accepts clients.
    fn send(&mut self, key: usize, is_retry: bool) -> Handling {
        let now = self.simulation.now;
        let accepts = |p: &&mut super::process_chain::Process| p.alive && !p.hung && p.ownership.is_owner();
        let Some(owner) = self.simulation.chain.iter_mut().find(accepts) else { return Handling::NoOwner };
        if owner.keys.contains(&key) {
            return Handling::SharesRun;
        }
        if owner.indeterminate_keys.covers(now, is_retry) {
            return Handling::Fails;
        }
        owner.keys.insert(key);
        Handling::Runs
    }

    fn send_new_order(&mut self) -> Handling {
        let key = self.run_at.len();
        let handling = self.send(key, false);
        if handling == Handling::Runs {
            self.run_at.push(self.simulation.now);
        }
        handling
    }

    fn retry_all_orders_in_their_windows(&mut self) -> Result<(), TestCaseError> {
        for key in 0..self.run_at.len() {
            let in_window = self.simulation.now <= self.run_at[key] + WINDOW_S;
            if in_window && self.send(key, true) == Handling::Runs {
                return Err(TestCaseError::fail(format!("key {key} ran twice within its window")));
            }
        }
        Ok(())
    }
}

/// Advances by this many steps, and retries all orders after each.
fn advance_and_retry(platform: &mut Platform, steps: usize) {
    for _ in 0..steps {
        platform.advance();
        platform.retry_all_orders_in_their_windows().unwrap();
    }
}

/// Guards against a second run in a process that takes over from one that fails keys which it doesn't know, for each fate of
/// the process that has run the order: it stays silent until its end, dies, or recovers.
#[test]
fn order_of_a_silent_process_runs_in_none_of_three_successors() {
    for fate in ["silent", "dies", "recovers"] {
        for steps_between in [8, 10, 15, 20, 30] {
            let mut platform = Platform::default();
            platform.start();
            assert_eq!(platform.send_new_order(), Handling::Runs);
            platform.simulation.chain[0].hung = true;
            for successor in 1..=3 {
                platform.start();
                advance_and_retry(&mut platform, steps_between);
                match fate {
                    "dies" if successor == 1 => platform.simulation.kill(0),
                    "recovers" if successor == 2 => platform.recover(0),
                    _ => {}
                }
            }
            advance_and_retry(&mut platform, 60);
            // All windows have passed, and the processes before the last one have ended.
            assert_eq!(platform.send_new_order(), Handling::Runs, "{fate}, {steps_between} steps");
        }
    }
}

/// Guards against a second run in a process that replaces one whose successor has died.
#[test]
fn order_of_a_successor_that_died_does_not_run_in_the_next_one() {
    let mut platform = Platform::default();
    platform.start();
    platform.start();
    // The takeover is confirmed, and the successor dies before the predecessor has its shutdown notice.
    while (0..2).any(|i| platform.simulation.receive(i)) {}
    assert_eq!(platform.send_new_order(), Handling::Runs);
    platform.simulation.kill(1);
    while (0..2).any(|i| platform.simulation.receive(i)) {}
    assert!(platform.simulation.chain[0].ownership.is_owner());
    platform.retry_all_orders_in_their_windows().unwrap();
}

/// Processes are replaced, hang, recover and die at random.
#[test]
fn random_replacements_run_no_key_twice_within_its_window() {
    let config = Config { cases: 500, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[41; 32]);
    let steps = proptest::collection::vec((0..20u8, 0..5usize), 10..150);
    let result = TestRunner::new_with_rng(config, rng).run(&steps, |steps| {
        let mut platform = Platform::default();
        platform.start();
        for (action, index) in steps {
            let i = index.min(platform.simulation.chain.len() - 1);
            match action {
                0 | 1 => platform.start(),
                2 => platform.simulation.chain[i].hung = true,
                3 => platform.recover(i),
                // Only the last process dies by itself; the others are stopped by the platform.
                4 if i + 1 == platform.simulation.chain.len() => platform.simulation.kill(i),
                5..=8 => drop(platform.send_new_order()),
                _ => platform.advance(),
            }
            platform.retry_all_orders_in_their_windows()?;
        }
        Ok(())
    });
    result.unwrap();
}
