//! Leases in log time, and the guard against mass expiry.

use std::collections::BTreeMap;

use crate::{Ms, Role, State};

impl State {
    /// Advances log time, forgets old request ids and lets leases expire, as far as the guard against mass expiry
    /// allows. A tick counts for `max_tick_ms` at most: the time for which a leader was suspended must not count as
    /// silence of the members.
    pub(crate) fn tick(&mut self, index: u64, elapsed_ms: Ms) {
        self.now += elapsed_ms.min(self.config.max_tick_ms);
        let now = self.now;
        self.request_outcomes.retain(|_, (_, at)| *at + self.config.request_memory_ms > now);
        let is_overdue = |registration: &crate::member::Registration| {
            registration.lease_ms.is_some_and(|lease_ms| registration.renewed_at + lease_ms <= now)
        };
        let mut pools: BTreeMap<String, (usize, Vec<String>)> = BTreeMap::new();
        for (id, registration) in
            self.members.iter().filter(|(_, registration)| registration.lease_ms.is_some())
        {
            let (leases, overdue) = pools.entry(registration.member.pool.clone()).or_default();
            *leases += 1;
            overdue.extend(is_overdue(registration).then(|| id.clone()));
        }
        for (pool, (leases, overdue)) in pools {
            if overdue.is_empty() {
                self.guarded_pools.remove(&pool);
                continue;
            }
            let max_expired = ((leases as f64 * self.config.max_expired_part).floor() as usize).max(1);
            // Leases that already expired within the window count together with those that would expire now.
            let recently_expired = self
                .recent_expiries
                .iter()
                .filter(|(at, expired_in)| at + self.config.expiry_window_ms > now && *expired_in == pool);
            if overdue.len() + recently_expired.count() > max_expired {
                self.guarded_pools.entry(pool).or_insert(now);
                continue;
            }
            self.guarded_pools.remove(&pool);
            overdue.iter().for_each(|id| self.expire_lease(index, id));
        }
        let window_ms = self.config.expiry_window_ms;
        self.recent_expiries.retain(|(at, _)| at + window_ms > now);
    }

    /// Removes a member whose lease has expired. A node stays in the audit as one with an expired lease, because it
    /// may still serve requests.
    pub(crate) fn expire_lease(&mut self, index: u64, id: &str) {
        let Some(registration) = self.members.get(id) else { return };
        let (pool, role) = (registration.member.pool.clone(), registration.member.role);
        self.recent_expiries.push((self.now, pool));
        if role == Role::Node {
            let event = audit::Event::LeaseExpired { node: id.to_owned() };
            self.audit.apply(self.now, &event);
        }
        self.remove_member(index, id);
    }

    /// The pools in which more leases are overdue at once than may expire, and since when.
    pub fn guarded_pools(&self) -> &BTreeMap<String, Ms> {
        &self.guarded_pools
    }
}
