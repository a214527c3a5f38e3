//! Leases in log time, and the guard against mass expiry.

use std::collections::BTreeMap;

use crate::{Ms, Role, State};

impl State {
    /// Lets time pass. A tick never counts for more than the configuration allows: a leader that was stopped and
    /// went on must not take its sleep for silence of the members.
    pub(crate) fn tick(&mut self, index: u64, elapsed: Ms) {
        self.now += elapsed.min(self.config.longest_tick_ms);
        let now = self.now;
        self.requests.retain(|_, (_, at)| *at + self.config.request_ms > now);
        let over = |held: &crate::member::Held| held.lease.is_some_and(|lease| held.renewed + lease <= now);
        let mut pools: BTreeMap<String, (usize, Vec<String>)> = BTreeMap::new();
        for (id, held) in self.members.iter().filter(|(_, held)| held.lease.is_some()) {
            let (all, late) = pools.entry(held.member.pool.clone()).or_default();
            *all += 1;
            late.extend(over(held).then(|| id.clone()));
        }
        for (pool, (all, late)) in pools {
            if late.is_empty() {
                self.guarded.remove(&pool);
                continue;
            }
            let most = ((all as f64 * self.config.expire_part).floor() as usize).max(1);
            // Those that are gone since the guard's window began count with those that would go now.
            let lately =
                self.expired.iter().filter(|(at, of)| at + self.config.expire_ms > now && *of == pool);
            if late.len() + lately.count() > most {
                self.guarded.entry(pool).or_insert(now);
                continue;
            }
            self.guarded.remove(&pool);
            late.iter().for_each(|id| self.expire(index, id));
        }
        let window = self.config.expire_ms;
        self.expired.retain(|(at, _)| at + window > now);
    }

    /// Takes a member off for its silence. A node stays in the audit, as lost: it may serve on.
    pub(crate) fn expire(&mut self, index: u64, id: &str) {
        let Some(held) = self.members.get(id) else { return };
        let (pool, role) = (held.member.pool.clone(), held.member.role);
        self.expired.push((self.now, pool));
        if role == Role::Node {
            let event = audit::Event::Lost { node: id.to_owned() };
            self.audit.apply(self.now, &event);
        }
        self.take_off(index, id);
    }

    /// The pools in which more leases ran out at once than may, with since when.
    pub fn guarded(&self) -> &BTreeMap<String, Ms> {
        &self.guarded
    }
}
