//! Whether being in a fleet harms what a worker is for: the same requests to a worker with `[fleet]` and without, by paired
//! seeds, while its coordinators are well, dead, stopped, or come and go.

use super::rig::{FleetFile, Programs, Rig};
use crate::error::TestbedError;
use crate::experiment::{Experiment, Variant};
use crate::loopback;
use crate::measure::{interval, Play};
use crate::sync::lock;
use std::fmt::Write as _;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::time::Duration;

const FLEET: &str = "fleet = \"harm\"\ncoordinators = 3\nworkers = 1\n\
    [[task]]\nname = \"watched\"\nperiod_s = 0.2\nsafe = true\n";
/// Many small requests, on which a cost of each request shows.
const SITE: &str = include_str!("../../experiments/console.toml");
/// How long links stand and lie when they flap.
const FLAP: Duration = Duration::from_millis(300);

/// How the coordinators are while requests come.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Well,
    Killed,
    Stopped,
    Flapping,
}

impl State {
    /// Brings them from well to this.
    fn begin(self, rig: &mut Rig) -> Result<(), TestbedError> {
        let names = rig.coordinators();
        match self {
            State::Well | State::Flapping => Ok(()),
            State::Killed => names.iter().try_for_each(|c| rig.kill(c)),
            State::Stopped => names.iter().try_for_each(|c| rig.pause(c)),
        }
    }

    /// And back.
    fn end(self, rig: &mut Rig) -> Result<(), TestbedError> {
        let names = rig.coordinators();
        match self {
            State::Well => Ok(()),
            State::Flapping => names.iter().try_for_each(|c| rig.cut("w1", c, false, false)),
            State::Killed => names.iter().try_for_each(|c| rig.restart(c)),
            State::Stopped => names.iter().try_for_each(|c| rig.resume(c)),
        }
    }
}

/// Plays each seed with and without, in turns, in each state; a table of ratios. `well_alone` leaves out the other states,
/// and the calls at the console, whose own cost grows with what it shows.
///
/// # Errors
/// What did not come up.
pub fn compare(
    folder: &Path,
    programs: Programs,
    seeds: u64,
    length_s: f64,
    well_alone: bool,
) -> Result<String, TestbedError> {
    let worker = programs.worker.clone();
    let mut rig = Rig::start(FleetFile::decode(FLEET)?, folder, programs)?;
    // Its links are lent to the worker that is measured.
    rig.kill("w1")?;
    let mut experiment = Experiment::decode(SITE)?;
    experiment.length_s = length_s;
    let links: Vec<String> = rig.relay_addresses("w1").iter().map(|a| format!("\"{a}\"")).collect();
    let operator = format!("[fleet]\nname = \"harm\"\ncoordinators = [{}]\n", links.join(", "));
    let base = experiment.variant.first().ok_or(TestbedError::Missing("variant"))?;
    let variant = |name: &str, operator: &str| Variant {
        name: name.to_owned(),
        operator: operator.to_owned(),
        worker: None,
        console_every_ms: (!well_alone).then_some(20.0),
        console_holders: 0,
        ..base.clone()
    };
    let (with, without) = (variant("with", &operator), variant("without", ""));
    let mut text = "coordinators  worth               in aim              cpu a request       p99                 longest console call  owed".to_owned();
    let all = [State::Well, State::Killed, State::Stopped, State::Flapping];
    for state in all.into_iter().take(if well_alone { 1 } else { 4 }) {
        let mut pairs: Vec<(Play, Play)> = Vec::new();
        for seed in 1..=seeds {
            let mut plays = Vec::new();
            let mut order = [&without, &with];
            // Whoever goes second finds another machine: orders take turns.
            if seed % 2 == 0 {
                order.reverse();
            }
            for variant in order {
                state.begin(&mut rig)?;
                let play =
                    flap_while(state, &mut rig, || loopback::play(&experiment, variant, seed, &worker))?;
                state.end(&mut rig)?;
                plays.push(play);
            }
            if seed % 2 == 0 {
                plays.reverse();
            }
            if let (Some(with), Some(without)) = (plays.pop(), plays.pop()) {
                pairs.push((with, without));
            }
        }
        let ratio = |of: &dyn Fn(&Play) -> f64| {
            let ratios: Vec<f64> = pairs.iter().map(|(w, o)| of(w) / of(o).max(1e-9)).collect();
            let (mean, half) = interval(&ratios);
            format!("{mean:.3} +- {half:.3}    ")
        };
        let metric = |name: &'static str| move |play: &Play| play.metric(name, None);
        let owed: u64 = pairs.iter().map(|(with, _)| with.owed).sum();
        let _ = write!(
            text,
            "\n{:<14}{}{}{}{}{}    {owed}",
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

/// Plays while the worker's links come and go, if that is the state.
fn flap_while<T: Send>(state: State, rig: &mut Rig, play: impl FnOnce() -> T + Send) -> T {
    if state != State::Flapping {
        return play();
    }
    let over = AtomicBool::new(false);
    let coordinators = rig.coordinators();
    let rig = Mutex::new(rig);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let mut cut = false;
            while !over.load(Ordering::Relaxed) {
                cut = !cut;
                let mut rig = lock(&rig);
                for c in &coordinators {
                    let _ = rig.cut("w1", c, false, cut);
                    rig.reset("w1", c);
                }
                drop(rig);
                std::thread::sleep(FLAP);
            }
        });
        let result = play();
        over.store(true, Ordering::Relaxed);
        result
    })
}
