//! `onyxyoke-rollout`: rolls a change of program or settings over the fronts of a host in stages, old and new side by
//! side, and stops it when a stage does worse.
#![forbid(unsafe_code)]

mod drive;
mod file;
mod host;
mod journal;
mod operators;
mod report;

use anyhow::{Context, Result};
use clap::{Parser, Subcommand};
use onyxyoke::rollout::{OperatorCommand, Outcome, Plan, Undecided};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Rolls a change of program or settings over fronts in stages, and stops it when a stage does worse.
///
/// Exit codes: 0 done, 2 it could not be run, 3 stopped by the gate, 4 aborted, 5 failed (a front could not be brought
/// back).
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    /// The folder in which a rollout keeps its journal and what it needs to go on
    #[arg(long, global = true, default_value = "rollout.state")]
    state: PathBuf,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Checks a plan as a whole, and says what would happen when; changes nothing
    Plan {
        /// The plan's file
        file: Option<PathBuf>,
        /// Prints the plan's JSON schema and ends
        #[arg(long)]
        schema: bool,
    },
    /// Starts a rollout and drives it to its end; goes on with one that was begun in this folder
    Start {
        /// The plan's file
        file: PathBuf,
    },
    /// Shows where it stands
    Status {
        /// As JSON
        #[arg(long)]
        json: bool,
        /// Again every second until it ends
        #[arg(long)]
        live: bool,
    },
    /// Changes nothing more until 'resume'; what is worse still goes back
    Pause,
    /// Goes on
    Resume,
    /// Back to the old side everywhere
    Abort,
    /// Writes a page of what happened, with plots
    Report {
        /// Where to
        #[arg(default_value = "rollout.html")]
        out: PathBuf,
    },
}

fn main() -> ExitCode {
    let filter = tracing_subscriber::EnvFilter::try_from_default_env();
    let filter = filter.unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).init();
    match run(&Arguments::parse()) {
        Ok(code) => ExitCode::from(code),
        Err(e) => {
            eprintln!("onyxyoke-rollout: {e:#}");
            ExitCode::from(2)
        }
    }
}

fn run(arguments: &Arguments) -> Result<u8> {
    let state = &arguments.state;
    match &arguments.command {
        Command::Plan { schema: true, .. } => {
            println!("{}", serde_json::to_string_pretty(&schemars::schema_for!(Plan))?);
        }
        Command::Plan { file, .. } => {
            let path = file.as_deref().context("a plan's file is wanted, or '--schema'")?;
            let plan = file::read(path)?;
            let settings = file::settings(&plan)?;
            print!("{}", file::tell(&file::check(plan, &settings)?));
        }
        Command::Start { file } => {
            let end = drive::run(state, file)?;
            println!("{}", format!("{end:?}").to_lowercase());
            return Ok(match end {
                Outcome::Done => 0,
                Outcome::Stopped => 3,
                Outcome::Aborted => 4,
                Outcome::Failed => 5,
            });
        }
        Command::Status { json, live } => loop {
            let path = state.join("status.json");
            let text = std::fs::read_to_string(&path).with_context(|| format!("'{}'", path.display()))?;
            let status: drive::Status = serde_json::from_str(&text)?;
            if *json {
                println!("{text}");
            } else {
                show(state, &status);
            }
            if !live || status.report.end.is_some() {
                break;
            }
            std::thread::sleep(Duration::from_secs(1));
        },
        Command::Pause => say(state, OperatorCommand::Pause)?,
        Command::Resume => say(state, OperatorCommand::Resume)?,
        Command::Abort => say(state, OperatorCommand::Abort)?,
        Command::Report { out } => {
            report::write(state, &file::read(&state.join("plan.json"))?, out)?;
            println!("{}", out.display());
        }
    }
    Ok(0)
}

/// Leaves a word, and waits until the tool that drives has it on disk.
fn say(state: &Path, word: OperatorCommand) -> Result<()> {
    anyhow::ensure!(state.join("journal").exists(), "'{}' holds no rollout", state.display());
    let path = drive::leave(state, word)?;
    let by = Instant::now() + Duration::from_secs(10);
    while path.exists() {
        if !journal::Lease::taken(state) {
            println!("nobody drives it now; the next 'start' heeds it first");
            return Ok(());
        }
        anyhow::ensure!(Instant::now() < by, "the tool that drives it does not heed it");
        std::thread::sleep(Duration::from_millis(50));
    }
    println!("heeded");
    Ok(())
}

/// A table for people.
fn show(state: &Path, status: &drive::Status) {
    let r = &status.report;
    let driven = if journal::Lease::taken(state) { "driven" } else { "nobody drives it" };
    println!("{}: {} ({driven})", status.name, r.phase);
    if let Some(why) = &r.why {
        println!("  why      {why}");
    }
    let stage = if r.stages == 0 { 0 } else { (r.stage + 1).min(r.stages) };
    println!("  stage    {stage} of {}", r.stages);
    println!("  fronts   {} old, {} new, {} in change, {} silent", r.old, r.new, r.changing, r.silent);
    for (class, [new, old]) in r.sums.iter().enumerate() {
        let share = |s: &(f64, f64)| 100.0 * s.1 / s.0.max(1.0);
        let most = r.evidence.get(class).map_or(0.0, |e| e.iter().copied().fold(f64::MIN, f64::max));
        println!(
            "  class {class}  new {} requests, {:.2} % unserved; old {}, {:.2} %; evidence {most:.1} of {:.1}",
            new.0,
            share(new),
            old.0,
            share(old),
            r.bound
        );
    }
    if r.paused {
        println!("  paused by an operator");
    }
    if r.held {
        println!("  held: the whole does worse than before");
    }
    match r.undecided {
        Some(Undecided::TooMuch(measure)) if r.end.is_none() => {
            println!("  waits: new fronts use more {measure:?} than old ones")
        }
        Some(Undecided::NotCompared) if r.end.is_none() => {
            println!("  waits: new fronts were not compared with old ones yet")
        }
        _ => {}
    }
}
