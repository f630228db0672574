//! `fault-lab`: plays fleets of real senders on loopback, puts faults between them, and checks the rules.

mod addresses;
mod answers;
mod bulk;
mod check;
mod clients;
#[cfg(test)]
mod compatibility_tests;
mod crowd;
mod deployment;
mod destination;
mod figures;
mod fleet;
mod history;
mod links;
mod listing;
mod locking;
mod process;
mod registry;
mod relay;
mod rules;
mod run;
mod scale;
mod scenario;
mod schedule;
mod sender_config;
mod serve;
mod soak;
mod usage;
mod violation;
mod workload;

use clap::{Parser, Subcommand};
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;

/// Exit codes besides 0, all held.
const BROKEN: u8 = 1;
const BAD_INPUT: u8 = 2;
const VOID: u8 = 3;

/// Plays fleets of real senders on loopback, with faults between them, and checks the rules.
///
/// Exit codes: 0 all rules held, 1 a rule was broken, 2 bad input or something is short, 3 the run is void.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a scenario.
    Run {
        /// The scenario's TOML file.
        scenario: PathBuf,
        /// The sender's program.
        #[arg(long, default_value = "target/release/message-sender")]
        program: PathBuf,
        /// The registry's program, where the scenario has one.
        #[arg(long, default_value = "target/release/fleet-registry")]
        registry: PathBuf,
        /// Seed of all that is drawn, in place of the scenario's.
        #[arg(long)]
        seed: Option<u64>,
        /// Number of senders, in place of the scenario's.
        #[arg(long)]
        senders: Option<usize>,
        /// Folder for the history, the plan and the senders' folders and logs.
        #[arg(long, default_value = "found/lab")]
        out: PathBuf,
    },
    /// Plays scenarios with drawn faults that overlap, one a seed, and checks each.
    Soak {
        /// First seed.
        #[arg(long, default_value_t = 1)]
        from: u64,
        /// Number of seeds.
        #[arg(long, default_value_t = 5)]
        seeds: u64,
        /// Senders of a run, drawn between these.
        #[arg(long, default_value_t = 10)]
        least: usize,
        /// The most senders.
        #[arg(long, default_value_t = 40)]
        most: usize,
        /// Time in which clients hand in, s.
        #[arg(long, default_value_t = 28.0)]
        seconds: f64,
        /// The sender's program.
        #[arg(long, default_value = "target/release/message-sender")]
        program: PathBuf,
        /// Folder for a folder a seed.
        #[arg(long, default_value = "found/soak")]
        out: PathBuf,
    },
    /// Checks a recorded history again.
    Check {
        /// The history that a run left.
        history: PathBuf,
    },
    /// Writes a deployment for the bench: a base site with single properties changed.
    Site {
        /// The base's site file; `real.json`, `wire.json` and `unlock.txt` beside it are copied.
        #[arg(long)]
        base: PathBuf,
        /// A property to change; `axes` lists them. Later ones are made upon earlier ones.
        #[arg(long = "set", value_name = "AXIS=VALUE")]
        set: Vec<deployment::Choice>,
        /// So many further properties are drawn.
        #[arg(long, default_value_t = 0)]
        draw: usize,
        /// Seed of what is drawn.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The site's folder; its last part becomes the site's name.
        #[arg(long)]
        out: PathBuf,
    },
    /// Lists the properties that `site` can change, with their values.
    Axes,
    /// Measures what parts of the program cost by size, and prints figures as JSON.
    Scale {
        /// What is measured.
        #[command(subcommand)]
        what: scale::Command,
    },
    /// Becomes a program that ends with its parent; for the lab's own use.
    #[command(hide = true)]
    Exec {
        parent: u32,
        program: PathBuf,
        #[arg(last = true)]
        arguments: Vec<OsString>,
    },
}

fn main() -> ExitCode {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("warn"));
    tracing_subscriber::fmt()
        .json()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .init();
    match carry_out(Arguments::parse().command) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("fault-lab: {error:#}");
            ExitCode::from(BAD_INPUT)
        }
    }
}

fn carry_out(command: Command) -> anyhow::Result<ExitCode> {
    match command {
        Command::Run {
            scenario,
            program,
            registry,
            seed,
            senders,
            out,
        } => {
            let mut scenario = run::read_scenario(&scenario)?;
            scenario.senders = senders.unwrap_or(scenario.senders);
            let seed = seed.unwrap_or(scenario.seed);
            let options = run::RunOptions {
                scenario,
                seed,
                program,
                registry,
                out,
            };
            let outcome = runtime()?.block_on(run::run_with_timeout(&options))?;
            println!("{}", serde_json::to_string(&outcome.figures)?);
            let code = verdict(&outcome.violations, outcome.void.as_deref());
            println!("history: {}", options.out.join("history.jsonl").display());
            Ok(code)
        }
        Command::Soak {
            from,
            seeds,
            least,
            most,
            seconds,
            program,
            out,
        } => {
            let soak = soak::Soak {
                seeds: from..=from + seeds - 1,
                senders: least..=most,
                seconds,
                program,
                out,
            };
            let broken = soak::soak(&soak)?;
            println!("{broken} of {seeds} seeds broke a rule");
            Ok(if broken == 0 {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(BROKEN)
            })
        }
        Command::Check { history } => {
            let (head, records) = history::read(&history)?;
            let violations = check::check(&head, &records);
            Ok(verdict(&violations, None))
        }
        Command::Site {
            base,
            set,
            draw,
            seed,
            out,
        } => write_site(&base, set, draw, seed, &out),
        Command::Axes => {
            list_axes();
            Ok(ExitCode::SUCCESS)
        }
        Command::Scale { what } => scale::carry_out(&what).map(|()| ExitCode::SUCCESS),
        Command::Exec {
            parent,
            program,
            arguments,
        } => process::exec(parent, &program, &arguments).map(|()| ExitCode::SUCCESS),
    }
}

fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
}

fn write_site(
    base: &Path,
    mut choices: Vec<deployment::Choice>,
    draw: usize,
    seed: u64,
    out: &Path,
) -> anyhow::Result<ExitCode> {
    choices.extend(deployment::draw_choices(seed, draw, &choices));
    let path = deployment::write(base, out, &choices)?;
    let names: Vec<String> = choices.iter().map(ToString::to_string).collect();
    println!("{}: {}", path.display(), names.join(" "));
    Ok(ExitCode::SUCCESS)
}

fn list_axes() {
    for axis in deployment::AXES {
        let values: Vec<&str> = axis.values.iter().map(|value| value.name).collect();
        println!("{} ({}): {}", axis.name, values.join(", "), axis.about);
    }
}

fn verdict(violations: &[violation::Violation], void: Option<&str>) -> ExitCode {
    const SHOWN: usize = 20;
    for violation::Violation {
        rule,
        at_us,
        description,
    } in violations.iter().take(SHOWN)
    {
        println!(
            "broken: {rule} at {:.3} s: {description}",
            *at_us as f64 / 1e6
        );
    }
    if let Some(more) = violations.len().checked_sub(SHOWN).filter(|more| *more > 0) {
        println!("and {more} more");
    }
    match (violations.is_empty(), void) {
        (false, _) => {
            println!("BROKEN: {} violations", violations.len());
            ExitCode::from(BROKEN)
        }
        (true, Some(why)) => {
            println!("VOID: {why}");
            ExitCode::from(VOID)
        }
        (true, None) => {
            println!("HELD");
            ExitCode::SUCCESS
        }
    }
}
