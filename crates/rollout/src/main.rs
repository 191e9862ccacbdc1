//! `onyxyoke-rollout`: rolls out a change of program or settings over the fronts of a host in stages, with
//! old and new side by side, and rolls it back when a stage does worse.
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

/// Rolls out a change of program or settings over fronts in stages, and rolls it back when a stage does
/// worse.
///
/// Exit codes: 0 done, 2 not run because of an error, 3 stopped by the gate, 4 aborted, 5 failed (a front
/// could not be rolled back).
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    /// The state folder of the rollout: its journal and everything it needs to resume
    #[arg(long, global = true, default_value = "rollout.state")]
    state: PathBuf,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Checks a plan and describes its stages with their times; changes nothing
    Plan {
        /// The plan's file
        file: Option<PathBuf>,
        /// Prints the plan's JSON schema and exits
        #[arg(long)]
        schema: bool,
    },
    /// Runs a rollout to its end; resumes the one that was begun in this state folder
    Start {
        /// The plan's file
        file: PathBuf,
    },
    /// Shows the state of the rollout
    Status {
        /// Prints JSON
        #[arg(long)]
        json: bool,
        /// Repeats every second until the rollout ends
        #[arg(long)]
        live: bool,
    },
    /// Starts no further changes until 'resume'; a stage that does worse is still rolled back
    Pause,
    /// Continues a paused rollout
    Resume,
    /// Rolls all fronts back to the old release
    Abort,
    /// Writes an HTML report with plots
    Report {
        /// The file to write
        #[arg(default_value = "rollout.html")]
        out: PathBuf,
    },
}

/// Maximum wait until a submitted command is journalled.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(10);

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
            let path = file.as_deref().context("a plan's file or '--schema' is required")?;
            let plan = file::read_plan(path)?;
            let settings = file::read_settings(&plan)?;
            print!("{}", file::describe(&file::check(plan, &settings)?));
        }
        Command::Start { file } => {
            let outcome = drive::run(state, file)?;
            println!("{}", format!("{outcome:?}").to_lowercase());
            return Ok(match outcome {
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
                print_status(state, &status);
            }
            if !live || status.report.end.is_some() {
                break;
            }
            std::thread::sleep(Duration::from_secs(1));
        },
        Command::Pause => send_command(state, OperatorCommand::Pause)?,
        Command::Resume => send_command(state, OperatorCommand::Resume)?,
        Command::Abort => send_command(state, OperatorCommand::Abort)?,
        Command::Report { out } => {
            report::write(state, &file::read_plan(&state.join("plan.json"))?, out)?;
            println!("{}", out.display());
        }
    }
    Ok(0)
}

/// Submits a command and waits until the driving process has journalled it.
fn send_command(state: &Path, command: OperatorCommand) -> Result<()> {
    anyhow::ensure!(state.join("journal").exists(), "'{}' holds no rollout", state.display());
    let path = drive::submit_command(state, command)?;
    let deadline = Instant::now() + COMMAND_TIMEOUT;
    while path.exists() {
        if !journal::Lease::is_held(state) {
            println!("no process drives the rollout; the next 'start' applies the command first");
            return Ok(());
        }
        anyhow::ensure!(
            Instant::now() < deadline,
            "the process that drives the rollout does not read the command"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
    println!("heeded");
    Ok(())
}

/// Prints the status as a table.
fn print_status(state: &Path, status: &drive::Status) {
    let report = &status.report;
    let driver = if journal::Lease::is_held(state) { "driven" } else { "nobody drives it" };
    println!("{}: {} ({driver})", status.name, report.phase);
    if let Some(why) = &report.why {
        println!("  why      {why}");
    }
    let stage = if report.stages == 0 { 0 } else { (report.stage + 1).min(report.stages) };
    println!("  stage    {stage} of {}", report.stages);
    println!(
        "  fronts   {} old, {} new, {} in change, {} silent",
        report.old, report.new, report.changing, report.silent
    );
    for (class, [new, old]) in report.sums.iter().enumerate() {
        let share = |s: &(f64, f64)| 100.0 * s.1 / s.0.max(1.0);
        let max_evidence =
            report.evidence.get(class).map_or(0.0, |e| e.iter().copied().fold(f64::MIN, f64::max));
        println!(
            "  class {class}  new {} requests, {:.2} % unserved; old {}, {:.2} %; evidence {max_evidence:.1} of {:.1}",
            new.0,
            share(new),
            old.0,
            share(old),
            report.bound
        );
    }
    if report.paused {
        println!("  paused by an operator");
    }
    if report.held {
        println!("  held: the whole fleet does worse than before");
    }
    match report.undecided {
        Some(Undecided::TooMuch(measure)) if report.end.is_none() => {
            println!("  waits: new fronts use more {measure:?} than old ones")
        }
        Some(Undecided::NotCompared) if report.end.is_none() => {
            println!("  waits: new fronts have not been compared with old ones yet")
        }
        _ => {}
    }
}
