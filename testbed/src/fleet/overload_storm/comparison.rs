//! Table that compares the modes of overload control in the same scenarios.

use super::{simulate, FleetMode, Scenario, StormResult};
use crate::error::TestbedError;
use crate::experiment::Slowdown;
use crate::measure::confidence_interval;

/// Returns the scenarios to compare, with their names.
fn scenarios() -> Vec<(&'static str, Scenario)> {
    let slow = |at_s, for_s, factor| vec![Slowdown { at_s, for_s, factor }];
    let base = Scenario::default();
    vec![
        ("normal, 0.8", base.clone()),
        ("overload, 1.3", Scenario { load: 1.3, ..base.clone() }),
        ("service 10 x slower for 5 s, 0.8", Scenario { slow: slow(10.0, 5.0, 10.0), ..base.clone() }),
        (
            "service 10 x slower for 5 s, 1.6",
            Scenario { load: 1.6, slow: slow(10.0, 5.0, 10.0), ..base.clone() },
        ),
        ("service down for 5 s, 0.8", Scenario { down: slow(10.0, 5.0, 1.0), ..base.clone() }),
        ("few call slots, 0.8", Scenario { slots_per_worker: 1.5, ..base }),
    ]
}

/// Simulates each scenario without coordination and in each mode with the same seeds, and returns a table.
///
/// # Errors
/// The built-in workload is invalid.
pub fn compare(workers: usize, seeds: u64, modes: &[FleetMode]) -> Result<String, TestbedError> {
    let mut text = format!(
        "{workers} workers, {seeds} seeds\n{:<34}{:<13}{:>8}{:>18}{:>12}{:>11}{:>14}{:>15}",
        "scenario, load",
        "mode",
        "earned",
        "vs independent",
        "recovery s",
        "calls/slot",
        "retries/first",
        "probes/s/zone"
    );
    for (name, scenario) in scenarios() {
        let scenario = Scenario { workers, ..scenario };
        let simulate_all = |mode: FleetMode| -> Result<Vec<StormResult>, TestbedError> {
            let scenario = Scenario { mode, ..scenario.clone() };
            std::thread::scope(|scope| {
                let scenario = &scenario;
                let handles: Vec<_> =
                    (1..=seeds).map(|seed| scope.spawn(move || simulate(scenario, seed))).collect();
                let join = |h: std::thread::ScopedJoinHandle<'_, _>| {
                    h.join().unwrap_or(Err(TestbedError::Panicked { kind: "simulation" }))
                };
                handles.into_iter().map(join).collect()
            })
        };
        let independent = simulate_all(FleetMode::Independent)?;
        for mode in modes {
            let results =
                if *mode == FleetMode::Independent { independent.clone() } else { simulate_all(*mode)? };
            let mean =
                |of: &dyn Fn(&StormResult) -> f64| results.iter().map(of).sum::<f64>() / results.len() as f64;
            let ratios: Vec<f64> =
                results.iter().zip(&independent).map(|(a, b)| a.earned_share() / b.earned_share()).collect();
            let (ratio, half) = confidence_interval(&ratios);
            let row = format!(
                "\n{name:<34}{:<13}{:>8.3}{:>18}{:>12.1}{:>11.2}{:>14.2}{:>15.1}",
                format!("{mode:?}").to_lowercase(),
                mean(&StormResult::earned_share),
                format!("{ratio:.3} +- {half:.3}"),
                mean(&|s| s.recovery_s(10, 15)),
                mean(&|s| s.peak_calls_per_slot),
                mean(&|s| s.peak_retry_ratio),
                mean(&|s| s.probe_calls_per_s),
            );
            // Simulations take long, so each row is also printed as soon as it is complete.
            eprintln!("{}", row.trim_start());
            text += &row;
        }
    }
    Ok(text)
}
