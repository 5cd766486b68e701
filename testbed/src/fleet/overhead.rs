//! Measures the overhead of fleet membership: the same requests to a worker with `[fleet]` and without, with paired seeds,
//! while its coordinators are healthy, killed, suspended, or repeatedly cut off.

use super::rig::{FleetFile, Programs, Rig};
use crate::error::TestbedError;
use crate::experiment::{Experiment, Variant};
use crate::loopback;
use crate::measure::{confidence_interval, TrialResult};
use crate::sync::lock;
use std::fmt::Write as _;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::time::Duration;

const FLEET: &str = "fleet = \"harm\"\ncoordinators = 3\nworkers = 1\n\
    [[task]]\nname = \"watched\"\nperiod_s = 0.2\nsafe = true\n";
/// An experiment with many small requests, in which a cost per request is visible.
const EXPERIMENT: &str = include_str!("../../experiments/console.toml");
/// Time between two changes of flapping links.
const FLAP_INTERVAL: Duration = Duration::from_millis(300);

/// State of the coordinators while requests arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CoordinatorState {
    Healthy,
    Killed,
    Suspended,
    /// The links of the worker are cut and healed in turn, every [`FLAP_INTERVAL`].
    Flapping,
}

impl CoordinatorState {
    /// Brings healthy coordinators into this state.
    fn begin(self, rig: &mut Rig) -> Result<(), TestbedError> {
        let names = rig.coordinators();
        match self {
            CoordinatorState::Healthy | CoordinatorState::Flapping => Ok(()),
            CoordinatorState::Killed => names.iter().try_for_each(|c| rig.kill(c)),
            CoordinatorState::Suspended => names.iter().try_for_each(|c| rig.pause(c)),
        }
    }

    /// Makes the coordinators healthy again.
    fn end(self, rig: &mut Rig) -> Result<(), TestbedError> {
        let names = rig.coordinators();
        match self {
            CoordinatorState::Healthy => Ok(()),
            CoordinatorState::Flapping => {
                names.iter().try_for_each(|c| rig.set_partition("w1", c, false, false))
            }
            CoordinatorState::Killed => names.iter().try_for_each(|c| rig.restart(c)),
            CoordinatorState::Suspended => names.iter().try_for_each(|c| rig.resume(c)),
        }
    }
}

/// Runs each seed with and without `[fleet]` in each state, and returns a table of the ratios. `healthy_only` omits the other
/// states, and also the requests to the console, whose cost grows with the length of its response.
///
/// # Errors
/// A process does not start.
pub fn compare(
    folder: &Path,
    programs: Programs,
    seeds: u64,
    length_s: f64,
    healthy_only: bool,
) -> Result<String, TestbedError> {
    let worker = programs.worker.clone();
    let mut rig = Rig::start(FleetFile::decode(FLEET)?, folder, programs)?;
    // The measured worker takes the place of w1, and reaches the coordinators through the relays of w1.
    rig.kill("w1")?;
    let mut experiment = Experiment::decode(EXPERIMENT)?;
    experiment.length_s = length_s;
    let links: Vec<String> = rig.relay_addresses("w1").iter().map(|a| format!("\"{a}\"")).collect();
    let operator = format!("[fleet]\nname = \"harm\"\ncoordinators = [{}]\n", links.join(", "));
    let base = experiment.variant.first().ok_or(TestbedError::Missing("variant"))?;
    let variant = |name: &str, operator: &str| Variant {
        name: name.to_owned(),
        operator: operator.to_owned(),
        worker: None,
        console_interval_ms: (!healthy_only).then_some(20.0),
        held_console_connections: 0,
        ..base.clone()
    };
    let (with, without) = (variant("with", &operator), variant("without", ""));
    let mut text = "coordinators  earned weight       in objective        CPU per request     p99                 longest console call  unanswered".to_owned();
    let states = [
        CoordinatorState::Healthy,
        CoordinatorState::Killed,
        CoordinatorState::Suspended,
        CoordinatorState::Flapping,
    ];
    for state in states.into_iter().take(if healthy_only { 1 } else { 4 }) {
        let mut pairs: Vec<(TrialResult, TrialResult)> = Vec::new();
        for seed in 1..=seeds {
            let mut results = Vec::new();
            let mut order = [&without, &with];
            // The order alternates, since the first run of a pair affects the conditions of the second.
            if seed % 2 == 0 {
                order.reverse();
            }
            for variant in order {
                state.begin(&mut rig)?;
                let result = with_flapping_links(state, &mut rig, || {
                    loopback::run_trial(&experiment, variant, seed, &worker)
                })?;
                state.end(&mut rig)?;
                results.push(result);
            }
            if seed % 2 == 0 {
                results.reverse();
            }
            if let (Some(with), Some(without)) = (results.pop(), results.pop()) {
                pairs.push((with, without));
            }
        }
        let ratio = |of: &dyn Fn(&TrialResult) -> f64| {
            let ratios: Vec<f64> =
                pairs.iter().map(|(with, without)| of(with) / of(without).max(1e-9)).collect();
            let (mean, half) = confidence_interval(&ratios);
            format!("{mean:.3} +- {half:.3}    ")
        };
        let metric = |name: &'static str| move |result: &TrialResult| result.metric(name, None);
        let unanswered: u64 = pairs.iter().map(|(with, _)| with.unanswered).sum();
        let _ = write!(
            text,
            "\n{:<14}{}{}{}{}{}    {unanswered}",
            format!("{state:?}").to_lowercase(),
            ratio(&metric("worth")),
            ratio(&metric("in_aim")),
            ratio(&metric("cpu_ms")),
            ratio(&metric("p99_ms")),
            ratio(&metric("console_most_ms")),
        );
    }
    Ok(text)
}

/// Calls `run`; in the state `Flapping`, cuts and heals the links of w1 every [`FLAP_INTERVAL`] meanwhile.
fn with_flapping_links<T: Send>(state: CoordinatorState, rig: &mut Rig, run: impl FnOnce() -> T + Send) -> T {
    if state != CoordinatorState::Flapping {
        return run();
    }
    let stop = AtomicBool::new(false);
    let coordinators = rig.coordinators();
    let rig = Mutex::new(rig);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let mut cut = false;
            while !stop.load(Ordering::Relaxed) {
                cut = !cut;
                let mut rig = lock(&rig);
                for c in &coordinators {
                    let _ = rig.set_partition("w1", c, false, cut);
                    rig.reset("w1", c);
                }
                drop(rig);
                std::thread::sleep(FLAP_INTERVAL);
            }
        });
        let result = run();
        stop.store(true, Ordering::Relaxed);
        result
    })
}
