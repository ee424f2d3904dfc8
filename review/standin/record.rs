//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(BufWriter::new(file))),
        }
    }

    /// Returns the time since the start.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line with the time since the start in seconds.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {text}", self.elapsed().as_secs_f64());
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}
