//! `onyxyoke-lab`: brings a real front up between stand-ins on loopback, loads it, and judges what it did.
#![forbid(unsafe_code)]

mod compare;
mod connection;
mod emulate;
mod fleet;
mod paced;
mod rollouts;
mod soak;

use clap::{Parser, Subcommand};
use std::process::ExitCode;

/// The operator's example holds the settings, which have the platform's form.
const OPERATOR: &str = include_str!("../../../deploy/operator.toml");

/// Load and experiments on fronts of onyxyoke.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Replays the incident record in compressed form, again and again, and judges the front's memory
    ///
    /// Exit codes: 0 all held, 1 something did not, 2 it could not be run.
    Soak(soak::Options),
    /// Starts a fleet of front processes between nodes with shared links, with faults between them
    ///
    /// Exit codes: 0 all held, 1 something did not, 2 it could not be run.
    Fleet(fleet::Options),
    /// Plays directors of one location in virtual time and prints how evenly their load comes out
    Even(emulate::Options),
    /// Compares the processor time that an ordinary request takes of two builds of the front
    Compare(compare::Options),
    /// Plays rollouts of harmful and harmless changes over modelled fronts, and prints what is stopped when
    Rollouts(rollouts::Options),
}

fn main() -> ExitCode {
    let done = match Arguments::parse().command {
        Command::Soak(options) => soak::run(&options),
        Command::Fleet(options) => fleet::run(&options),
        Command::Even(options) => emulate::run(&options),
        Command::Compare(options) => compare::run(&options),
        Command::Rollouts(options) => rollouts::run(&options),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("onyxyoke-lab: {e}");
            ExitCode::from(2)
        }
    }
}
