//! What was sent, answered and run, with the seconds since the start of the case.

use std::{
    fs::File,
    io::{self, BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<BufWriter<File>>)>);

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record(Arc::new((Instant::now(), Mutex::new(BufWriter::new(File::create(path)?))))))
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.0 .0.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: &str) {
        let now = self.now();
        if let Ok(mut file) = self.0 .1.lock() {
            let _ = writeln!(file, "{now:8.3} {text}");
            let _ = file.flush();
        }
    }
}
