//! `onyxyoke-lab`: brings a real front up between stand-ins on loopback, loads it, and judges what it did.
#![forbid(unsafe_code)]

mod soak;

use clap::{Parser, Subcommand};
use std::process::ExitCode;

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
}

fn main() -> ExitCode {
    let Arguments { command: Command::Soak(options) } = Arguments::parse();
    match soak::run(&options) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("onyxyoke-lab: {e}");
            ExitCode::from(2)
        }
    }
}
