//! Applies server lists and their changes to the known servers, and schedules calls to discovery.

use super::*;

/// Nodes that start together send their first calls to discovery within this time per node.
const SUBSCRIBE_SPREAD_PER_NODE_US: Micros = 50_000;
/// Delay after failures of discovery, doubled for each failure since the last list, at most this many times.
const RESUBSCRIBE_DELAY_US: Micros = 500_000;
const RESUBSCRIBE_MAX_DOUBLINGS: u32 = 5;

impl Balancer {
    /// Handles a server list, a change of it, or a failure of discovery.
    pub(super) fn on_sync(&mut self, kind: SyncKind, members: Vec<Member>, actions: &mut Vec<Action>) {
        if kind == SyncKind::Cached && self.servers.is_empty() {
            actions.push(Action::SetTimer { delay: self.jitter(SWEEP_PERIOD_US), timer: TIMER_SWEEP });
            if self.settings.discovery_mode == DiscoveryMode::Subscribe {
                // Nodes that start at the same time must not all call discovery at once.
                let spread = (u64::from(self.settings.group_size) * SUBSCRIBE_SPREAD_PER_NODE_US)
                    .min(self.settings.max_unsubscribed_time / 3);
                let delay = self.rng.u64(0..=spread);
                actions.push(Action::SetTimer { delay, timer: TIMER_SUBSCRIBE });
            }
        }
        match kind {
            SyncKind::Failed => {
                self.is_subscribed = false;
                self.failed_syncs += 1;
                let backoff = RESUBSCRIBE_DELAY_US << self.failed_syncs.min(RESUBSCRIBE_MAX_DOUBLINGS);
                // With jitter the delay is at most three quarters of the longest time without a subscription.
                let wait = backoff.min(self.settings.max_unsubscribed_time / 2);
                return actions.push(Action::SetTimer { delay: self.jitter(wait), timer: TIMER_SUBSCRIBE });
            }
            SyncKind::Cached => {}
            SyncKind::Delta | SyncKind::Full => {
                self.is_subscribed = true;
                self.failed_syncs = 0;
            }
        }
        if kind != SyncKind::Delta {
            // A server that is absent from a complete list has been removed.
            let mut listed: Vec<ServerId> = members.iter().map(|member| member.server).collect();
            listed.sort_unstable();
            for server in &mut self.servers {
                if server.is_in_service && listed.binary_search(&server.member.server).is_err() {
                    server.is_in_service = false;
                    self.is_table_stale = true;
                }
            }
        }
        for member in members {
            self.apply_member(member);
        }
    }

    fn apply_member(&mut self, mut member: Member) {
        let is_in_service = member.state == ServerState::InService;
        let is_unweighted = matches!(self.settings.weight_source, WeightSource::Off | WeightSource::Live);
        if is_unweighted || !member.size.is_finite() || member.size <= 0.0 {
            member.size = 1.0;
        }
        // With the same start value, all nodes would send their first attempt to a cold server at once.
        let cold_budget = self.rng.f64();
        let Some(&index) = self.server_index.get(&member.server) else {
            if is_in_service {
                self.is_table_stale = true;
                self.server_index.insert(member.server, self.servers.len());
                self.servers.push(Server::new(member, cold_budget));
            }
            return;
        };
        let known = &mut self.servers[index];
        self.is_table_stale |= known.is_in_service != is_in_service || known.member.size != member.size;
        if member.started_at != known.member.started_at {
            // The server restarted: observations of its old process say nothing about the new one.
            let in_flight = known.in_flight;
            *known = Server { in_flight, silent_since: self.now, ..Server::new(member, cold_budget) };
        } else {
            known.member = member;
        }
        known.is_in_service = is_in_service;
    }
}
