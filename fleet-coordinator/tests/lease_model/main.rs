//! Model checking of leases: an exhaustive search of all states that two workers, a leader, a previous leader that has not
//! stepped down, and one task can reach. Uses the production modules `LeaseHolder`, `LeaseClock`, `ReadIndexQueue` and
//! `LeaseStateMachine`.
//!
//! The rest is modelled: one log that only the newest leader writes to, a quorum that confirms only the newest leader, and
//! messages that may be delayed, reordered or lost. A leader learns of a confirmation immediately, and a superseded leader
//! learns immediately that its last proposal was committed; what it sends in response is a message, which may be delayed.
//! After that, a superseded leader can only queue what it receives, so it is part of the state only where read index is
//! disabled and it acknowledges without confirmation. Clocks drift as far apart as the bound allows, in the harmful
//! direction: leaders' clocks run twice as fast as holders'. A leader may release an expired lease at any later time, so
//! states with slower leaders are included.
//!
//! States that differ only in absolute time or in the numbers of tokens, batches and heartbeats are equal, since the modules
//! depend only on differences and order. That makes the number of states finite without a bound on time, grants, renewals or
//! leader changes.
//!
//! | module | contents |
//! | --- | --- |
//! | `config` | enabled safety checks, and bounds |
//! | `leader` | a leader built from the production modules |
//! | `model_state` | a state of the model, with the messages in flight |
//! | `steps` | actions and their effects |
//! | `state_key` | which states are equal |
//! | `properties` | checked properties, and the interface to the checker |

mod config;
mod leader;
mod model_state;
mod properties;
mod state_key;
mod steps;

use config::{ModelConfig, Resource, TtlChanges, SMALL_MODEL};
use fleet_coordinator::lease_clock::SafetyChecks;
use properties::{SINGLE_HOLDER, TOKENS_NEVER_DECREASE};
use stateright::{Checker, HasDiscoveries, Model};
use std::collections::BTreeSet;

/// Checks all properties in all reachable states. Returns the number of states.
fn search(config: ModelConfig) -> usize {
    let checker = config.checker().threads(4).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.is_done());
    println!("{config:?}: {} states, maximum depth {}", checker.unique_state_count(), checker.max_depth());
    checker.unique_state_count()
}

#[test]
fn two_workers_never_hold_the_lease_at_once_in_the_small_model() {
    assert!(search(SMALL_MODEL) > 40_000);
}

#[test]
fn disabling_any_safety_check_violates_its_property_in_the_small_model() {
    let without_full_ttl = SafetyChecks { wait_full_ttl: false, read_index: true };
    let without_read_index = SafetyChecks { wait_full_ttl: true, read_index: false };
    for (config, property) in [
        (ModelConfig { drift: 0.0, ..SMALL_MODEL }, SINGLE_HOLDER),
        (ModelConfig { safety_checks: without_full_ttl, ..SMALL_MODEL }, SINGLE_HOLDER),
        (ModelConfig { safety_checks: without_read_index, ..SMALL_MODEL }, SINGLE_HOLDER),
        (ModelConfig { resource: Resource::Unfenced, ..SMALL_MODEL }, TOKENS_NEVER_DECREASE),
    ] {
        let finish_condition = HasDiscoveries::AnyOf(BTreeSet::from([property]));
        let checker = config.checker().threads(4).finish_when(finish_condition).spawn_bfs().join();
        let counterexample =
            checker.discovery(property).unwrap_or_else(|| panic!("{config:?}: {property} was not violated"));
        println!("{config:?}: {property} violated by {:?}", counterexample.into_actions());
    }
}

/// Run with `cargo test --release -p fleet-coordinator --test lease_model -- --ignored --nocapture`.
#[test]
#[ignore = "takes minutes"]
fn two_workers_never_hold_the_lease_at_once_in_larger_models() {
    for config in [
        ModelConfig { ttl_changes: TtlChanges::Once, ..SMALL_MODEL },
        ModelConfig { resource: Resource::Fenced, ..SMALL_MODEL },
        ModelConfig { max_outstanding_heartbeats: 2, allow_releases: false, ..SMALL_MODEL },
    ] {
        search(config);
    }
}
