//! The record of a case: what was sent, answered and run, with times.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Writes lines to `record.txt` and standard output. Clones share the file.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file.
    ///
    /// # Errors
    /// The file can't be created.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    /// Time since the start of the case.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line that also goes to standard output.
    pub fn line(&self, text: String) {
        println!("{:8.3} {text}", self.now().as_secs_f64());
        self.detail(text);
    }

    /// Writes a line to the file only.
    pub fn detail(&self, text: String) {
        let mut file = self.file.lock().expect("no holder of the lock panics");
        // The verdict doesn't depend on the file.
        let _ = writeln!(file, "{:8.3} {text}", self.started.elapsed().as_secs_f64());
    }
}
