//! Tests of single decisions of the balancer.

#[path = "../common/mod.rs"]
mod common;
mod load;
mod requests;
mod serial_queue;
mod servers;

use common::*;
use woodgap::*;

// Indexes of the classes in `settings()`.
const SAFE: usize = 0;
const UNSAFE: usize = 1;
const DEDUP_CELL: usize = 2;
const DEDUP_ALL: usize = 3;

/// How often the balancer sweeps over its servers.
const SWEEP_PERIOD_US: Micros = 100_000;
/// The balancer's timer for that sweep.
const TIMER_SWEEP: TimerId = TimerId(1);

/// Submits `count` unsafe requests over one second, each with a key of its own and numbered from `first`. The
/// attempt of each request ends with this outcome and duration before the next request is submitted. No
/// sweep takes place. Returns how many requests were not sent.
fn submit_for_one_second(node: &mut Node, first: u64, count: u64, outcome: Outcome, elapsed: Micros) -> u64 {
    let mut refusals = 0;
    for n in first..first + count {
        node.now += SECOND / count;
        match sent_server(&node.submit(n, UNSAFE, n)) {
            Some(server) => {
                node.end_attempt_after(n, 0, server, outcome, elapsed);
            }
            None => refusals += 1,
        }
    }
    refusals
}
