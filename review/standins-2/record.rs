//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn open(path: &str) -> io::Result<Record> {
        Ok(Record { started: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn add(&self, line: &str) {
        let at = self.now_ms() as f64 / 1_000.0;
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} s  {line}");
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, line: &str) {
        println!("{line}");
        self.add(line);
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}
