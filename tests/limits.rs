//! Checks that the policy stays within the size limits that the operators set, because they port it by hand,
//! and that the deploy file names exactly its files.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

/// Non-blank lines of the whole module.
const MAX_LINES: usize = 1_200;
/// Characters of a line.
const MAX_LINE_WIDTH: usize = 110;
const ROOT: &str = env!("CARGO_MANIFEST_DIR");
const MODULE_DIR: &str = "src/policy";

/// The files that the key `policy` of the deploy file names.
fn deployed_policy_files() -> BTreeSet<String> {
    let deploy = fs::read_to_string(Path::new(ROOT).join("deploy/balancer.toml")).unwrap();
    let (_, list) = deploy.split_once("policy = [").expect("the deploy file has the key `policy`");
    let (list, _) = list.split_once(']').expect("the list of files is closed");
    list.split('"').skip(1).step_by(2).map(str::to_owned).collect()
}

#[test]
fn the_deploy_file_names_exactly_the_files_of_the_module() {
    let entries = fs::read_dir(Path::new(ROOT).join(MODULE_DIR)).unwrap();
    let files =
        entries.map(|e| format!("{MODULE_DIR}/{}", e.unwrap().file_name().to_str().unwrap())).collect();
    assert_eq!(deployed_policy_files(), files);
}

#[test]
fn the_module_stays_within_its_size_limits_and_names_its_interface() {
    let mut lines = 0;
    for file in deployed_policy_files() {
        let text = fs::read_to_string(Path::new(ROOT).join(&file)).unwrap();
        lines += text.lines().filter(|line| !line.trim().is_empty()).count();
        for (n, line) in text.lines().enumerate() {
            let width = line.chars().count();
            assert!(width <= MAX_LINE_WIDTH, "{file}:{} has {width} characters", n + 1);
        }
    }
    assert!((1..=MAX_LINES).contains(&lines), "{lines} lines that are not blank");
    let module = fs::read_to_string(Path::new(ROOT).join(MODULE_DIR).join("mod.rs")).unwrap();
    assert!(module.lines().next().unwrap().contains("`src/api.rs`"));
}
