//! The short form of the soak: some seeds with all kinds of faults among them. `RIG_SEED=N` runs another seed alone; `rig soak`
//! runs as many as wanted.

use std::time::Duration;

use rig::binaries::Binaries;
use rig::site::run_scenario;
use rig::soak::plan::{ClientCounts, Plan, ServerFaults};
use rig::soak::run_plan;
use rig::soak::shim::CallFaults;

/// How long the load of a run lasts.
const DURATION: Duration = Duration::from_secs(10);
/// Part of the requests that is served although some calls in a hundred fail.
const MIN_SERVED: f64 = 0.8;
/// Together these have every kind of client, server and disturbance.
const SEEDS: [u64; 3] = [12, 16, 23];

#[test]
fn every_answer_run_and_process_keeps_the_rules_under_drawn_faults() {
    let chosen = std::env::var("RIG_SEED").ok().and_then(|seed| seed.parse().ok());
    let seeds = chosen.map_or(SEEDS.to_vec(), |seed| vec![seed]);
    let node = Binaries::build().unwrap().node;
    let mut violations = Vec::new();
    for seed in seeds {
        run_scenario(|| async {
            let report = run_plan(Plan::draw(seed, DURATION), &node).await?;
            println!("{report}");
            violations.extend(report.violations.iter().map(|violation| format!("seed {seed}: {violation}")));
            anyhow::ensure!(report.requests > 0, "seed {seed}: no request was sent");
            Ok(())
        })
        .unwrap();
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

// Calls that fail on the node's own machine say nothing about servers or the fleet: requests are served all the same.
#[test]
fn most_requests_are_served_while_calls_fail_on_the_nodes_machine() {
    let node = Binaries::build().unwrap().node;
    let drawn = Plan::draw(1, Duration::from_secs(5));
    let faults_ppm = 40_000;
    let plan = Plan {
        call_faults: CallFaults {
            socket_ppm: faults_ppm,
            connect_ppm: faults_ppm,
            accept_ppm: faults_ppm,
            ..CallFaults::default()
        },
        server_faults: ServerFaults::default(),
        clients: ClientCounts { sound: 24, ..ClientCounts::default() },
        events: Vec::new(),
        replacements: Vec::new(),
        drains: Vec::new(),
        faults: vec!["calls"],
        ..drawn
    };
    run_scenario(|| async {
        let report = run_plan(plan, &node).await?;
        println!("{report}");
        anyhow::ensure!(report.violations.is_empty(), "{:?}", report.violations);
        anyhow::ensure!(report.served >= MIN_SERVED, "{} were served", report.served);
        Ok(())
    })
    .unwrap();
}

// The seeds above must not lose a kind of fault when the drawing of plans changes.
#[test]
fn the_seeds_have_every_kind_of_fault() {
    let drawn: Vec<&str> = SEEDS.iter().flat_map(|&seed| Plan::draw(seed, DURATION).faults).collect();
    for fault in [
        "late", "endless", "long", "hung", "reset", "slow", "leaving", "stopped", "flooding", "crowd",
        "calls", "kill", "term", "pause", "outage", "clock", "replaced", "drain",
    ] {
        assert!(drawn.contains(&fault), "{fault}");
    }
}
