//! `fleet-registry`: runs a replica, and sends requests to one.

mod client;
mod run;

use clap::{Parser, Subcommand};
use client::ClientCommand;
use std::fmt::Display;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;

/// The exit code after a failure while it ran, or a request that was rejected.
const FAILED: u8 = 1;
/// The exit code for bad flags or settings, or a folder that can't be used.
const BAD_INPUT: u8 = 2;

/// Keeps endpoint lists and agreed rules in versions for a fleet of senders.
///
/// Exit codes: 0 done, 1 rejected or failed, 2 bad flags, settings or folder.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a replica until SIGTERM.
    Run {
        /// Its settings, TOML.
        #[arg(long)]
        config: PathBuf,
    },
    /// Sends a request to a running replica.
    #[command(flatten)]
    Client(ClientCommand),
}

fn main() -> ExitCode {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    tracing_subscriber::fmt()
        .json()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .init();
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => return exit_with(BAD_INPUT, &error),
    };
    match Arguments::parse().command {
        Command::Run { config } => match runtime.block_on(run::run(config)) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) if error.is_of_start() => exit_with(BAD_INPUT, &error),
            Err(error) => exit_with(FAILED, &error),
        },
        Command::Client(command) => match runtime.block_on(client::run(command)) {
            Ok(true) => ExitCode::SUCCESS,
            Ok(false) => ExitCode::from(FAILED),
            Err(error) => exit_with(BAD_INPUT, &error),
        },
    }
}

fn exit_with(code: u8, error: &dyn Display) -> ExitCode {
    eprintln!("fleet-registry: {error}");
    ExitCode::from(code)
}
