//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// The record; times are milliseconds since its creation.
pub struct Record {
    began: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Mutex::new(BufWriter::new(File::create(path)?));
        Ok(Record { began: Instant::now(), file })
    }

    /// Returns the time in milliseconds.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64() * 1000.0
    }

    /// Writes one line.
    pub fn line(&self, text: &str) {
        let now = self.now();
        let mut file = self.file.lock().expect("lock");
        let _ = writeln!(file, "{now:10.1} {text}");
    }

    /// Writes one line, and to the standard output too.
    pub fn say(&self, text: &str) {
        println!("{:10.1} {text}", self.now());
        self.line(text);
        let _ = self.file.lock().expect("lock").flush();
    }
}
