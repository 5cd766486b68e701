//! The admission controller played against a model of a worker, from a seed: random settings, random arrivals in
//! overload, hanging runs, failing downstream calls and a shutdown. The rules of `rules` are asserted at every step.

mod play;
mod random_settings;
mod random_source;
mod rules;
mod worker_model;

use play::play;

#[test]
fn admission_rules_hold_at_every_step_of_random_loads() {
    let mut served = 0;
    for seed in 0..160 {
        let worker = play(seed);
        assert!(worker.responses > 300, "seed {seed}: {} responses", worker.responses);
        served += worker.served;
    }
    assert!(served > 160 * 30, "{served} served");
}

#[test]
fn same_events_give_the_same_actions() {
    assert_eq!(play(5).log, play(5).log);
}
