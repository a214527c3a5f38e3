//! Server lists from discovery and their effect on the known servers.

use super::*;

impl Balancer {
    pub(super) fn on_sync(&mut self, kind: SyncKind, members: Vec<Member>, actions: &mut Vec<Action>) {
        if kind == SyncKind::Cached && self.servers.is_empty() {
            actions.push(Action::SetTimer { delay: self.jitter(SWEEP_PERIOD_US), timer: TIMER_SWEEP });
            if self.settings.discovery_mode == DiscoveryMode::Subscribe {
                // Nodes that start at the same time must not all call discovery at once.
                let spread = (u64::from(self.settings.group_size) * 50_000)
                    .min(self.settings.max_unsubscribed_time / 3);
                let delay = self.rng.u64(0..=spread);
                actions.push(Action::SetTimer { delay, timer: TIMER_SUBSCRIBE });
            }
        }
        match kind {
            SyncKind::Failed => {
                self.is_subscribed = false;
                self.failed_syncs += 1;
                let wait = (500_000 << self.failed_syncs.min(5)).min(self.settings.max_unsubscribed_time / 2);
                return actions.push(Action::SetTimer { delay: self.jitter(wait), timer: TIMER_SUBSCRIBE });
            }
            SyncKind::Cached => {}
            SyncKind::Delta | SyncKind::Full => (self.is_subscribed, self.failed_syncs) = (true, 0),
        }
        if kind != SyncKind::Delta {
            // A server that is absent from a complete list has been removed.
            let mut listed: Vec<ServerId> = members.iter().map(|m| m.server).collect();
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
        // A random start value, or all nodes would send their first attempt to a cold server at once.
        let cold_budget = self.rng.f64();
        let Some(&i) = self.server_index.get(&member.server) else {
            if is_in_service {
                self.is_table_stale = true;
                self.server_index.insert(member.server, self.servers.len());
                self.servers.push(Server::new(member, cold_budget));
            }
            return;
        };
        let known = &mut self.servers[i];
        self.is_table_stale |= known.is_in_service != is_in_service || known.member.size != member.size;
        if member.started_at != known.member.started_at {
            // What the old process did says nothing about the restarted one.
            let in_flight = known.in_flight;
            *known = Server { in_flight, silent_since: self.now, ..Server::new(member, cold_budget) };
        } else {
            known.member = member;
        }
        known.is_in_service = is_in_service;
    }
}
