//! Checks the size of the repository's Rust files, and that the deploy file names exactly the files of the
//! policy, whose lines are short and whose first line names its interface.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Lines of a Rust file. A longer one holds more than one subject: split it into clearly named modules.
const MAX_FILE_LINES: usize = 600;
/// Characters of a line of the policy.
const MAX_LINE_WIDTH: usize = 110;
const ROOT: &str = env!("CARGO_MANIFEST_DIR");
const SOURCE_DIRS: [&str; 4] = ["src", "crates", "tests", "benches"];
const POLICY_DIR: &str = "src/policy";

/// The Rust files under a directory and its subdirectories.
fn rust_files(dir: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            files.append(&mut rust_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files
}

/// The files that the key `policy` of the deploy file names.
fn deployed_policy_files() -> BTreeSet<String> {
    let deploy = fs::read_to_string(Path::new(ROOT).join("deploy/balancer.toml")).unwrap();
    let (_, list) = deploy.split_once("policy = [").expect("the deploy file has the key `policy`");
    let (list, _) = list.split_once(']').expect("the list of files is closed");
    list.split('"').skip(1).step_by(2).map(str::to_owned).collect()
}

#[test]
fn no_rust_file_has_too_many_lines() {
    for dir in SOURCE_DIRS {
        let files = rust_files(&Path::new(ROOT).join(dir));
        assert!(!files.is_empty(), "{dir} has no Rust files");
        for file in files {
            let lines = fs::read_to_string(&file).unwrap().lines().count();
            let file = file.display();
            assert!(
                lines <= MAX_FILE_LINES,
                "{file} has {lines} lines, at most {MAX_FILE_LINES} are allowed"
            );
        }
    }
}

#[test]
fn the_deploy_file_names_exactly_the_files_of_the_policy() {
    let entries = fs::read_dir(Path::new(ROOT).join(POLICY_DIR)).unwrap();
    let files =
        entries.map(|e| format!("{POLICY_DIR}/{}", e.unwrap().file_name().to_str().unwrap())).collect();
    assert_eq!(deployed_policy_files(), files);
}

#[test]
fn the_policy_has_short_lines_and_names_its_interface() {
    let files = deployed_policy_files();
    assert!(!files.is_empty(), "the deploy file names no file of the policy");
    for file in files {
        let text = fs::read_to_string(Path::new(ROOT).join(&file)).unwrap();
        assert!(!text.trim().is_empty(), "{file} is empty");
        for (index, line) in text.lines().enumerate() {
            let width = line.chars().count();
            assert!(width <= MAX_LINE_WIDTH, "{file}:{} has {width} characters", index + 1);
        }
    }
    let module = fs::read_to_string(Path::new(ROOT).join(POLICY_DIR).join("mod.rs")).unwrap();
    assert!(module.lines().next().unwrap().contains("`src/api.rs`"));
}
