//! Property test: random histories under random settings give each request one response and run each key once.

mod simulation;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use simulation::{ClassSpec, Simulation, Step, WorkerSpec, EFFECTS};

#[test]
fn random_histories_under_random_settings_give_each_request_one_response_and_each_key_one_run() {
    let cases = std::env::var("CROSSINGS_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(300);
    let config = Config { cases, failure_persistence: None, max_shrink_iters: 20_000, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[24; 32]);
    let window = prop_oneof![Just(0.0), 0.01..0.3f64, 0.3..3.0f64, Just(9.0)];
    let class = (0..3u8, window, 0.05..6.0f64, any::<bool>(), any::<bool>(), any::<bool>()).prop_map(
        |(effect, window_s, deadline_s, late_counts, calls, can_skip_call)| {
            let effect = EFFECTS[usize::from(effect)];
            ClassSpec { effect, window_s, deadline_s, late_counts, calls, can_skip_call }
        },
    );
    let step = (0..16u8, 0..64usize, 0..7u8, 1..120u32);
    let step = step.prop_map(|(kind, selector, variant, ms)| Step { kind, selector, variant, ms });
    let share = prop_oneof![Just(0.0), 0.1..1.0f64, 1.0..8.0f64];
    let window = prop_oneof![Just(0.0), Just(5.0)];
    let memory = prop_oneof![10.0..400.0f64, Just(1e6)];
    let grace = prop_oneof![Just(0.0), Just(1.0), Just(9.0)];
    let max_retry_after = prop_oneof![Just(0.0), Just(1.0)];
    let worker =
        (1..4u32, share, window, memory, 0.5..10.0f64, max_retry_after, grace).prop_map(|w| WorkerSpec {
            cores: w.0,
            dependency_share: w.1,
            dependency_window_s: w.2,
            memory_kb: w.3,
            survivable_multiple: w.4,
            max_retry_after_s: w.5,
            grace_s: w.6,
        });
    let inputs = (proptest::collection::vec(class, 1..5), worker, proptest::collection::vec(step, 1..300));
    let ran = TestRunner::new_with_rng(config, rng).run(&inputs, |(classes, worker, steps)| {
        let mut simulation = Simulation::new(classes, &worker);
        for step in steps {
            simulation.step(step)?;
        }
        simulation.advance(20.0)?;
        let pending = simulation.find(0, |s| s.is_connected && s.response.is_none());
        prop_assert!(pending.is_none(), "r{pending:?} has no response");
        prop_assert_eq!(simulation.harness.dispatcher.pending_responses(), 0);
        Ok(())
    });
    if let Err(e) = ran {
        panic!("{e}");
    }
}
