//! The history of a run: what happened, one JSON object a line, in the order in which the lab saw it. The first line
//! names the run.

mod event;
mod pending;

pub use event::{Event, Head, Record, VERSION};

use crate::locking::lock;
use crate::schedule::FaultAction;
use pending::PendingMessages;
use std::fs::File;
use std::io::{BufRead, BufReader, BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// The writer of a history.
#[derive(Debug)]
pub struct History {
    begin: Instant,
    file: Mutex<BufWriter<File>>,
    max_lateness_us: AtomicU64,
    datagrams: AtomicU64,
    datagram_bytes: AtomicU64,
    datagrams_lost: AtomicU64,
    pending: Mutex<PendingMessages>,
}

/// What a history counts beside its events.
#[derive(Debug, Clone, Copy)]
pub struct Counts {
    /// How late the lab was at most.
    pub max_lateness: Duration,
    /// Datagrams that senders sent.
    pub datagrams: u64,
    /// Their bytes.
    pub datagram_bytes: u64,
    /// Those of them that were lost.
    pub datagrams_lost: u64,
}

impl History {
    /// Creates the file and writes its first line; time counts from now.
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
            max_lateness_us: AtomicU64::new(0),
            datagrams: AtomicU64::new(0),
            datagram_bytes: AtomicU64::new(0),
            datagrams_lost: AtomicU64::new(0),
            pending: Mutex::default(),
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
    pub fn record(&self, event: Event) {
        lock(&self.pending).apply(&event);
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

    /// The number of messages that were accepted and are not complete.
    pub fn pending_messages(&self) -> usize {
        lock(&self.pending).count()
    }

    /// Records that a fault begins or ends now.
    pub fn record_step(&self, action: &FaultAction) {
        self.record(Event::FaultStep {
            action: serde_json::to_string(action).unwrap_or_default(),
        });
    }

    /// Notes how late the lab was.
    pub fn note_lateness(&self, lateness: Duration) {
        self.max_lateness_us
            .fetch_max(lateness.as_micros() as u64, Ordering::Relaxed);
    }

    /// Counts a datagram of so many bytes, of which so many copies are passed on.
    pub fn count_datagram(&self, bytes: usize, copies: usize) {
        self.datagrams.fetch_add(1, Ordering::Relaxed);
        self.datagram_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
        if copies == 0 {
            self.datagrams_lost.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// What was counted beside the events.
    pub fn counts(&self) -> Counts {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        Counts {
            max_lateness: Duration::from_micros(read(&self.max_lateness_us)),
            datagrams: read(&self.datagrams),
            datagram_bytes: read(&self.datagram_bytes),
            datagrams_lost: read(&self.datagrams_lost),
        }
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
