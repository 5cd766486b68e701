//! Two workers, a leader, its predecessor that has not stepped down, and one task: every reachable state, searched in full
//! with the modules that run in service (`LeaseHolder`, `LeaseClock`, `ReadIndexQueue`, `LeaseStateMachine`).
//!
//! The rest is modelled: one log that only the newest leader writes to, a quorum that confirms only the newest leader,
//! and messages that may be late, reordered or lost. A leader learns of a confirmation immediately, and a superseded
//! leader learns immediately that its last proposal was committed: what it sends upon either is a message, which may be
//! late. After that it can only retain what it receives, so it takes part only where it answers without confirmation.
//! Clocks drift as far apart as the bound allows, in the harmful direction: leaders' run twice as fast as holders'.
//! Leaders need not release what has expired, so states with slower leaders are included.
//!
//! States are equal that differ only in absolute time and in the numbers of tokens, batches and heartbeats: the modules
//! look only at differences and order. That makes the number of states finite without a bound on time, grants, renewals
//! or changes of leader.
//!
//! | module | job |
//! | --- | --- |
//! | `limits` | which safety checks are on, and how much may happen |
//! | `leader` | a leader of the modules that run in service |
//! | `world` | the state of a world, and the messages in it |
//! | `steps` | what can happen next |
//! | `state_key` | when two worlds are equal |
//! | `properties` | what holds in every world, and the search |

mod leader;
mod limits;
mod properties;
mod state_key;
mod steps;
mod world;

use fleet_coordinator::lease_clock::SafetyChecks;
use limits::{Limits, Resource, TtlChanges, SMALL};
use properties::{ONE_HOLDER, TOKENS_ONLY_GROW};
use stateright::{Checker, HasDiscoveries, Model};
use std::collections::BTreeSet;

/// Searches all reachable states; returns their number.
fn search(limits: Limits) -> usize {
    let checker = limits.checker().threads(4).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.is_done());
    println!("{limits:?}: {} worlds, {} deep", checker.unique_state_count(), checker.max_depth());
    checker.unique_state_count()
}

#[test]
fn two_holders_never_act_at_once_in_any_small_world() {
    assert!(search(SMALL) > 40_000);
}

#[test]
fn each_safety_check_that_is_switched_off_breaks_its_property_in_a_small_world() {
    let without_full_ttl = SafetyChecks { wait_full_ttl: false, read_index: true };
    let without_read_index = SafetyChecks { wait_full_ttl: true, read_index: false };
    for (limits, property) in [
        (Limits { drift: 0.0, ..SMALL }, ONE_HOLDER),
        (Limits { checks: without_full_ttl, ..SMALL }, ONE_HOLDER),
        (Limits { checks: without_read_index, ..SMALL }, ONE_HOLDER),
        (Limits { resource: Resource::Unfenced, ..SMALL }, TOKENS_ONLY_GROW),
    ] {
        let finds = HasDiscoveries::AnyOf(BTreeSet::from([property]));
        let checker = limits.checker().threads(4).finish_when(finds).spawn_bfs().join();
        let path =
            checker.discovery(property).unwrap_or_else(|| panic!("{limits:?}: {property} always holds"));
        println!("{limits:?}: {property} broken by {:?}", path.into_actions());
    }
}

/// `cargo test --release -p fleet-coordinator --test lease_model -- --ignored --nocapture`.
#[test]
#[ignore = "takes minutes"]
fn two_holders_never_act_at_once_in_larger_worlds() {
    for limits in [
        Limits { ttl_changes: TtlChanges::Once, ..SMALL },
        Limits { resource: Resource::Fenced, ..SMALL },
        Limits { outstanding_heartbeats: 2, releases: false, ..SMALL },
    ] {
        search(limits);
    }
}
