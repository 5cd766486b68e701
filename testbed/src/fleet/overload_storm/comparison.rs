//! Modes of the fleet compared over the same storms, as a table.

use super::{play, FleetMode, Scenario, StormResult};
use crate::error::TestbedError;
use crate::experiment::Slow;
use crate::measure::interval;

/// The scenarios that are compared, by name.
fn scenarios() -> Vec<(&'static str, Scenario)> {
    let slow = |at_s, for_s, times| vec![Slow { at_s, for_s, times }];
    let base = Scenario::default();
    vec![
        ("calm, 0.8", base.clone()),
        ("sustained, 1.3", Scenario { load: 1.3, ..base.clone() }),
        ("service at a tenth for 5 s, 0.8", Scenario { slow: slow(10.0, 5.0, 10.0), ..base.clone() }),
        (
            "service at a tenth for 5 s, 1.6",
            Scenario { load: 1.6, slow: slow(10.0, 5.0, 10.0), ..base.clone() },
        ),
        ("service down for 5 s, 0.8", Scenario { down: slow(10.0, 5.0, 1.0), ..base.clone() }),
        ("calls short, 0.8", Scenario { slots_each: 1.5, ..base }),
    ]
}

/// Plays each scenario alone and in each mode of the fleet, by paired seeds; a table.
///
/// # Errors
/// The workload can't be read.
pub fn compare(workers: usize, seeds: u64, modes: &[FleetMode]) -> Result<String, TestbedError> {
    let mut text = format!(
        "{workers} workers, {seeds} seeds\n{:<34}{:<8}{:>8}{:>18}{:>8}{:>8}{:>10}{:>8}",
        "trouble", "part", "worth", "against alone", "back s", "calls", "further", "trials"
    );
    for (name, shape) in scenarios() {
        let shape = Scenario { workers, ..shape };
        let plays = |mode: FleetMode| -> Result<Vec<StormResult>, TestbedError> {
            let shape = Scenario { mode, ..shape.clone() };
            std::thread::scope(|scope| {
                let shape = &shape;
                let handles: Vec<_> =
                    (1..=seeds).map(|seed| scope.spawn(move || play(shape, seed))).collect();
                let ended = |h: std::thread::ScopedJoinHandle<'_, _>| {
                    h.join().unwrap_or(Err(TestbedError::Panicked { what: "play" }))
                };
                handles.into_iter().map(ended).collect()
            })
        };
        let alone = plays(FleetMode::Independent)?;
        for mode in modes {
            let own = if *mode == FleetMode::Independent { alone.clone() } else { plays(*mode)? };
            let mean = |of: &dyn Fn(&StormResult) -> f64| own.iter().map(of).sum::<f64>() / own.len() as f64;
            let ratios: Vec<f64> = own.iter().zip(&alone).map(|(a, b)| a.earned() / b.earned()).collect();
            let (ratio, half) = interval(&ratios);
            let row = format!(
                "\n{name:<34}{:<8}{:>8.3}{:>18}{:>8.1}{:>8.2}{:>10.2}{:>8.1}",
                format!("{mode:?}").to_lowercase(),
                mean(&StormResult::earned),
                format!("{ratio:.3} +- {half:.3}"),
                mean(&|s| s.recovery_s(10, 15)),
                mean(&|s| s.most_calls),
                mean(&|s| s.retries),
                mean(&|s| s.trials_per_s),
            );
            // A storm takes a while: rows are shown as they come.
            eprintln!("{}", row.trim_start());
            text += &row;
        }
    }
    Ok(text)
}
