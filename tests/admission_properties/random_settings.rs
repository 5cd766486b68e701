//! Random settings of a simulation: usual values, and the ends of their ranges.

use crate::random_source::RandomSource;
use port_worker::{Class, Dependency, Idempotency, Preemption, Settings, Signal, Tenant};

/// The minimum time for which an idempotency key is retained.
pub(crate) const KEY_WINDOW_S: f64 = 8.0;

/// How long an abandoned call still occupies the dependency.
pub(crate) const CALL_LINGER_S: f64 = 0.2;

/// The class of [`classes`] whose requests carry idempotency keys.
pub(crate) const KEYED_CLASS: usize = 2;

pub(crate) const CLASSES: usize = 4;

pub(crate) fn random_settings(random: &mut RandomSource) -> Settings {
    Settings {
        cores: random.pick(&[1, 1, 2, 2, 4, 6]),
        cold: random.chance(0.3),
        cold_speed: 0.3,
        warm_up_s: 10.0,
        survivable_multiple: 5.0,
        survivable_window_s: 2.0,
        memory_kb: random.pick(&[600.0, 1_500.0, 6_000.0, 22_000.0]),
        run_memory_factor: 4.0,
        key_entry_kb: 20.0,
        shutdown_grace_s: 1.0,
        answer_slack_s: 0.06,
        min_event_interval_s: 0.002,
        max_retry_after_s: 1.0,
        over_quota_weight: 0.1,
        callers: random.pick(&[0, 1, 3, 4_000]),
        workers: random.pick(&[0, 1, 4, 900]),
        max_connection_idle_s: random.pick(&[0.0, 0.5, 30.0]),
        signal: random.pick(&[Signal::None, Signal::RankFloor, Signal::Weight]),
        marks_retries: random.chance(0.5),
        preemption: random.pick(&[Preemption::Never, Preemption::Discard, Preemption::Pause]),
        dependency: Some(Dependency {
            share: random.pick(&[0.0, 0.02, 0.3, 0.9, 1.0, 1.7, 5.0]),
            window_s: 5.0,
            linger_s: CALL_LINGER_S,
        }),
        classes: classes(random).to_vec(),
        tenants: vec![Tenant { quota_per_s: random.pick(&[0.0, 0.5, 40.0]) }; random.pick(&[0, 2, 300])],
        ..Settings::default()
    }
}

/// Two idempotent classes, a class with idempotency keys, and a class that is not idempotent.
fn classes(random: &mut RandomSource) -> [Class; CLASSES] {
    [
        Class { weight: 1.0, objective_s: 0.8, deadline_s: 2.0, makes_calls: true, ..Class::default() },
        Class { weight: 2.0, objective_s: 0.6, deadline_s: 1.5, ..Class::default() },
        Class {
            weight: 4.0,
            objective_s: 0.7,
            deadline_s: 2.0,
            idempotency: Idempotency::Keyed,
            window_s: KEY_WINDOW_S,
            makes_calls: true,
            skipped_call_weight: random.pick(&[0.0, 0.3]),
            ..Class::default()
        },
        Class {
            weight: 2.0,
            objective_s: 0.7,
            deadline_s: 2.0,
            late_weight: 0.2,
            idempotency: Idempotency::NotIdempotent,
            makes_calls: true,
            ..Class::default()
        },
    ]
}
