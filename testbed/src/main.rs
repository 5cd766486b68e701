//! The command-line interface of the testbed.

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
#[command(name = "testbed", about = "Runs experiments on honeypost")]
struct Arguments {
    #[command(subcommand)]
    subcommand: Subcommand,
}

#[derive(clap::Subcommand)]
enum Subcommand {
    /// Runs an experiment on loopback with a real worker process.
    Run {
        /// Experiment file.
        file: PathBuf,
        /// Worker program.
        #[arg(long, default_value = "target/release/port-worker")]
        worker: PathBuf,
        /// File to which the results are written as JSON.
        #[arg(long)]
        json: Option<PathBuf>,
        /// Comma-separated seeds that replace those of the file.
        #[arg(long, value_delimiter = ',')]
        seeds: Vec<u64>,
    },
    /// Compares algorithms for the run limit in closed loops and prints a table.
    Limits {
        /// Number of seeds.
        #[arg(long, default_value_t = 10)]
        seeds: u64,
    },
    /// Runs a fleet of processes on loopback until Ctrl-C.
    Fleet {
        /// Fleet file.
        file: PathBuf,
        /// Folder for the fleet's files.
        #[arg(long)]
        folder: PathBuf,
        /// Stops the fleet after this time (seconds).
        #[arg(long = "for", value_name = "SECONDS")]
        duration_s: Option<f64>,
        /// Folder with the programs.
        #[arg(long, default_value = "target/release")]
        programs: PathBuf,
    },
    /// Injects a fault into a running fleet: cut A B [--one-way], heal A B, or pause, resume, kill, start, fill, free
    /// NAME.
    Fault {
        /// Folder of the running fleet.
        folder: PathBuf,
        /// Fault and its arguments.
        #[arg(required = true, trailing_var_arg = true, allow_hyphen_values = true)]
        words: Vec<String>,
    },
    /// Simulates a fleet for each seed in virtual time, with a fault every second, and prints the violations found.
    Campaign {
        /// First seed.
        #[arg(long = "from", value_name = "SEED", default_value_t = 0)]
        first_seed: u64,
        /// Number of seeds.
        #[arg(long, default_value_t = 100)]
        seeds: u64,
        /// Coordinators of each fleet.
        #[arg(long, default_value_t = 5)]
        coordinators: usize,
        /// Workers of each fleet.
        #[arg(long, default_value_t = 300)]
        workers: usize,
    },
    /// Runs a fleet of real processes for each seed, with a fault every second; minimizes and prints failing schedules.
    ProcessCampaign {
        /// First seed.
        #[arg(long = "from", value_name = "SEED", default_value_t = 0)]
        first_seed: u64,
        /// How long new seeds are started (seconds).
        #[arg(long = "for", value_name = "SECONDS", default_value_t = 3600.0)]
        duration_s: f64,
        /// How long faults are injected into each fleet (seconds).
        #[arg(long, value_name = "SECONDS", default_value_t = 30.0)]
        faults_s: f64,
        /// Number of fleets that run in parallel.
        #[arg(long = "beside", value_name = "FLEETS", default_value_t = 2)]
        parallel: usize,
        /// Folder for the fleets' files.
        #[arg(long, default_value = "target/campaign")]
        folder: PathBuf,
        /// Folder with the programs.
        #[arg(long, default_value = "target/release")]
        programs: PathBuf,
    },
    /// Measures a fleet of processes: takeovers after kills and cuts, and a leader's cost of sessions and lease grants.
    FleetCost {
        /// Number of takeovers after kills, and of those after cuts; 0 for none.
        #[arg(long, default_value_t = 10)]
        takeovers: usize,
        /// Comma-separated numbers of sessions.
        #[arg(long, value_delimiter = ',', default_value = "10,100,300,1000", num_args = 0..)]
        sessions: Vec<usize>,
        /// Duration of each measurement of sessions and of grants (seconds).
        #[arg(long = "for-s", value_name = "SECONDS", default_value_t = 10.0)]
        duration_s: f64,
        /// Clients that acquire leases, to measure grants per second; 0 for none.
        #[arg(long, default_value_t = 32)]
        takers: usize,
        /// Folder for the fleets' files.
        #[arg(long, default_value = "target/fleet-cost")]
        folder: PathBuf,
        /// Folder with the programs.
        #[arg(long, default_value = "target/release")]
        programs: PathBuf,
    },
    /// Compares a worker with and without `[fleet]` on the same requests, while its coordinators are healthy, dead or
    /// flapping.
    #[command(alias = "fleet-harm")]
    FleetOverhead {
        /// Number of seeds.
        #[arg(long, default_value_t = 6)]
        seeds: u64,
        /// Length of each trial (seconds).
        #[arg(long, value_name = "SECONDS", default_value_t = 6.0)]
        length_s: f64,
        /// Measures healthy coordinators only and does not call the console, which isolates the processor time.
        #[arg(long = "well-alone")]
        healthy_only: bool,
        /// Folder for the fleet's files.
        #[arg(long, default_value = "target/fleet-overhead")]
        folder: PathBuf,
        /// Folder with the programs.
        #[arg(long, default_value = "target/release")]
        programs: PathBuf,
    },
    /// Compares independent workers with fleet-wide overload control in virtual time and prints a table.
    Storm {
        /// Number of workers.
        #[arg(long, default_value_t = 20)]
        workers: usize,
        /// Number of seeds.
        #[arg(long, default_value_t = 5)]
        seeds: u64,
    },
    /// Checks that another build's programs are compatible with this build's: settings, hot restart, a mixed fleet.
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
    /// Runs an experiment in virtual time around the worker's dispatcher.
    Sim {
        /// Experiment file.
        file: PathBuf,
        /// File to which the results are written as JSON.
        #[arg(long)]
        json: Option<PathBuf>,
        /// Comma-separated seeds that replace those of the file.
        #[arg(long, value_delimiter = ',')]
        seeds: Vec<u64>,
    },
}

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("testbed: {error}");
            ExitCode::from(2)
        }
    }
}

/// Runs the subcommand; `true` if all its expectations or checks passed.
fn run() -> Result<bool, TestbedError> {
    let (file, worker, json, seeds) = match Arguments::parse().subcommand {
        Subcommand::Run { file, worker, json, seeds } => (file, Some(worker), json, seeds),
        Subcommand::Sim { file, json, seeds } => (file, None, json, seeds),
        Subcommand::Fleet { file, folder, duration_s, programs } => {
            run_fleet(&file, &folder, duration_s, &programs)?;
            return Ok(true);
        }
        Subcommand::Fault { folder, words } => return rig::request_fault(&folder, &words).map(|()| true),
        Subcommand::Campaign { first_seed, seeds, coordinators, workers } => {
            let scenario = Scenario { coordinators, workers, ..Scenario::default() };
            let summary = virtual_fleet::campaign(&scenario, first_seed, seeds);
            println!("{}", summary.text);
            return Ok(summary.passed);
        }
        Subcommand::ProcessCampaign { first_seed, duration_s, faults_s, parallel, folder, programs } => {
            let programs = Programs::in_folder(&programs)?;
            let (text, passed) =
                process_campaign::campaign(&folder, &programs, first_seed, duration_s, faults_s, parallel)?;
            println!("{text}");
            return Ok(passed);
        }
        Subcommand::FleetCost { takeovers, sessions, duration_s, takers, folder, programs } => {
            let programs = Programs::in_folder(&programs)?;
            if !sessions.is_empty() {
                println!("{}", fleet_cost::sessions(&folder, &programs, &sessions, duration_s)?);
            }
            if takers > 0 {
                let grants =
                    fleet_cost::grants(&folder.join("grants"), programs.clone(), takers, duration_s)?;
                println!("{grants}");
            }
            if takeovers == 0 {
                return Ok(true);
            }
            println!("{}", fleet_cost::takeovers(&folder.join("takeovers"), programs, takeovers)?);
            return Ok(true);
        }
        Subcommand::FleetOverhead { seeds, length_s, healthy_only, folder, programs } => {
            let programs = Programs::in_folder(&programs)?;
            println!("{}", overhead::compare(&folder, programs, seeds, length_s, healthy_only)?);
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
    run_experiment(&file, worker.as_deref(), json.as_deref(), seeds)
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

/// Runs a fleet of processes until Ctrl-C, or for this time (seconds).
fn run_fleet(
    file: &Path,
    folder: &Path,
    duration_s: Option<f64>,
    programs: &Path,
) -> Result<(), TestbedError> {
    let file = FleetFile::read(file)?;
    let programs = Programs::in_folder(programs)?;
    let stop = Arc::new(AtomicBool::new(false));
    let interrupted = stop.clone();
    ctrlc::set_handler(move || interrupted.store(true, Ordering::Relaxed))?;
    if let Some(duration_s) = duration_s {
        let timed_out = stop.clone();
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_secs_f64(duration_s.clamp(0.0, 86_400.0)));
            timed_out.store(true, Ordering::Relaxed);
        });
    }
    rig::serve(file, folder, programs, &stop)
}

/// Runs each variant with each seed, on loopback with this worker or else in virtual time, and prints the results;
/// `true` if all expectations hold.
fn run_experiment(
    file: &Path,
    worker: Option<&Path>,
    json: Option<&Path>,
    seeds: Vec<u64>,
) -> Result<bool, TestbedError> {
    let mut experiment = Experiment::read(file)?;
    if !seeds.is_empty() {
        experiment.seeds = seeds;
    }
    let mut trials = Vec::new();
    for (index, &seed) in experiment.seeds.iter().enumerate() {
        let mut variants: Vec<_> = experiment.variant.iter().collect();
        // The order alternates, since the trials of one variant change the state of the machine for the next.
        if index % 2 == 1 {
            variants.reverse();
        }
        for variant in variants {
            trials.push(match worker {
                Some(worker) => loopback::run_trial(&experiment, variant, seed, worker)?,
                None => virtual_time::run_trial(&experiment, variant, seed)?,
            });
        }
    }
    let (verdict, passed) = measure::verdict(&experiment, &trials);
    println!("{}\n{verdict}", measure::table(&experiment, &trials));
    if let Some(path) = json {
        let text = serde_json::to_string_pretty(&trials)?;
        std::fs::write(path, text).map_err(TestbedError::file(path))?;
    }
    Ok(passed)
}
