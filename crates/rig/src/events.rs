//! The event file of a run: JSON lines with timestamps of one monotonic clock.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use anyhow::Context;
use serde_json::{json, Value};

/// The event file, shared by all parts of one run.
#[derive(Clone)]
pub struct Events(Arc<Inner>);

struct Inner {
    start: Instant,
    path: PathBuf,
    writer: Mutex<BufWriter<File>>,
}

impl Events {
    /// Creates the file and starts the clock.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be created.
    pub fn create(path: &Path) -> anyhow::Result<Events> {
        let file = File::create(path).with_context(|| path.display().to_string())?;
        let writer = Mutex::new(BufWriter::new(file));
        Ok(Events(Arc::new(Inner { start: Instant::now(), path: path.to_owned(), writer })))
    }

    /// Microseconds since the file was created.
    pub fn elapsed_us(&self) -> u64 {
        self.0.start.elapsed().as_micros() as u64
    }

    /// Writes an event. `fields` is a JSON object.
    pub fn emit(&self, kind: &str, fields: Value) {
        let mut event = json!({"us": self.elapsed_us(), "kind": kind});
        if let (Some(event), Value::Object(fields)) = (event.as_object_mut(), fields) {
            event.extend(fields);
        }
        // A failed write, as on a full disk, is detected when the file is read: lines are missing or incomplete.
        if let Ok(mut writer) = self.0.writer.lock() {
            let _ = writeln!(writer, "{event}");
        }
    }

    /// Reads all events so far.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written or read, or if a line is incomplete.
    pub fn read(&self) -> anyhow::Result<Vec<Value>> {
        let mut writer =
            self.0.writer.lock().map_err(|_| anyhow::anyhow!("event file: a writer panicked"))?;
        writer.flush().context("flush the event file")?;
        let text =
            std::fs::read_to_string(&self.0.path).with_context(|| self.0.path.display().to_string())?;
        text.lines()
            .map(|line| serde_json::from_str(line).context("parse a line of the event file"))
            .collect()
    }
}
