//! Property tests of the admission controller against a simulated worker. A seed determines random settings, random
//! arrivals in overload, hanging runs, failing downstream calls and a shutdown. The rules of `rules` are asserted at
//! every step.

mod random_settings;
mod random_source;
mod rules;
mod simulation;
mod worker_model;

use simulation::simulate;

#[test]
fn admission_rules_hold_at_every_step_of_random_loads() {
    let mut served = 0;
    for seed in 0..160 {
        let worker = simulate(seed);
        assert!(
            worker.responses > 300,
            "seed {seed}: {} responses; expected more than 300",
            worker.responses
        );
        served += worker.served;
    }
    assert!(served > 160 * 30, "{served} runs succeeded in all simulations; expected more than 4800");
}

#[test]
fn same_events_give_the_same_actions() {
    assert_eq!(simulate(5).log, simulate(5).log);
}
