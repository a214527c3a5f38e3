//! The programs under test, built once per run.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

use anyhow::{ensure, Context};

/// Paths of the programs.
#[derive(Clone, Debug)]
pub struct Binaries {
    /// `fircroft`.
    pub fircroft: PathBuf,
    /// The node as it is in service, `woodgap`.
    pub node: PathBuf,
    /// The node with the feature `faults`: `WOODGAP_FAULT` selects a fault.
    pub faulty_node: PathBuf,
}

impl Binaries {
    /// Builds the programs in the profile of this program, unless they are up to date.
    ///
    /// # Errors
    ///
    /// Fails if the build fails.
    pub fn build() -> anyhow::Result<Binaries> {
        static RESULT: OnceLock<Result<Binaries, String>> = OnceLock::new();
        let result = RESULT.get_or_init(|| build_all().map_err(|error| format!("{error:#}")));
        result.clone().map_err(anyhow::Error::msg)
    }
}

fn build_all() -> anyhow::Result<Binaries> {
    let workspace_dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let own_path = std::env::current_exe().context("path of this executable")?;
    // This executable is target/PROFILE/deps/NAME or target/PROFILE/NAME.
    let profile_dir = own_path
        .ancestors()
        .find(|dir| dir.join("build").is_dir())
        .context("find the profile's directory")?;
    let target_dir = profile_dir.parent().context("find the target directory")?;
    let is_release = profile_dir.ends_with("release");
    let run_cargo_build = |args: &[&str]| -> anyhow::Result<()> {
        let mut command = Command::new(std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned()));
        command.current_dir(&workspace_dir).args(["build", "--locked", "--quiet"]).args(args);
        command.args(is_release.then_some("--release")).env_remove("RUSTFLAGS");
        let status = command.status().context("cargo build")?;
        ensure!(status.success(), "cargo build {} failed", args.join(" "));
        Ok(())
    };
    let target_arg = target_dir.to_string_lossy().into_owned();
    // A directory of its own, so that builds with and without the feature don't overwrite each other.
    let faults_dir = target_dir.join("faults");
    let faults_arg = faults_dir.to_string_lossy().into_owned();
    run_cargo_build(&[
        "-p",
        "fircroft",
        "-p",
        "woodgap",
        "--bin",
        "fircroft",
        "--bin",
        "woodgap",
        "--target-dir",
        &target_arg,
    ])?;
    run_cargo_build(&[
        "-p",
        "woodgap",
        "--bin",
        "woodgap",
        "--features",
        "faults",
        "--target-dir",
        &faults_arg,
    ])?;
    let profile = if is_release { "release" } else { "debug" };
    Ok(Binaries {
        fircroft: target_dir.join(profile).join("fircroft"),
        node: target_dir.join(profile).join("woodgap"),
        faulty_node: faults_dir.join(profile).join("woodgap"),
    })
}
