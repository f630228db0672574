//! Plays a case of the review: `review-standins CASE ROOT FOLDER`. It ends with 1 if the rule was broken, 0 if it held,
//! and 2 if the case couldn't run. With `TROUBLE=0` the disruption is left out.

mod client;
mod disk;
mod endpoint;
mod http;
mod peers;
mod platform;
mod record;
mod sender;
mod spoilt;
mod world;

use record::Record;
use std::path::{Path, PathBuf};
use std::process::exit;
use std::time::Duration;

/// A case that has not ended by then is given up.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// What a case needs.
pub struct Case {
    pub root: PathBuf,
    /// A temporary folder of its own.
    pub temporary: PathBuf,
    pub record: Record,
    pub trouble: bool,
}

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, root, folder] = &arguments[..] else {
        eprintln!("usage: review-standins CASE ROOT FOLDER");
        exit(2);
    };
    let temporary = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&temporary) {
        eprintln!("no temporary folder: {error}");
        exit(2);
    }
    let Ok(record) = Record::create(&Path::new(folder).join("record.txt")) else {
        eprintln!("no record can be written");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.line(format!("case {name}, trouble {trouble}"));
    let case = Case {
        root: root.into(),
        temporary: temporary.clone(),
        record: record.clone(),
        trouble,
    };
    std::thread::spawn(|| {
        std::thread::sleep(TIME_LIMIT);
        sender::kill_all();
        println!("COULD NOT RUN: not over in time");
        exit(2);
    });
    // a stand-in that fails ends the sender as well
    let play = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| match name.as_str() {
        "disk" => disk::play(&case),
        "peers" => peers::play(&case),
        "spoilt" => spoilt::play(&case),
        _ => Verdict::CouldNotRun("no such case".into()),
    }));
    let verdict = play.unwrap_or_else(|_| Verdict::CouldNotRun("a stand-in failed".into()));
    let _ = std::fs::remove_dir_all(&temporary);
    exit(match verdict {
        Verdict::Held => {
            record.say("HELD");
            0
        }
        Verdict::Broken => {
            record.say("BROKEN");
            1
        }
        Verdict::CouldNotRun(why) => {
            record.say(format!("COULD NOT RUN: {why}"));
            2
        }
    });
}
