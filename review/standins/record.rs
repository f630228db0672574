//! The record of a play: a line for each thing sent, answered and run, with seconds since the start.

use std::fmt::Arguments;
use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn new(path: &str) -> Self {
        let file = File::create(path).expect("the record can't be written");
        Record {
            file: Mutex::new(file),
            start: Instant::now(),
        }
    }

    pub fn line(&self, text: Arguments<'_>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {text}", self.start.elapsed().as_secs_f64());
    }
}
