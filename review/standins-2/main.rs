//! Plays one case of the review: `trial CASE RECORD`, from the root of the project. Exits with 1 if the rule was broken,
//! with 0 if it held and with 2 if the case could not run.

#![allow(dead_code)] // each case uses a part of the stand-ins

mod cases;
mod client;
mod endpoint;
mod http;
mod platform;
mod sender;
mod sites;
mod world;

use std::process::ExitCode;
use world::World;

/// What a case found.
pub enum Verdict {
    Held,
    Broken(String),
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        eprintln!("usage: trial CASE RECORD");
        return ExitCode::from(2);
    };
    let world = World::new(record);
    world.note(&format!(
        "case {case}, disruption {}",
        if world.trouble { "on" } else { "off" }
    ));
    let verdict = cases::play(case, &world);
    let (code, text) = match verdict {
        Verdict::Held => (0, "held".to_string()),
        Verdict::Broken(what) => (1, format!("BROKEN: {what}")),
        Verdict::CouldNotRun(why) => (2, format!("could not run: {why}")),
    };
    world.note(&text);
    println!("{case}: {text}");
    drop(world.folder.clone());
    let _ = std::fs::remove_dir_all(&world.folder.0);
    ExitCode::from(code)
}
