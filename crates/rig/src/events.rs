//! The event file: what happened, in JSON lines on one monotonic clock.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use anyhow::Context;
use serde_json::{json, Value};

/// The file, shared by all parts of one run.
#[derive(Clone)]
pub struct Events(Arc<Inner>);

struct Inner {
    start: Instant,
    path: PathBuf,
    out: Mutex<BufWriter<File>>,
}

impl Events {
    /// Begins a file.
    ///
    /// # Errors
    ///
    /// What the disk says.
    pub fn create(path: &Path) -> anyhow::Result<Events> {
        let file = File::create(path).with_context(|| path.display().to_string())?;
        let out = Mutex::new(BufWriter::new(file));
        Ok(Events(Arc::new(Inner { start: Instant::now(), path: path.to_owned(), out })))
    }

    /// Microseconds since the run began.
    pub fn now(&self) -> u64 {
        self.0.start.elapsed().as_micros() as u64
    }

    /// Writes an event. `fields` is an object.
    pub fn emit(&self, kind: &str, fields: Value) {
        let mut line = json!({"us": self.now(), "kind": kind});
        if let (Some(line), Value::Object(fields)) = (line.as_object_mut(), fields) {
            line.extend(fields);
        }
        // A full disk shows when the file is read: it is counted there.
        if let Ok(mut out) = self.0.out.lock() {
            let _ = writeln!(out, "{line}");
        }
    }

    /// All events so far.
    ///
    /// # Errors
    ///
    /// What the disk says, and a line that is not whole.
    pub fn read(&self) -> anyhow::Result<Vec<Value>> {
        let mut out = self.0.out.lock().map_err(|_| anyhow::anyhow!("the event file: a writer failed"))?;
        out.flush().context("the event file")?;
        let text =
            std::fs::read_to_string(&self.0.path).with_context(|| self.0.path.display().to_string())?;
        text.lines().map(|line| serde_json::from_str(line).context("a line of the event file")).collect()
    }
}
