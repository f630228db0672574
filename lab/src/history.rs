//! What happened, one JSON object a line, in the order in which the lab saw it. The first line names the run.

use crate::plan::{Act, ReplicaAct};
use crate::relay::lock;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Raised when a reader of old histories would err.
pub const VERSION: u32 = 1;

/// The first line.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Head {
    pub version: u32,
    pub scenario: String,
    pub seed: u64,
    pub senders: usize,
    /// When clients stopped handing in, us.
    pub ends_us: u64,
    /// The members' protocol period, us; none: membership is off.
    pub period_us: Option<u64>,
}

/// One line.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    pub at_us: u64,
    #[serde(flatten)]
    pub event: Event,
}

/// What is recorded. Ids are the messages'; senders and endpoints go by number.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A client hands a message in.
    Handed {
        id: String,
        arrival: usize,
        sender: usize,
        class: usize,
        key: Option<u32>,
        dest: usize,
        deadline_us: u64,
    },
    /// The answer that the client read in time; 0: none.
    Answered {
        id: String,
        status: u16,
    },
    /// An endpoint has read a call's last byte.
    Called {
        id: String,
        endpoint: usize,
        sender: usize,
        run: bool,
    },
    /// The answer to a call was written.
    Replied {
        id: String,
        endpoint: usize,
        sender: usize,
        status: u16,
    },
    /// A call ended at the endpoint before its answer was written.
    Abandoned {
        id: String,
        endpoint: usize,
        sender: usize,
    },
    /// A sender's log tells of an invariant that did not hold.
    Violated {
        sender: usize,
        line: String,
    },
    /// A notice came in.
    Notice {
        id: String,
        state: String,
    },
    /// A process was started or has ended; `meant`: the lab ended it.
    Started {
        sender: usize,
        pid: u32,
    },
    Ready {
        sender: usize,
    },
    Ended {
        sender: usize,
        pid: u32,
        meant: bool,
        status: String,
    },
    FolderLost {
        sender: usize,
    },
    /// A fault begins or ends.
    Step {
        what: String,
    },
    /// What one sender said of the members.
    Members {
        sender: usize,
        view: serde_json::Value,
    },
    /// What one sender said that it acts on.
    Rules {
        sender: usize,
        report: serde_json::Value,
    },
    /// What one sender said of the parts that it holds.
    Parts {
        sender: usize,
        report: serde_json::Value,
    },
    /// All limits were answered as set to this, in thousandths of a call a second.
    Limited {
        total: u64,
    },
    /// A version of the rules was answered as taken up.
    Proposed {
        version: u64,
    },
    /// A list that names an endpoint was passed on to a sender.
    Told {
        sender: usize,
        endpoint: usize,
        up: bool,
    },
    /// A client of the registry has read the list's version, or written conditionally upon one and made this one.
    Revised {
        asked_us: u64,
        rev: u64,
        wrote: bool,
    },
    /// A sender has dialled a replica, for a lease.
    Dialled {
        sender: usize,
    },
    /// Something is done to a replica of the registry.
    Replica {
        replica: usize,
        what: ReplicaAct,
    },
    ReplicaEnded {
        replica: usize,
        pid: u32,
        meant: bool,
        status: String,
    },
    /// The run is over: what comes after is the lab's own ending of the processes.
    Over {},
    /// The lab itself ran late.
    LabLate {
        ms: u64,
    },
}

/// Writes a history.
#[derive(Debug)]
pub struct History {
    begin: Instant,
    file: Mutex<BufWriter<File>>,
    worst_late_us: AtomicU64,
    datagrams: AtomicU64,
    datagram_bytes: AtomicU64,
    datagrams_lost: AtomicU64,
    open: Mutex<Open>,
}

/// Which messages still want their end, as far as seen.
#[derive(Debug, Default)]
struct Open {
    /// Whether each was taken on and has ended; once each.
    states: HashMap<String, (bool, bool)>,
    owed: usize,
}

impl Open {
    fn learn(&mut self, event: &Event) {
        let (id, taken, ended) = match event {
            Event::Answered {
                id,
                status: 200 | 202,
            } => (id, true, false),
            Event::Replied {
                id, status: 200, ..
            }
            | Event::Notice { id, .. } => (id, false, true),
            _ => return,
        };
        let state = self.states.entry(id.clone()).or_default();
        let before = state.0 && !state.1;
        *state = (state.0 || taken, state.1 || ended);
        match (before, state.0 && !state.1) {
            (false, true) => self.owed += 1,
            (true, false) => self.owed -= 1,
            _ => {}
        }
    }
}

impl History {
    /// A new one; time counts from now.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn create(path: &Path, head: &Head) -> std::io::Result<Self> {
        let mut file = BufWriter::new(File::create(path)?);
        serde_json::to_writer(&mut file, head)?;
        file.write_all(b"\n")?;
        Ok(History {
            begin: Instant::now(),
            file: Mutex::new(file),
            worst_late_us: AtomicU64::new(0),
            datagrams: AtomicU64::new(0),
            datagram_bytes: AtomicU64::new(0),
            datagrams_lost: AtomicU64::new(0),
            open: Mutex::default(),
        })
    }

    /// Time since the beginning.
    pub fn now_us(&self) -> u64 {
        self.begin.elapsed().as_micros() as u64
    }

    /// The moment of a time.
    pub fn instant(&self, at_us: u64) -> tokio::time::Instant {
        (self.begin + Duration::from_micros(at_us)).into()
    }

    /// Records what happens now.
    pub fn tell(&self, event: Event) {
        lock(&self.open).learn(&event);
        let mut file = lock(&self.file);
        let record = Record {
            at_us: self.now_us(),
            event,
        };
        let written = serde_json::to_writer(&mut *file, &record).map_err(std::io::Error::from);
        if let Err(error) = written.and_then(|()| file.write_all(b"\n")) {
            tracing::error!(%error, "the history can't be written");
        }
    }

    /// Messages that were taken on and have not ended.
    pub fn owed(&self) -> usize {
        lock(&self.open).owed
    }

    pub fn step(&self, what: &Act) {
        self.tell(Event::Step {
            what: serde_json::to_string(what).unwrap_or_default(),
        });
    }

    /// The lab was so late once.
    pub fn late(&self, late: Duration) {
        self.worst_late_us
            .fetch_max(late.as_micros() as u64, Ordering::Relaxed);
    }

    pub fn count_datagram(&self, bytes: usize, copies: usize) {
        self.datagrams.fetch_add(1, Ordering::Relaxed);
        self.datagram_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
        if copies == 0 {
            self.datagrams_lost.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// The worst lateness, and datagrams, their bytes, and those that were lost.
    pub fn counts(&self) -> (Duration, [u64; 3]) {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let late = Duration::from_micros(read(&self.worst_late_us));
        (
            late,
            [&self.datagrams, &self.datagram_bytes, &self.datagrams_lost].map(read),
        )
    }

    /// Writes out what is buffered.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn flush(&self) -> std::io::Result<()> {
        lock(&self.file).flush()
    }
}

/// Reads a history.
///
/// # Errors
/// Names the line that can't be read.
pub fn read(path: &Path) -> anyhow::Result<(Head, Vec<Record>)> {
    let mut lines = BufReader::new(File::open(path)?).lines();
    let first = lines
        .next()
        .ok_or_else(|| anyhow::anyhow!("the history is empty"))??;
    let head: Head =
        serde_json::from_str(&first).map_err(|error| anyhow::anyhow!("line 1: {error}"))?;
    if head.version != VERSION {
        anyhow::bail!("the history has version {}, not {VERSION}", head.version);
    }
    let mut records = Vec::new();
    for (number, line) in lines.enumerate() {
        let record = serde_json::from_str(&line?);
        records.push(record.map_err(|error| anyhow::anyhow!("line {}: {error}", number + 2))?);
    }
    Ok((head, records))
}
