//! The programs under test, built once a run.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

use anyhow::{ensure, Context};

/// Where they lie.
#[derive(Clone, Debug)]
pub struct Binaries {
    /// `fircroft`.
    pub fircroft: PathBuf,
    /// The node as it is in service.
    pub node: PathBuf,
    /// The node with the faults that tests ask for.
    pub faulty_node: PathBuf,
}

impl Binaries {
    /// Builds them, in the profile that this program was built in, or finds them built.
    ///
    /// # Errors
    ///
    /// What the build says.
    pub fn build() -> anyhow::Result<Binaries> {
        static BUILT: OnceLock<Result<Binaries, String>> = OnceLock::new();
        let built = BUILT.get_or_init(|| build().map_err(|error| format!("{error:#}")));
        built.clone().map_err(anyhow::Error::msg)
    }
}

fn build() -> anyhow::Result<Binaries> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let own = std::env::current_exe().context("this program's place")?;
    // target/PROFILE/deps/test or target/PROFILE/program
    let folder =
        own.ancestors().find(|folder| folder.join("build").is_dir()).context("the build's folder")?;
    let target = folder.parent().context("the build's folder")?;
    let release = folder.ends_with("release");
    let cargo = |args: &[&str]| -> anyhow::Result<()> {
        let mut command = Command::new(std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned()));
        command.current_dir(&root).args(["build", "--locked", "--quiet"]).args(args);
        command.args(release.then_some("--release")).env_remove("RUSTFLAGS");
        let status = command.status().context("cargo build")?;
        ensure!(status.success(), "cargo build {} failed", args.join(" "));
        Ok(())
    };
    let target_of = target.to_string_lossy().into_owned();
    let faulty = target.join("faults");
    let faulty_of = faulty.to_string_lossy().into_owned();
    cargo(&[
        "-p",
        "fircroft",
        "-p",
        "woodgap",
        "--bin",
        "fircroft",
        "--bin",
        "woodgap",
        "--target-dir",
        &target_of,
    ])?;
    cargo(&["-p", "woodgap", "--bin", "woodgap", "--features", "faults", "--target-dir", &faulty_of])?;
    let profile = if release { "release" } else { "debug" };
    Ok(Binaries {
        fircroft: target.join(profile).join("fircroft"),
        node: target.join(profile).join("woodgap"),
        faulty_node: faulty.join(profile).join("woodgap"),
    })
}
