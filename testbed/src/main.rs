//! The command line.

use clap::Parser;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use testbed::error::TestbedError;
use testbed::experiment::Experiment;
use testbed::fleet::compatibility::{self, Build};
use testbed::fleet::measure as fleet_cost;
use testbed::fleet::overload_storm::{self, FleetMode};
use testbed::fleet::rig::{self, FleetFile, Programs};
use testbed::fleet::virtual_fleet::{self, Scenario};
use testbed::fleet::{overhead, process_campaign};
use testbed::{limits, loopback, measure, virtual_time};

#[derive(Parser)]
#[command(name = "testbed", about = "Plays experiments on honeypost")]
struct Arguments {
    #[command(subcommand)]
    subcommand: Subcommand,
}

#[derive(clap::Subcommand)]
enum Subcommand {
    /// Plays an experiment on loopback, with a real worker.
    Run {
        file: PathBuf,
        /// The worker to start.
        #[arg(long, default_value = "target/release/port-worker")]
        worker: PathBuf,
        /// Where the results go as JSON.
        #[arg(long)]
        json: Option<PathBuf>,
        /// Seeds in the place of the file's.
        #[arg(long, value_delimiter = ',')]
        seeds: Vec<u64>,
    },
    /// Compares ways to set the run limit in closed loops, as a table.
    Limits {
        #[arg(long, default_value_t = 10)]
        seeds: u64,
    },
    /// Starts a fleet of processes on loopback, and stays until Ctrl-C.
    Fleet {
        file: PathBuf,
        /// Where its files go.
        #[arg(long)]
        folder: PathBuf,
        /// Ends by itself after so long (seconds).
        #[arg(long = "for")]
        for_s: Option<f64>,
        /// Where the programs are.
        #[arg(long, default_value = "target/release")]
        programs: PathBuf,
    },
    /// Does something to a fleet that runs: cut A B [--one-way], heal A B, pause, resume, kill, start, fill, free NAME.
    Fault {
        folder: PathBuf,
        #[arg(required = true, trailing_var_arg = true, allow_hyphen_values = true)]
        words: Vec<String>,
    },
    /// Plays fleets in virtual time, a seed each, with a fault every second; prints what was found.
    Campaign {
        #[arg(long, default_value_t = 0)]
        from: u64,
        #[arg(long, default_value_t = 100)]
        seeds: u64,
        #[arg(long, default_value_t = 5)]
        coordinators: usize,
        #[arg(long, default_value_t = 300)]
        workers: usize,
    },
    /// Plays fleets of real processes, a seed each, with a fault every second; what breaks one is made shorter and printed.
    ProcessCampaign {
        #[arg(long, default_value_t = 0)]
        from: u64,
        /// New seeds are begun for so long (seconds).
        #[arg(long = "for", default_value_t = 3600.0)]
        for_s: f64,
        /// How long faults come to each fleet (seconds).
        #[arg(long, default_value_t = 30.0)]
        faults_s: f64,
        /// Fleets side by side.
        #[arg(long, default_value_t = 2)]
        beside: usize,
        #[arg(long, default_value = "target/campaign")]
        folder: PathBuf,
        #[arg(long, default_value = "target/release")]
        programs: PathBuf,
    },
    /// Measures a fleet of processes: takeovers after kills and cuts, and what sessions ask of a leader.
    FleetCost {
        #[arg(long, default_value_t = 10)]
        takeovers: usize,
        #[arg(long, value_delimiter = ',', default_value = "10,100,300,1000", num_args = 0..)]
        sessions: Vec<usize>,
        #[arg(long, default_value_t = 10.0)]
        for_s: f64,
        /// Takers of leases, for the count of grants a second; 0 for none.
        #[arg(long, default_value_t = 32)]
        takers: usize,
        #[arg(long, default_value = "target/fleet-cost")]
        folder: PathBuf,
        #[arg(long, default_value = "target/release")]
        programs: PathBuf,
    },
    /// Plays the same requests to a worker with `[fleet]` and without, while its coordinators are well, dead or flapping.
    #[command(alias = "fleet-harm")]
    FleetOverhead {
        #[arg(long, default_value_t = 6)]
        seeds: u64,
        #[arg(long, default_value_t = 6.0)]
        length_s: f64,
        /// Coordinators that are well, and no console: for the processor time alone.
        #[arg(long)]
        well_alone: bool,
        #[arg(long, default_value = "target/fleet-overhead")]
        folder: PathBuf,
        #[arg(long, default_value = "target/release")]
        programs: PathBuf,
    },
    /// Compares workers alone with a fleet that handles overload as one, in virtual time, as a table.
    Storm {
        #[arg(long, default_value_t = 20)]
        workers: usize,
        #[arg(long, default_value_t = 5)]
        seeds: u64,
    },
    /// Checks that the programs of another build work together with this build's: settings, hot restart, a fleet of both.
    Compatibility {
        /// Folder with the other build's programs.
        old: PathBuf,
        /// Folder with the settings files that both builds read.
        #[arg(long, default_value = "deploy")]
        deploy: PathBuf,
        /// Folder for the files of the processes; it is emptied first.
        #[arg(long, default_value = "target/compatibility")]
        folder: PathBuf,
        /// Folder with this build's programs.
        #[arg(long, default_value = "target/release")]
        programs: PathBuf,
    },
    /// Plays it in virtual time, round the worker's own core.
    Sim {
        file: PathBuf,
        #[arg(long)]
        json: Option<PathBuf>,
        #[arg(long, value_delimiter = ',')]
        seeds: Vec<u64>,
    },
}

fn main() -> ExitCode {
    match start() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(fault) => {
            eprintln!("testbed: {fault}");
            ExitCode::from(2)
        }
    }
}

/// `true` if all that the experiment expects holds.
fn start() -> Result<bool, TestbedError> {
    let (file, worker, json, seeds) = match Arguments::parse().subcommand {
        Subcommand::Run { file, worker, json, seeds } => (file, Some(worker), json, seeds),
        Subcommand::Sim { file, json, seeds } => (file, None, json, seeds),
        Subcommand::Fleet { file, folder, for_s, programs } => {
            run_fleet(&file, &folder, for_s, &programs)?;
            return Ok(true);
        }
        Subcommand::Fault { folder, words } => return rig::request_fault(&folder, &words).map(|()| true),
        Subcommand::Campaign { from, seeds, coordinators, workers } => {
            let shape = Scenario { coordinators, workers, ..Scenario::default() };
            let summary = virtual_fleet::campaign(&shape, from, seeds);
            println!("{}", summary.text);
            return Ok(summary.passed);
        }
        Subcommand::ProcessCampaign { from, for_s, faults_s, beside, folder, programs } => {
            let programs = Programs::in_folder(&programs)?;
            let (text, good) = process_campaign::campaign(&folder, &programs, from, for_s, faults_s, beside)?;
            println!("{text}");
            return Ok(good);
        }
        Subcommand::FleetCost { takeovers, sessions, for_s, takers, folder, programs } => {
            let programs = Programs::in_folder(&programs)?;
            if !sessions.is_empty() {
                println!("{}", fleet_cost::sessions(&folder, &programs, &sessions, for_s)?);
            }
            if takers > 0 {
                let grants = fleet_cost::grants(&folder.join("grants"), programs.clone(), takers, for_s)?;
                println!("{grants}");
            }
            if takeovers == 0 {
                return Ok(true);
            }
            println!("{}", fleet_cost::takeovers(&folder.join("takeovers"), programs, takeovers)?);
            return Ok(true);
        }
        Subcommand::FleetOverhead { seeds, length_s, well_alone, folder, programs } => {
            let programs = Programs::in_folder(&programs)?;
            println!("{}", overhead::compare(&folder, programs, seeds, length_s, well_alone)?);
            return Ok(true);
        }
        Subcommand::Storm { workers, seeds } => {
            let modes = [
                FleetMode::Independent,
                FleetMode::Coordinated,
                FleetMode::Leaderless,
                FleetMode::Outlier,
                FleetMode::Stale,
            ];
            println!("{}", overload_storm::compare(workers, seeds, &modes)?);
            return Ok(true);
        }
        Subcommand::Compatibility { old, deploy, folder, programs } => {
            return check_compatibility(&old, &programs, &deploy, &folder);
        }
        Subcommand::Limits { seeds } => {
            println!("{}", limits::compare(seeds));
            return Ok(true);
        }
    };
    play_experiment(&file, worker.as_deref(), json.as_deref(), seeds)
}

/// Prints the result of each check between the programs of two builds; `true` if all passed.
fn check_compatibility(old: &Path, new: &Path, deploy: &Path, folder: &Path) -> Result<bool, TestbedError> {
    let (old, new) = (Build::find("old", old)?, Build::find("new", new)?);
    let results = compatibility::check_all(&old, &new, deploy, folder)?;
    for result in &results {
        println!("{result}");
    }
    let passed = results.iter().filter(|result| result.passed).count();
    println!("{passed} of {} checks passed", results.len());
    Ok(passed == results.len())
}

/// Runs a fleet of processes until Ctrl-C, or for so long (seconds).
fn run_fleet(file: &Path, folder: &Path, for_s: Option<f64>, programs: &Path) -> Result<(), TestbedError> {
    let file = FleetFile::read(file)?;
    let programs = Programs::in_folder(programs)?;
    let over = Arc::new(AtomicBool::new(false));
    let told = over.clone();
    ctrlc::set_handler(move || told.store(true, Ordering::Relaxed))?;
    if let Some(for_s) = for_s {
        let timed = over.clone();
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_secs_f64(for_s.clamp(0.0, 86_400.0)));
            timed.store(true, Ordering::Relaxed);
        });
    }
    rig::serve(file, folder, programs, &over)
}

/// Plays each variant with each seed, on loopback with this worker or in virtual time, and prints the results; `true` if all
/// that the experiment expects holds.
fn play_experiment(
    file: &Path,
    worker: Option<&Path>,
    json: Option<&Path>,
    seeds: Vec<u64>,
) -> Result<bool, TestbedError> {
    let mut experiment = Experiment::read(file)?;
    if !seeds.is_empty() {
        experiment.seeds = seeds;
    }
    let mut plays = Vec::new();
    for (turn, &seed) in experiment.seeds.iter().enumerate() {
        let mut variants: Vec<_> = experiment.variant.iter().collect();
        // Whoever goes second finds another machine: orders take turns.
        if turn % 2 == 1 {
            variants.reverse();
        }
        for variant in variants {
            plays.push(match worker {
                Some(worker) => loopback::play(&experiment, variant, seed, worker)?,
                None => virtual_time::play(&experiment, variant, seed)?,
            });
        }
    }
    let (verdict, good) = measure::verdict(&experiment, &plays);
    println!("{}\n{verdict}", measure::table(&experiment, &plays));
    if let Some(path) = json {
        let text = serde_json::to_string_pretty(&plays)?;
        std::fs::write(path, text).map_err(TestbedError::file(path))?;
    }
    Ok(good)
}
