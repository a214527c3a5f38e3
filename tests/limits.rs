//! The limits of size that the operators set for the decision module: they port it by hand.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

const MOST_LINES: usize = 1_200;
const MOST_WIDTH: usize = 110;
const ROOT: &str = env!("CARGO_MANIFEST_DIR");
const MODULE: &str = "src/policy";

/// The files that `policy` in the deploy file names.
fn policy() -> BTreeSet<String> {
    let deploy = fs::read_to_string(Path::new(ROOT).join("deploy/balancer.toml")).unwrap();
    let (_, list) = deploy.split_once("policy = [").expect("the deploy file names the policy");
    let (list, _) = list.split_once(']').expect("the list ends");
    list.split('"').skip(1).step_by(2).map(str::to_owned).collect()
}

#[test]
fn the_deploy_file_names_all_of_the_module_and_nothing_else() {
    let entries = fs::read_dir(Path::new(ROOT).join(MODULE)).unwrap();
    let files = entries.map(|e| format!("{MODULE}/{}", e.unwrap().file_name().to_str().unwrap())).collect();
    assert_eq!(policy(), files);
}

#[test]
fn the_module_stays_small_and_names_its_interface() {
    let mut lines = 0;
    for file in policy() {
        let text = fs::read_to_string(Path::new(ROOT).join(&file)).unwrap();
        lines += text.lines().filter(|line| !line.trim().is_empty()).count();
        for (n, line) in text.lines().enumerate() {
            let width = line.chars().count();
            assert!(width <= MOST_WIDTH, "{file}:{} has {width} characters", n + 1);
        }
    }
    assert!((1..=MOST_LINES).contains(&lines), "{lines} lines that are not blank");
    let first = fs::read_to_string(Path::new(ROOT).join(MODULE).join("mod.rs")).unwrap();
    assert!(first.lines().next().unwrap().contains("`src/api.rs`"));
}
