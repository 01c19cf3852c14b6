//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), started: Instant::now() })
    }

    pub fn line(&self, text: String) {
        let ms = self.started.elapsed().as_millis();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{:>7} ms  {text}", ms);
            let _ = file.flush();
        }
        if text.starts_with("VERDICT") {
            println!("{text}");
        }
    }
}
