//! Stand-ins for the clients, endpoints and platform of one sender, and the plays of the cases.
//! Started by the `run.sh` of a case: `standins CASE FOLDER RECORD`. The command that starts the
//! sender is in the environment variable `RUN`.
//!
//! Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.

mod bad_peers;
mod clients;
mod endpoint;
mod memory;
mod platform;
mod record;
mod state_folder;

use record::Record;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// A play may last 120 s.
const LONGEST_PLAY: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, record] = &arguments[..] else {
        eprintln!("usage: standins CASE FOLDER RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let play = Play {
        folder: PathBuf::from(folder),
        record: Arc::new(Record::new(record)),
        trouble,
    };
    play.record
        .line(format_args!("case {case}, trouble {trouble}"));
    let record = play.record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(LONGEST_PLAY);
        // run.sh ends the sender
        record.line(format_args!("could not run: it took too long"));
        std::process::exit(2);
    });
    let result = match case.as_str() {
        "unread-answers" => bad_peers::play(&play),
        "state-folder" => state_folder::play(&play),
        "memory" => memory::play(&play),
        other => Err(format!("no case {other}")),
    };
    let status = match result {
        Ok(broken) if broken.is_empty() => {
            play.record.line(format_args!("HELD"));
            0
        }
        Ok(broken) => {
            for line in broken {
                play.record.line(format_args!("BROKEN: {line}"));
            }
            1
        }
        Err(error) => {
            play.record.line(format_args!("could not run: {error}"));
            2
        }
    };
    std::process::exit(status);
}

/// What every case is given.
pub struct Play {
    /// Empty folder for the sender's files.
    pub folder: PathBuf,
    pub record: Arc<Record>,
    /// False if the case is to run without its disruption.
    pub trouble: bool,
}
