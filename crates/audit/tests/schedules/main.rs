//! The audit's guarantees, checked on 100,000 random schedules with fixed seeds against a simulated fleet whose
//! actual state is known. `docs/audit.md` lists the mutation of the code that each check detects.

mod world;

use std::collections::{BTreeMap, BTreeSet};

use audit::*;
use world::{Behavior, World};

fn config() -> Config {
    Config { max_unavailable_part: 0.25, max_history_entries: 400, max_revisions: 60, ..Config::default() }
}

/// The checks after each step of a schedule, with what they remember of the step before.
struct Checks {
    floor: Revision,
    /// The halted revision before the step.
    halted_revision: Option<Revision>,
    shut_out: BTreeSet<String>,
    /// The newest revision that each process of a node reported.
    reported: BTreeMap<(String, u64), Revision>,
}

impl Checks {
    fn check_step(&mut self, world: &mut World) -> Result<(), String> {
        self.check_verdicts(world)?;
        self.check_unavailable_limit(world)?;
        self.check_floor(world)?;
        self.check_readmission(world)?;
        self.check_reported_revisions_never_fall(world)
    }

    /// Each escalation names evidence, and the evidence is true.
    fn check_verdicts(&mut self, world: &mut World) -> Result<(), String> {
        let entries: Vec<HistoryEntry> =
            world.audit.history().entries_from(world.checked_number + 1).cloned().collect();
        world.checked_number = entries.last().map_or(world.checked_number, |entry| entry.number);
        for entry in &entries {
            match &entry.record {
                AuditRecord::Escalated { node, to, evidence } => {
                    let evidence =
                        evidence.as_ref().ok_or(format!("escalation without evidence: {entry:?}"))?;
                    let actual = &world.nodes[node];
                    if evidence.revision >= evidence.required {
                        return Err(format!("the evidence does not show that the node is behind: {entry:?}"));
                    }
                    if actual.behavior == Behavior::Healthy {
                        return Err(format!("a healthy node was escalated to {to:?}: {entry:?}"));
                    }
                    if evidence.revision < actual.first_revision {
                        return Err(format!("the evidence is about an earlier process: {entry:?}"));
                    }
                    if world.required_revision(evidence.at.not_before) < evidence.required {
                        return Err(format!("the evidence requires a revision before it was due: {entry:?}"));
                    }
                }
                AuditRecord::ReportContradicted { node, .. }
                    if world.nodes[node].behavior != Behavior::Misreporting =>
                {
                    return Err(format!("correct reports count as contradicted: {entry:?}"));
                }
                AuditRecord::UnknownRevision { .. } => {
                    return Err(format!("no report or observation named an unknown revision: {entry:?}"))
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// No node is shut out if that makes more nodes of its pool or zone unavailable than configured, or if a shared
    /// cause is assumed there.
    fn check_unavailable_limit(&mut self, world: &World) -> Result<(), String> {
        let nodes = world.audit.nodes();
        let newly_shut_out: Vec<&String> = nodes
            .iter()
            .filter(|(name, node)| node.admission == Admission::ShutOut && !self.shut_out.contains(*name))
            .map(|(name, _)| name)
            .collect();
        for name in &newly_shut_out {
            let node = &nodes[*name];
            // A node that falls behind on probation is shut out at once: it had hardly any traffic to lose.
            if node.relapses > 0 {
                continue;
            }
            for (scope, zone) in
                [("pool p".to_owned(), None), (format!("zone {} of pool p", node.zone), Some(&node.zone))]
            {
                let in_scope =
                    || nodes.iter().filter(|(_, other)| zone.is_none_or(|zone| other.zone == *zone));
                let is_unavailable = |name: &String, node: &Node| {
                    node.admission == Admission::ShutOut || world.nodes[name].is_lease_expired
                };
                let others =
                    in_scope().filter(|(other, node)| other != name && is_unavailable(other, node)).count();
                if others + 1 > world.config.max_unavailable(in_scope().count()) {
                    return Err(format!(
                        "{name} is shut out while {others} others of {scope} are unavailable"
                    ));
                }
                if world.audit.shared_causes().contains_key(&scope) {
                    return Err(format!("{name} is shut out although {scope} has a shared cause"));
                }
            }
        }
        self.shut_out = nodes
            .iter()
            .filter(|(_, node)| node.admission == Admission::ShutOut)
            .map(|(name, _)| name.clone())
            .collect();
        Ok(())
    }

    /// The floor never falls, does not rise to a halted revision, and refuses no attempt of a healthy node.
    fn check_floor(&mut self, world: &World) -> Result<(), String> {
        let floor = world.audit.floor();
        if floor < self.floor {
            return Err(format!("the floor fell from {} to {floor}", self.floor));
        }
        // If a revision turns out to be bad only after the floor has passed it, the floor stays: it never falls.
        if floor > self.floor && self.halted_revision.is_some_and(|halted| floor >= halted) {
            return Err(format!("the floor rose to {floor} past the halt, {:?}", self.halted_revision));
        }
        (self.floor, self.halted_revision) = (floor, world.audit.halted_revision());
        for (name, actual) in &world.nodes {
            let oldest = if world.now < actual.in_flight.1 { actual.in_flight.0 } else { actual.acts_on };
            let has_reported = world.audit.nodes()[name].last_report_at.is_some();
            let is_healthy = actual.behavior == Behavior::Healthy;
            if is_healthy && has_reported && oldest < floor && actual.acts_on > 0 {
                return Err(format!("{name} uses revision {oldest}, below the floor {floor}"));
            }
        }
        Ok(())
    }

    /// A node that was shut out is readmitted, at least on probation, once there is evidence that it has caught up.
    fn check_readmission(&mut self, world: &World) -> Result<(), String> {
        for (name, node) in world.audit.nodes() {
            let has_caught_up = node.up_to_date_evidence.as_ref().is_some_and(|evidence| {
                evidence.at.not_before > node.step_since + world.config.max_flight_ms
                    && evidence.revision >= world.audit.floor()
            });
            let is_shut_out = node.admission == Admission::ShutOut;
            if is_shut_out && has_caught_up && !node.is_contradicted && !node.is_behind() {
                return Err(format!("{name} is shut out although it has caught up: {node:?}"));
            }
        }
        Ok(())
    }

    fn check_reported_revisions_never_fall(&mut self, world: &World) -> Result<(), String> {
        for (name, node) in world.audit.nodes() {
            let newest = self.reported.entry((name.clone(), node.incarnation)).or_default();
            if node.current_revision < *newest {
                return Err(format!(
                    "{name} fell from {newest} to {} within one process",
                    node.current_revision
                ));
            }
            *newest = node.current_revision;
        }
        Ok(())
    }
}

fn run_schedule(seed: u64, steps: usize) -> (World, Result<(), String>) {
    let mut world = World::new(seed, config());
    let mut checks =
        Checks { floor: 0, halted_revision: None, shut_out: BTreeSet::new(), reported: BTreeMap::new() };
    for _ in 0..steps {
        world.step();
        let result = checks.check_step(&mut world);
        if result.is_err() {
            return (world, result);
        }
    }
    (world, Ok(()))
}

#[test]
fn random_schedules_keep_the_guarantees() {
    let threads = std::thread::available_parallelism().map_or(2, usize::from) as u64;
    let checked: u64 = std::thread::scope(|scope| {
        let run_share = |start| {
            move || {
                let mut checked = 0;
                for seed in (start..100_000).step_by(threads as usize) {
                    // Most schedules are short; every fiftieth is long enough for several rounds of escalation.
                    let (_, result) = run_schedule(seed, if seed % 50 == 0 { 300 } else { 40 });
                    if let Err(fault) = result {
                        panic!("schedule {seed}: {fault}");
                    }
                    checked += 1;
                }
                checked
            }
        };
        let threads: Vec<_> = (0..threads).map(|start| scope.spawn(run_share(start))).collect();
        threads.into_iter().map(|thread| thread.join().expect("a schedule failed")).sum()
    });
    assert_eq!(checked, 100_000);
}

/// Guards against schedules that pass because they reach none of the decisions that the checks are about.
#[test]
fn schedules_reach_each_kind_of_decision() {
    let mut reached: BTreeMap<String, u32> = BTreeMap::new();
    for seed in (0..4_000).step_by(50) {
        let (world, result) = run_schedule(seed, 300);
        result.unwrap_or_else(|fault| panic!("schedule {seed}: {fault}"));
        for entry in world.audit.history().entries_from(0) {
            let text = format!("{:?}", entry.record);
            let kind = match &entry.record {
                AuditRecord::Escalated { to, .. } => format!("Escalated {to:?}"),
                AuditRecord::Admitted { to, .. } => format!("Admitted {to:?}"),
                _ => text.split([' ', '{']).next().unwrap_or_default().to_owned(),
            };
            *reached.entry(kind).or_default() += 1;
        }
    }
    let required = [
        "Escalated ListRefetched",
        "Escalated WatchesReopened",
        "Escalated Restarted",
        "Escalated ShutOut",
        "Admitted Probation",
        "Admitted Full",
        "Recovered",
        "ReportContradicted",
        "ShutOutDeferred",
        "SharedCauseFound",
        "SharedCauseCleared",
        "FloorRaised",
        "RevisionSuspected",
        "FloorHalted",
    ];
    for kind in required {
        assert!(reached.contains_key(kind), "no schedule reached {kind}: {reached:?}");
    }
}

/// Two replicas that apply the same log hold the same state, byte for byte.
#[test]
fn replicas_agree_and_the_hash_chain_detects_a_changed_or_missing_entry() {
    for seed in (0..1_000).step_by(50) {
        let (world, _) = run_schedule(seed, 300);
        let mut other = Audit::new(config());
        world.log.iter().for_each(|(at, event)| other.apply(*at, event));
        assert_eq!(postcard::to_stdvec(&world.audit).unwrap(), postcard::to_stdvec(&other).unwrap());
        let history = world.audit.history();
        let entries: Vec<HistoryEntry> = history.entries_from(0).cloned().collect();
        assert_eq!(verify_chain(history.last_dropped(), &entries), Ok(()));
        assert!(entries.len() <= 400);
        let middle = entries.len() / 2;
        let mut changed = entries.clone();
        changed[middle].at += 1;
        let number = entries[middle].number;
        let found = verify_chain(history.last_dropped(), &changed).map_err(|error| error.number);
        assert_eq!(found, Err(number));
        let mut missing = entries.clone();
        missing.remove(middle);
        assert_eq!(
            verify_chain(history.last_dropped(), &missing),
            Err(ChainError { number, reason: "a line is missing" })
        );
    }
}
