//! The scenarios: a site, the faults that are injected, and what the audit has to make of them.

use std::collections::BTreeMap;
use std::time::Duration;

use nix::sys::signal::Signal;
use rig::relay::Mode;
use rig::site::{Site, SiteConfig, WAIT_TIMEOUT};
use tokio::time::sleep;

use super::{check_guarantees, node, run_test, seed, wait_for_equal_counts};

/// Changes the list until a condition holds.
async fn change_list_until(
    site: &mut Site,
    description: &str,
    condition: impl AsyncFn(&Site) -> anyhow::Result<bool>,
) -> anyhow::Result<()> {
    let start = std::time::Instant::now();
    while start.elapsed() < WAIT_TIMEOUT {
        site.change_list().await?;
        for _ in 0..10 {
            if condition(site).await.unwrap_or(false) {
                return Ok(());
            }
            sleep(Duration::from_millis(50)).await;
        }
    }
    let audit = site.fetch_audit().await?;
    anyhow::bail!("not within {WAIT_TIMEOUT:?}: {description}\n{audit:#}\n{}", site.logs())
}

/// Whether the audit has this value in a field of a node.
async fn node_has(site: &Site, name: &str, field: &str, value: &str) -> anyhow::Result<bool> {
    Ok(node(&site.fetch_audit().await?, name)[field] == value)
}

/// Whether the audit's history records that a node was escalated to this step, even if the node has left it since.
async fn was_escalated_to(site: &Site, name: &str, step: &str) -> anyhow::Result<bool> {
    let history = site.fetch_history().await?;
    let mut escalations = history.iter().map(|entry| &entry["what"]["climbed"]);
    Ok(escalations.any(|escalation| escalation["node"] == name && escalation["to"] == step))
}

// Without faults each change reaches all nodes, the audit makes no verdict, and its counts of attempts are those of
// the event file.
#[test]
fn a_healthy_fleet_is_counted_exactly_and_no_verdict_is_made() {
    run_test(|| async {
        let mut site = Site::start(SiteConfig::default(), seed()).await?;
        let mut last = 0;
        for _ in 0..6 {
            last = site.change_list().await?;
            sleep(Duration::from_millis(300)).await;
        }
        site.wait_until("all nodes have acted on the last change", async |site| {
            let response = site.client.get(&format!("/v1/audit/revisions/{last}")).await?;
            Ok(response["spread"]["all_ms"].is_u64())
        })
        .await?;
        site.load_generator.stop();
        wait_for_equal_counts(&site).await?;
        let audit = site.fetch_audit().await?;
        anyhow::ensure!(audit["floor"] == 0 && audit["shared"] == serde_json::json!({}), "{audit:#}");
        check_guarantees(&site, &[]).await
    });
}

// One node ignores every list after its first, another does so and reports that it acts on the newest. Both are
// detected and shut out, and are readmitted once they are repaired.
#[test]
fn a_stuck_and_a_misreporting_node_are_shut_out_and_readmitted_once_repaired() {
    run_test(|| async {
        let node_faults = BTreeMap::from([(2, "stuck"), (5, "liar")]);
        let config = SiteConfig { node_faults, ..SiteConfig::default() };
        let mut site = Site::start(config, seed()).await?;
        change_list_until(&mut site, "the reports of n5 are contradicted", async |site| {
            Ok(node(&site.fetch_audit().await?, "n5")["lies"] == true)
        })
        .await?;
        // Both are in zone z2, in which one node may be shut out at once: the other one has to wait.
        change_list_until(&mut site, "one of the two nodes is shut out", async |site| {
            Ok(node_has(site, "n2", "admission", "out").await?
                || node_has(site, "n5", "admission", "out").await?)
        })
        .await?;
        let (first, second) = if node_has(&site, "n2", "admission", "out").await? { (2, 5) } else { (5, 2) };
        let second_name = format!("n{second}");
        change_list_until(&mut site, "the limit defers that the other node is shut out", async |site| {
            let history = site.fetch_history().await?;
            Ok(history.iter().any(|entry| entry["what"]["held"]["node"] == *second_name))
        })
        .await?;
        let floor = site.fetch_audit().await?["floor"].as_u64().unwrap_or(0);
        anyhow::ensure!(floor > 0, "a node is shut out and there is no floor");
        site.wait_until("all servers have the floor", async |site| {
            Ok(site.servers.iter().all(|server| server.floor() >= floor))
        })
        .await?;
        site.repair_node(first).await?;
        let first_name = format!("n{first}");
        change_list_until(&mut site, "the first node is fully readmitted", async |site| {
            node_has(site, &first_name, "admission", "full").await
        })
        .await?;
        change_list_until(&mut site, "the second node is shut out", async |site| {
            node_has(site, &second_name, "admission", "out").await
        })
        .await?;
        site.repair_node(second).await?;
        change_list_until(&mut site, "the second node is fully readmitted", async |site| {
            node_has(site, &second_name, "admission", "full").await
        })
        .await?;
        check_guarantees(&site, &["n2", "n5"]).await
    });
}

// The leader is killed at each escalation step of a straggler. At the second one all replicas are killed and
// restarted, and the nodes have to serve on without the registry.
#[test]
fn escalation_continues_after_the_loss_of_leaders_and_of_all_replicas() {
    run_test(|| async {
        let node_faults = BTreeMap::from([(4, "stuck")]);
        let config = SiteConfig { node_faults, ..SiteConfig::default() };
        let mut site = Site::start(config, seed()).await?;
        for step in ["told_again", "rewatched", "out"] {
            // A step may be over before it is looked at: after a leader is lost, a change takes as long as a step.
            change_list_until(&mut site, step, async |site| was_escalated_to(site, "n4", step).await).await?;
            let leader =
                site.find_leader().await.ok_or(anyhow::anyhow!("inconclusive: no leader to kill"))?;
            site.kill_replica(leader).await?;
            if step == "rewatched" {
                for other in (0..3).filter(|&other| other != leader) {
                    site.kill_replica(other).await?;
                }
                let (_, served_before) = site.load_generator.request_counts();
                sleep(Duration::from_secs(1)).await;
                // A third of the requests that are sent in this second.
                anyhow::ensure!(
                    site.load_generator.request_counts().1 > served_before + 50,
                    "the nodes do not serve on without the registry"
                );
                for other in (0..3).filter(|&other| other != leader) {
                    site.start_replica(other).await?;
                }
            }
            site.wait_until("a new leader", async |site| Ok(site.find_leader().await.is_some())).await?;
            site.start_replica(leader).await?;
        }
        site.wait_until("n4 is shut out", async |site| node_has(site, "n4", "admission", "out").await)
            .await?;
        check_guarantees(&site, &["n4"]).await
    });
}

// A node is suspended under load and resumed. It may be found behind, and must not stay shut out.
#[test]
fn a_node_that_was_suspended_and_resumed_is_not_shut_out() {
    run_test(|| async {
        let mut site = Site::start(SiteConfig::default(), seed()).await?;
        let signal_node = |site: &Site, signal| {
            site.nodes[2].as_ref().map(|process| process.signal(signal)).unwrap_or(Ok(()))
        };
        signal_node(&site, Signal::SIGSTOP)?;
        for _ in 0..6 {
            site.change_list().await?;
            sleep(Duration::from_secs(1)).await;
        }
        signal_node(&site, Signal::SIGCONT)?;
        let last = site.change_list().await?;
        site.wait_until("n2 acts on the last change", async |site| {
            Ok(node(&site.fetch_audit().await?, "n2")["standing"].as_u64() >= Some(last))
        })
        .await?;
        sleep(Duration::from_secs(3)).await;
        anyhow::ensure!(node_has(&site, "n2", "admission", "full").await?, "n2 is shut out");
        check_guarantees(&site, &["n2"]).await
    });
}

// A whole zone is cut off from the registry: the cause is a shared one, and no node is shut out.
#[test]
fn a_zone_that_is_cut_off_is_a_shared_cause() {
    run_test(|| async {
        let mut site = Site::start(SiteConfig::default(), seed()).await?;
        let zone = [0, 3, 6, 9];
        for index in zone {
            site.node_machines[index].registry_links.iter().for_each(|link| link.set_mode(Mode::Silent));
        }
        change_list_until(&mut site, "the audit finds a shared cause in the zone", async |site| {
            Ok(site.fetch_audit().await?["shared"].get("zone z0 of pool nodes").is_some())
        })
        .await?;
        for _ in 0..6 {
            site.change_list().await?;
            sleep(Duration::from_millis(500)).await;
        }
        let audit = site.fetch_audit().await?;
        for index in 0..12 {
            let admission = &node(&audit, &format!("n{index}"))["admission"];
            anyhow::ensure!(*admission == "full", "n{index} is {admission}");
        }
        // Connections on which bytes were discarded are unusable: they are closed before the links forward again.
        for index in zone {
            site.node_machines[index].registry_links.iter().for_each(|link| link.set_mode(Mode::Cut));
        }
        sleep(Duration::from_millis(100)).await;
        for index in zone {
            site.node_machines[index].registry_links.iter().for_each(|link| link.set_mode(Mode::Forward));
        }
        site.wait_until("the shared cause is cleared", async |site| {
            Ok(site.fetch_audit().await?["shared"] == serde_json::json!({}))
        })
        .await?;
        check_guarantees(&site, &["n0", "n3", "n6", "n9"]).await
    });
}

// A node's agent is cut off from the registry, while the node reaches the servers. The node is shut out by the
// servers' observations, and readmitted by its own reports.
#[test]
fn a_node_whose_agent_is_cut_off_is_judged_by_observations_of_servers() {
    run_test(|| async {
        let mut site = Site::start(SiteConfig::default(), seed()).await?;
        site.node_machines[7].registry_links.iter().for_each(|link| link.set_mode(Mode::Cut));
        change_list_until(&mut site, "n7 is shut out", async |site| {
            node_has(site, "n7", "admission", "out").await
        })
        .await?;
        let audit = site.fetch_audit().await?;
        let source = &node(&audit, "n7")["low"]["by"];
        anyhow::ensure!(
            source.get("server").is_some(),
            "the evidence is not a server's observation: {source}"
        );
        site.node_machines[7].registry_links.iter().for_each(|link| link.set_mode(Mode::Forward));
        change_list_until(&mut site, "n7 is fully readmitted", async |site| {
            node_has(site, "n7", "admission", "full").await
        })
        .await?;
        check_guarantees(&site, &["n7"]).await
    });
}

// A replica receives nothing from the others and keeps running. The agents that watch it must notice that its list
// does not advance, instead of taking it for a list without changes.
#[test]
fn a_replica_that_lags_leaves_no_node_behind() {
    run_test(|| async {
        let mut site = Site::start(SiteConfig::default(), seed()).await?;
        let leader = site.find_leader().await.ok_or(anyhow::anyhow!("inconclusive: no leader"))?;
        let lagging = (leader + 1) % 3;
        let set_links_to_lagging = |site: &Site, mode| {
            let links = site.raft_links.iter().filter(|((_, to), _)| *to == lagging);
            links.for_each(|(_, link)| link.set_mode(mode));
        };
        set_links_to_lagging(&site, Mode::Silent);
        for _ in 0..12 {
            site.change_list().await?;
            sleep(Duration::from_millis(500)).await;
        }
        set_links_to_lagging(&site, Mode::Cut);
        sleep(Duration::from_millis(50)).await;
        set_links_to_lagging(&site, Mode::Forward);
        check_guarantees(&site, &[]).await
    });
}

// Six of twelve nodes crash on a change: the audit names its revision, keeps the floor below it, and shuts out no
// node.
#[test]
fn a_change_on_which_nodes_crash_halts_the_floor_and_is_named() {
    run_test(|| async {
        let node_faults = (0..6).map(|n| (n * 2, "crash")).collect();
        let mut site = Site::start(SiteConfig { node_faults, ..SiteConfig::default() }, seed()).await?;
        site.change_list().await?;
        sleep(Duration::from_secs(1)).await;
        let bad = site.change_list_to_crash_nodes().await?;
        let start = std::time::Instant::now();
        while site.fetch_audit().await?["halted"].is_null() && start.elapsed() < WAIT_TIMEOUT {
            sleep(Duration::from_millis(200)).await;
            site.restart_exited_nodes().await?;
        }
        for _ in 0..8 {
            site.change_list().await?;
            sleep(Duration::from_millis(500)).await;
            site.restart_exited_nodes().await?;
        }
        let audit = site.fetch_audit().await?;
        anyhow::ensure!(
            audit["halted"] == bad,
            "the floor is halted at {}, and the nodes crashed on {bad}",
            audit["halted"]
        );
        anyhow::ensure!(audit["floor"].as_u64() < Some(bad), "the floor was raised to {}", audit["floor"]);
        check_guarantees(&site, &["n0", "n2", "n4", "n6", "n8", "n10"]).await
    });
}

// At twenty changes a second, nodes act on some of the revisions only, and are not behind.
#[test]
fn changes_faster_than_nodes_act_leave_no_node_behind() {
    run_test(|| async {
        let mut site = Site::start(SiteConfig::default(), seed()).await?;
        let mut last = 0;
        for _ in 0..80 {
            last = site.change_list().await?;
            sleep(Duration::from_millis(40)).await;
        }
        site.wait_until("all nodes have acted on the last change", async |site| {
            let response = site.client.get(&format!("/v1/audit/revisions/{last}")).await?;
            Ok(response["spread"]["all_ms"].is_u64())
        })
        .await?;
        check_guarantees(&site, &[]).await
    });
}

// An agent restarts with an older list on disk and cannot reach the registry at first. It must not send its node a
// list older than the node has.
#[test]
fn an_agent_with_an_older_list_on_disk_does_not_send_it_to_its_node() {
    run_test(|| async {
        let mut site = Site::start(SiteConfig::default(), seed()).await?;
        site.change_list().await?;
        sleep(Duration::from_secs(1)).await;
        let old_list = std::fs::read(site.agent_list_file(3))?;
        for _ in 0..4 {
            site.change_list().await?;
            sleep(Duration::from_millis(300)).await;
        }
        let agent =
            site.node_machines[3].agent.take().ok_or(anyhow::anyhow!("inconclusive: no agent to kill"))?;
        agent.kill().await?;
        std::fs::write(site.agent_list_file(3), old_list)?;
        // Without the registry, the old list is all that the agent has.
        site.node_machines[3].registry_links.iter().for_each(|link| link.set_mode(Mode::Cut));
        let mut machine = site.node_machines.remove(3);
        site.start_agent("n3", &mut machine).await?;
        site.node_machines.insert(3, machine);
        sleep(Duration::from_secs(1)).await;
        site.node_machines[3].registry_links.iter().for_each(|link| link.set_mode(Mode::Forward));
        let last = site.change_list().await?;
        site.wait_until("n3 acts on the last change", async |site| {
            Ok(node(&site.fetch_audit().await?, "n3")["standing"].as_u64() >= Some(last))
        })
        .await?;
        check_guarantees(&site, &["n3"]).await
    });
}

// A node gets each list later than the grace time, permanently: no escalation step helps, and it is shut out.
#[test]
fn a_node_that_is_always_late_is_shut_out() {
    run_test(|| async {
        let mut site = Site::start(SiteConfig::default(), seed()).await?;
        site.node_machines[6].agent_link.set_mode(Mode::DelayMs(4_000));
        change_list_until(&mut site, "n6 is shut out", async |site| {
            node_has(site, "n6", "admission", "out").await
        })
        .await?;
        check_guarantees(&site, &["n6"]).await
    });
}

// A node does not hear of a server's drain and keeps sending to it. The audit lists each of these requests, and no
// other.
#[test]
fn requests_after_a_drain_are_listed_exactly() {
    run_test(|| async {
        let site = Site::start(SiteConfig::default(), seed()).await?;
        // No watch that n5 opens on its agent receives anything.
        site.node_machines[5].agent_link.set_mode(Mode::SilentFromTarget);
        let drain =
            serde_json::from_value(serde_json::json!({"set_phase": {"id": "s-2", "phase": "terminating"}}))?;
        site.client.propose(&client::Client::generate_request_id(), drain, WAIT_TIMEOUT).await?;
        site.servers[2].set_draining(true);
        sleep(Duration::from_secs(4)).await;
        site.load_generator.stop();
        let expected: std::collections::BTreeSet<String> = site
            .events
            .read()?
            .iter()
            .filter(|event| event["kind"] == "attempt" && event["draining"] == true)
            .filter_map(|event| event["request"].as_str().map(str::to_owned))
            .collect();
        anyhow::ensure!(!expected.is_empty(), "inconclusive: no request was sent after the drain");
        site.wait_until("the audit lists the requests of the event file", async |site| {
            let response = site.client.get("/v1/audit/after-drain/s-2").await?;
            let requests = response["requests"].as_array().into_iter().flatten();
            let listed: std::collections::BTreeSet<String> =
                requests.filter_map(|request| request["request"].as_str().map(str::to_owned)).collect();
            anyhow::ensure!(listed == expected, "listed {listed:?}, expected {expected:?}");
            let mut requests = response["requests"].as_array().into_iter().flatten();
            Ok(requests.any(|request| request["node"] == "n5"))
        })
        .await?;
        check_guarantees(&site, &["n5"]).await
    });
}

// A node falls behind and catches up again and again. Each time it starts one escalation step higher, until it is
// shut out.
#[test]
fn a_flapping_node_escalates_until_it_is_shut_out() {
    run_test(|| async {
        let mut site = Site::start(SiteConfig::default(), seed()).await?;
        let mut was_shut_out = false;
        for _ in 0..8 {
            site.node_machines[8].agent_link.set_mode(Mode::DelayMs(5_000));
            change_list_until(&mut site, "n8 is behind", async |site| {
                Ok(!node_has(site, "n8", "step", "fine").await?)
            })
            .await?;
            for _ in 0..5 {
                site.change_list().await?;
                sleep(Duration::from_millis(500)).await;
            }
            site.node_machines[8].agent_link.set_mode(Mode::Cut);
            sleep(Duration::from_millis(50)).await;
            site.node_machines[8].agent_link.set_mode(Mode::Forward);
            change_list_until(&mut site, "n8 has caught up", async |site| {
                node_has(site, "n8", "step", "fine").await
            })
            .await?;
            // The highest step is read, not the present one: the node may be back on probation by now. And a node that
            // takes itself for shut out gets no request that could show it behind again.
            if node_has(&site, "n8", "reached", "out").await? {
                was_shut_out = true;
                break;
            }
        }
        anyhow::ensure!(was_shut_out, "n8 is never shut out");
        check_guarantees(&site, &["n8"]).await
    });
}
