//! The learned state of an admission controller, which its successor reads.

use crate::{fixture_lines, pair_with_fixture};
use port_worker::interface::{LearnedState, Traffic};

/// A value in which every field differs from its default.
pub fn learned() -> LearnedState {
    LearnedState {
        run_limit: 9,
        baseline_run_s: 0.105,
        run_lengths: vec![(12.5, 3.0, [1.0, 2.0, 3.5, 0.25, 1e-9]).into(), (0.1, 0.3, [0.0; 5]).into()],
        call_limit: 4.75,
        call_baseline_s: Some(0.035),
        recent_calls: (2.5, 71.0).into(),
        call_budget_s: Some(-0.5),
        traffic: Traffic {
            tenants: vec![(3.5, 1.25).into(), (0.0, 7.0).into()],
            arrivals_per_s: vec![40.0, 12.25, 1_234_567.875],
            recent: (0.5, 0.25, 90.0).into(),
        },
    }
}

fn values() -> Vec<LearnedState> {
    let without_calls = LearnedState { call_baseline_s: None, call_budget_s: None, ..learned() };
    vec![LearnedState::default(), learned(), without_calls]
}

/// The values that `learned_tolerated.jsonl` decodes to: every field is optional and unknown fields are ignored.
fn tolerated_values() -> Vec<LearnedState> {
    let traffic = Traffic { arrivals_per_s: vec![2.0], ..Traffic::default() };
    vec![
        LearnedState::default(),
        LearnedState { run_limit: 4, ..LearnedState::default() },
        LearnedState { traffic, ..LearnedState::default() },
    ]
}

#[test]
fn values_encode_and_decode_as_in_the_fixture() {
    for (json, value) in pair_with_fixture("learned.jsonl", values()) {
        assert_eq!(serde_json::to_string(&value).unwrap(), json);
        assert_eq!(serde_json::from_str::<LearnedState>(&json).unwrap(), value);
    }
}

#[test]
fn absent_and_unknown_fields_are_tolerated() {
    for (json, value) in pair_with_fixture("learned_tolerated.jsonl", tolerated_values()) {
        assert_eq!(serde_json::from_str::<LearnedState>(&json).unwrap(), value, "{json}");
    }
}

#[test]
fn fields_of_the_wrong_type_are_errors() {
    for json in fixture_lines("learned_unreadable.jsonl") {
        assert!(serde_json::from_str::<LearnedState>(&json).is_err(), "{json}");
    }
}
