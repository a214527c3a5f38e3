//! Injects faults of the system into a node: a library that is preloaded into its process, and the file that controls it.

use std::fs::OpenOptions;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;

use anyhow::{ensure, Context};

/// How many of a million calls of each kind fail or do less than asked.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallFaults {
    /// `socket`.
    pub socket_ppm: u32,
    /// `connect`.
    pub connect_ppm: u32,
    /// `accept`.
    pub accept_ppm: u32,
    /// Reads and writes that transfer less than asked.
    pub short_ppm: u32,
    /// Waits that a signal interrupts.
    pub wait_ppm: u32,
}

/// The control file of one node.
pub struct FaultControl {
    path: PathBuf,
}

/// Compiles the library with the C compiler that the linker of this workspace needs too, and returns its path.
///
/// # Errors
///
/// Fails if the compiler fails.
pub fn build_library(dir: &Path) -> anyhow::Result<PathBuf> {
    let (source, library) = (dir.join("faults.c"), dir.join("libfaults.so"));
    std::fs::write(&source, include_str!("faults.c")).context("write the source of the fault library")?;
    let status = Command::new("cc")
        .args(["-shared", "-fPIC", "-O1", "-o"])
        .arg(&library)
        .arg(&source)
        .arg("-ldl")
        .status()
        .context("start the C compiler cc")?;
    ensure!(status.success(), "cc failed on the fault library");
    Ok(library)
}

impl FaultControl {
    /// Creates the file. The faults begin with the process that reads it.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written.
    pub fn create(path: PathBuf, faults: CallFaults, seed: u32) -> anyhow::Result<FaultControl> {
        let CallFaults { socket_ppm, connect_ppm, accept_ppm, short_ppm, wait_ppm } = faults;
        let mut bytes = 0i64.to_ne_bytes().to_vec();
        for value in [socket_ppm, connect_ppm, accept_ppm, short_ppm, wait_ppm, seed] {
            bytes.extend(value.to_ne_bytes());
        }
        std::fs::write(&path, bytes).context("write the control file of the faults")?;
        Ok(FaultControl { path })
    }

    /// Steps the node's wall clock to this many seconds off the machine's.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written.
    pub fn step_clock(&self, seconds: i64) -> anyhow::Result<()> {
        let file = OpenOptions::new().write(true).open(&self.path).context("open the control file")?;
        file.write_all_at(&(seconds * 1_000_000_000).to_ne_bytes(), 0).context("step the clock")
    }

    /// The environment of a node that is subject to the faults.
    pub fn env(&self, library: &Path) -> Vec<(String, String)> {
        vec![
            ("LD_PRELOAD".to_owned(), library.to_string_lossy().into_owned()),
            ("RIG_FAULTS".to_owned(), self.path.to_string_lossy().into_owned()),
        ]
    }
}
