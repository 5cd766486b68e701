//! The lab's command line.

use clap::{Parser, Subcommand};
use honeypost_lab::experiment::Experiment;
use honeypost_lab::{limits, measure, sockets, virtual_time};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(name = "honeypost-lab", about = "Plays experiments on honeypost")]
struct Arguments {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Plays an experiment on loopback, with a real worker.
    Run {
        file: PathBuf,
        /// The worker to start.
        #[arg(long, default_value = "target/release/honeypost")]
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
        Err(message) => {
            eprintln!("honeypost-lab: {message}");
            ExitCode::from(2)
        }
    }
}

/// `true` if all that the experiment expects holds.
fn start() -> Result<bool, String> {
    let (file, worker, json, seeds) = match Arguments::parse().what {
        What::Run { file, worker, json, seeds } => (file, Some(worker), json, seeds),
        What::Sim { file, json, seeds } => (file, None, json, seeds),
        What::Limits { seeds } => {
            println!("{}", limits::compare(seeds));
            return Ok(true);
        }
    };
    let mut experiment = Experiment::read(&file)?;
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
            plays.push(match &worker {
                Some(worker) => sockets::play(&experiment, variant, seed, worker)?,
                None => virtual_time::play(&experiment, variant, seed)?,
            });
        }
    }
    let (verdict, good) = measure::verdict(&experiment, &plays);
    println!("{}\n{verdict}", measure::table(&experiment, &plays));
    if let Some(path) = json {
        let text = serde_json::to_string_pretty(&plays).map_err(|e| e.to_string())?;
        std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    Ok(good)
}
