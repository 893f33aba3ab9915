//! What a case sent, what was answered and what ran, in the order of time.

use std::fmt::Display;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(directory: &Path) -> std::io::Result<Self> {
        let file = File::create(directory.join("record.txt"))?;
        Ok(Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(BufWriter::new(file))),
        })
    }

    /// Writes a line with the seconds since the start.
    pub fn line(&self, text: impl Display) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: impl Display) {
        let seconds = at.saturating_duration_since(self.started).as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{seconds:8.3} {text}");
    }

    /// Writes a line here and to the standard output.
    pub fn say(&self, text: impl Display) {
        println!("{text}");
        self.line(text);
        let _ = self.file.lock().unwrap().flush();
    }
}
