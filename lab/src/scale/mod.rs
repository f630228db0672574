//! What the parts of the program cost by size: figures for `docs/CAPACITY.md`, one JSON object a line.

mod decisions;
mod discovery;
mod fit;
mod journal;
mod ledger;
mod list;
mod membership;
mod places;
mod points;
mod process;
mod questions;
mod registry;
mod resources;
mod simulation;
mod spread;

use clap::Subcommand;
use serde::Serialize;

/// What is measured.
#[derive(Subcommand)]
pub enum Command {
    /// The membership module in passed-in time: traffic, CPU, memory, and how soon changes are known.
    Membership(membership::Order),
    /// Limits that all senders hold together, in process: the log's state, the allocation table, the bytes of a question.
    Ledger(ledger::Order),
    /// One sender's questions for quotas in passed-in time: bytes, names, waits, CPU.
    Questions(questions::Order),
    /// The endpoint list, in process: a replica's state, one change, and the lines that a watcher is sent.
    Registry(registry::Order),
    /// One sender's decisions in passed-in time: time of a turn and memory.
    Decisions(decisions::Order),
    /// One sender's process with unfinished messages: time until it is ready after a kill, memory, disk.
    Journal(journal::Order),
    /// One sender's process and a whole list: bytes, processor time, memory.
    List(list::Order),
    /// Median and range of each size, slope and value at the target, of one sender's figures.
    Points(points::Order),
    /// Fits a line through figures of several sizes.
    Fit(fit::Order),
}

/// Measures, and prints the figures.
///
/// # Errors
/// What was wanted is refused, or can't be measured.
pub fn carry_out(command: &Command) -> anyhow::Result<()> {
    match command {
        Command::Membership(order) => print(&membership::measure(order)?),
        Command::Ledger(order) => print(&ledger::measure(order)?),
        Command::Questions(order) => print(&questions::measure(order)?),
        Command::Registry(order) => print(&registry::measure(order)?),
        Command::Decisions(order) => print(&decisions::measure(order)?),
        Command::Journal(order) => print(&journal::measure(order)?),
        Command::List(order) => print(&list::measure(order)?),
        Command::Points(order) => {
            print!("{}", points::row(order)?);
            Ok(())
        }
        Command::Fit(order) => print(&fit::fit(order)?),
    }
}

fn print(figures: &impl Serialize) -> anyhow::Result<()> {
    println!("{}", serde_json::to_string(figures)?);
    Ok(())
}
