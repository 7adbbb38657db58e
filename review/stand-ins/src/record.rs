//! The record of a case: what was sent, answered and run, with milliseconds since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record { start: Instant::now(), file: Mutex::new(File::create(path)?) })
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.start.elapsed().as_millis());
        print!("{line}");
        let mut file = self.file.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let _ = file.write_all(line.as_bytes());
    }
}
