//! What the stand-ins of one run share: the time line, the record, the temporary folder.

use std::fs::{self, File};
use std::io::Write;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct World {
    start: Instant,
    record: Arc<Mutex<File>>,
    /// Temporary folder of the run, removed at its end.
    pub folder: Arc<Folder>,
    /// False for the run without the disruption.
    pub trouble: bool,
}

pub struct Folder(pub PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

impl World {
    pub fn new(record: &str) -> Self {
        let name = format!("review-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).expect("the temporary folder can be made");
        World {
            start: Instant::now(),
            record: Arc::new(Mutex::new(File::create(record).expect("record.txt"))),
            folder: Arc::new(Folder(folder)),
            trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        }
    }

    /// Milliseconds since the start of the run.
    pub fn ms(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64() * 1e3
    }

    /// Writes a line into the record, and returns its time.
    pub fn note(&self, text: &str) -> Instant {
        let now = Instant::now();
        self.note_at(now, text);
        now
    }

    pub fn note_at(&self, at: Instant, text: &str) {
        let mut record = self.record.lock().unwrap();
        let _ = writeln!(record, "{:10.1} ms  {text}", self.ms(at));
    }

    pub fn sleep_until(&self, at: Instant) {
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
    }
}

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}
