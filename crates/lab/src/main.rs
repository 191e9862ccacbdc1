//! `onyxyoke-lab`: experiments on fronts. Runs real fronts between stand-ins on loopback under load, or the
//! shipped decision code over models in virtual time, and evaluates the results.
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

/// The operator's example configuration, whose settings have the platform's form.
const OPERATOR_EXAMPLE: &str = include_str!("../../../deploy/operator.toml");

/// Load tests and experiments on onyxyoke fronts.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Replays the incident record in compressed form repeatedly, and checks the front's memory
    ///
    /// Exit codes: 0 all checks passed, 1 a check failed, 2 the run could not be carried out.
    Soak(soak::Options),
    /// Runs a fleet of front processes between nodes with shared links, and injects faults between them
    ///
    /// Exit codes: 0 all checks passed, 1 a check failed, 2 the run could not be carried out.
    Fleet(fleet::Options),
    /// Emulates the directors of one location in virtual time, and prints how evenly they spread their load
    Even(emulate::Options),
    /// Compares the processor time per request of two builds of the front
    Compare(compare::Options),
    /// Plays rollouts of harmful and harmless changes over modelled fronts, and prints which are stopped and
    /// when
    Rollouts(rollouts::Options),
}

fn main() -> ExitCode {
    let passed = match Arguments::parse().command {
        Command::Soak(options) => soak::run(&options),
        Command::Fleet(options) => fleet::run(&options),
        Command::Even(options) => emulate::run(&options),
        Command::Compare(options) => compare::run(&options),
        Command::Rollouts(options) => rollouts::run(&options),
    };
    match passed {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("onyxyoke-lab: {e}");
            ExitCode::from(2)
        }
    }
}
