//! What must not change for files that exist: scenario files, the lines of a history and the figures of a run.
//!
//! The golden files under `tests/golden` were written by the program as it was before any of its names changed.

use crate::check::agreement::AgreementFigures;
use crate::check::limits::LimitFigures;
use crate::check::membership::Seen;
use crate::deployment::{AXES, Choice, derive, draw_choices};
use crate::history::{Head, Record};
use crate::run::Figures;
use crate::scenario::Scenario;
use crate::schedule::Schedule;
use std::path::{Path, PathBuf};

/// Seed of the schedules whose digests are in `schedules.txt`.
const SEED: u64 = 7;

fn golden(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

fn read(path: &Path) -> String {
    std::fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// The scenario files of the crate, and one with every kind of fault.
fn scenario_files() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let entries = std::fs::read_dir(folder).expect("the folder of scenarios");
    let mut files: Vec<PathBuf> = entries
        .map(|entry| entry.expect("an entry").path())
        .filter(|path| path.extension().is_some_and(|end| end == "toml"))
        .collect();
    files.push(golden("every_fault.toml"));
    files.sort_by_key(|path| path.file_name().map(ToOwned::to_owned));
    files
}

/// One line: the scenario's name, its counts and a checksum of all that is drawn for it.
fn digest(path: &Path) -> String {
    let scenario =
        Scenario::read(&read(path)).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    let schedule = Schedule::draw(&scenario, SEED).expect("a schedule");
    let text = serde_json::to_string(&schedule).expect("JSON");
    format!(
        "{} {} {} {:08x}",
        scenario.name,
        schedule.arrivals.len(),
        schedule.actions.len(),
        crc32fast::hash(text.as_bytes())
    )
}

#[test]
fn scenario_files_draw_the_schedules_they_always_drew() {
    let digests: Vec<String> = scenario_files().iter().map(|path| digest(path)).collect();
    let expected = read(&golden("schedules.txt"));
    assert_eq!(digests, expected.lines().collect::<Vec<_>>());
}

#[test]
fn history_lines_read_and_written_again_are_the_same() {
    let text = read(&golden("history.jsonl"));
    let (head, records) = text.split_once('\n').expect("a head and records");
    let parsed: Head = serde_json::from_str(head).expect("a head");
    assert_eq!(serde_json::to_string(&parsed).expect("JSON"), head);
    for line in records.lines() {
        let record: Record =
            serde_json::from_str(line).unwrap_or_else(|error| panic!("{line}: {error}"));
        assert_eq!(serde_json::to_string(&record).expect("JSON"), line);
    }
}

#[test]
fn figures_of_a_run_keep_their_names_and_order() {
    let fault_seen = Seen {
        at_s: 1.5,
        what: "n1 ended".to_string(),
        suspected_s: Some(0.5),
        first_s: None,
        all_s: Some(2.0),
    };
    let figures = Figures {
        members: vec![fault_seen],
        agreement: Some(AgreementFigures::default()),
        limits: Some(LimitFigures::default()),
        ..Figures::default()
    };
    let text = serde_json::to_string(&figures).expect("JSON");
    assert_eq!(text, read(&golden("figures.json")).trim_end());
}

/// One line for each choice: its name and a checksum of the site file that it gives.
fn site_digests() -> Vec<String> {
    let base = read(&golden("base_site.toml"));
    let digest = |choices: &[Choice]| {
        let site = derive(&base, "derived", choices).expect("a site");
        format!("{:08x}", crc32fast::hash(site.as_bytes()))
    };
    let mut digests = Vec::new();
    for axis in AXES {
        for value in 0..axis.values.len() {
            let choice = Choice { axis, value };
            digests.push(format!("{choice} {}", digest(&[choice])));
        }
    }
    for seed in 0..5 {
        let choices = draw_choices(seed, 6, &[]);
        let names: Vec<String> = choices.iter().map(ToString::to_string).collect();
        digests.push(format!("{} {}", names.join(" "), digest(&choices)));
    }
    digests
}

#[test]
fn site_files_are_the_same_for_each_choice_and_seed() {
    let expected = read(&golden("sites.txt"));
    assert_eq!(site_digests(), expected.lines().collect::<Vec<_>>());
}
