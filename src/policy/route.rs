//! Chooses the server for an attempt, starting at the slot of its key, and finds keys too hot for one server.

use super::*;

/// Most owners considered for an attempt, and most slots scanned for them.
const MAX_SCANNED_OWNERS: usize = 64;
const MAX_SCANNED_SLOTS: usize = 1_024;
/// Load of a single key that one slot carries, as a fraction of a server's mean load. Less spreads more keys,
/// which cost more on servers that have not cached them; more leaves a server's load to the chance of a few
/// hot keys. With few servers each has many keys, and a key keeps its one owner.
const LARGE_GROUP_SLOT_LOAD: f64 = 0.1;
const SMALL_GROUP_SLOT_LOAD: f64 = 0.35;
/// Keys that a node counts, and the decay of their counts per sweep, which covers about 10 s. A longer time
/// tells more keys from chance, and notices later that a key became hot.
const MAX_COUNTED_KEYS: usize = 512;
const KEY_COUNT_DECAY: f64 = 0.99;
/// Part of a key's count that chance adds: see `Balancer::key_share`.
const CHANCE_COUNT: f64 = 0.8;
/// Fewest keyed requests that a key's share refers to in a small group, whose nodes see enough to wait.
const SMALL_GROUP_MIN_REQUESTS: f64 = 100.0;
/// Decay per sweep of all other traffic counts.
pub(super) const TRAFFIC_COUNT_DECAY: f64 = 0.984;

/// A server is skipped when its attempts exceed both this multiple of the mean and the mean plus this margin.
const EXCESS_MULTIPLE: f64 = 2.0;
const EXCESS_MARGIN: f64 = 2.0;
/// If no owner qualifies, the first one with at least this slot share is used.
const FALLBACK_MIN_SLOT_SHARE: f64 = 0.5;
/// A cold server is sent at most this fraction of the load that would break it down, judged by what the fleet
/// serves per size and capacity. It has cached no keys yet, so it can do less than that load suggests.
pub(super) const COLD_LOAD_CAP: f64 = 0.45;

pub(super) struct KeyCount {
    pub(super) key: Key,
    pub(super) count: f64,
    /// Part of the count that may belong to the key that this entry counted before.
    pub(super) error: f64,
}

impl Balancer {
    /// Fraction of its capacity that a server surely has: it grows evenly from its start.
    pub(super) fn capacity_fraction(&self, server: &Server) -> f64 {
        let ramp = self.settings.ramp_time;
        let age = self.now.saturating_sub(server.member.started_at);
        if server.member.started_at == 0 || age >= ramp {
            return 1.0;
        }
        let start = self.settings.start_capacity.clamp(0.0, 1.0);
        start + (1.0 - start) * age as f64 / ramp as f64
    }

    /// Fraction of its slots that a server gets now.
    pub(super) fn effective_slot_share(&self, server: &Server) -> f64 {
        let capacity = self.capacity_fraction(server);
        let is_budget_spent = capacity < 1.0 && server.cold_budget < 1.0;
        let is_ejected = server.ejected_until.is_some() && !self.load.is_in_panic;
        if is_budget_spent || is_ejected {
            0.0
        } else {
            server.slot_share.min(capacity * (COLD_LOAD_CAP * self.settings.cold_overload_multiple).max(1.0))
        }
    }

    /// Whether a server holds far more of this node's attempts than its size explains.
    fn holds_too_many(&self, server: &Server) -> bool {
        let mean = f64::from(self.in_flight) / self.total_size * server.member.size;
        let in_flight = f64::from(server.in_flight);
        in_flight > mean + EXCESS_MARGIN && in_flight > EXCESS_MULTIPLE * mean
    }

    /// Scans the slots from the key's slot on for the first owner whose slot share covers the slot where it
    /// is met and that does not hold too many attempts. A key too hot for one slot gets several successive
    /// ones, and each request starts at a random one, so an owner's part of the key is its part of these
    /// slots. If no owner qualifies, the first with enough slot share is used.
    pub(super) fn choose_server(&mut self, id: RequestId) -> Option<usize> {
        self.refresh_table();
        let pending = &self.requests[&id];
        let slot_load = if self.is_large_group { LARGE_GROUP_SLOT_LOAD } else { SMALL_GROUP_SLOT_LOAD };
        let slots = (self.key_share(pending.key) * self.servers.len() as f64 / slot_load).round() as usize;
        let start = pending.slot + self.rng.usize(0..slots.clamp(1, MAX_SCANNED_SLOTS));
        let may_run_twice = self.settings.classes[pending.class].semantics != Semantics::Unsafe;
        let mut seen: Vec<u32> = Vec::with_capacity(8);
        let mut fallback = None;
        let max_slots = if pending.attempts.is_empty() { MAX_SCANNED_SLOTS } else { TABLE_SLOTS };
        for offset in 0..max_slots.min(self.table.len()) {
            let slot = (start + offset) % TABLE_SLOTS;
            let owner = self.table[slot];
            if seen.contains(&owner) {
                continue;
            }
            let server = &self.servers[owner as usize];
            let was_tried = pending.attempts.iter().any(|a| a.member.server == server.member.server);
            let is_ejected = server.class_health.get(pending.class).is_some_and(|h| h.is_ejected(self.now));
            if was_tried || is_ejected || !self.is_in_dedup_scope(pending, &server.member) {
                continue;
            }
            seen.push(owner);
            if seen.len() > MAX_SCANNED_OWNERS {
                break;
            }
            let is_trial_due = server.ejected_until.is_some_and(|end| self.now >= end && !server.is_on_trial);
            if is_trial_due && may_run_twice && !self.uses_probes() {
                return Some(owner as usize);
            }
            let share = self.effective_slot_share(server);
            if slot_rank(slot) <= share && !self.holds_too_many(server) {
                return Some(owner as usize);
            }
            fallback = fallback.or((share >= FALLBACK_MIN_SLOT_SHARE).then_some(owner as usize));
        }
        fallback
    }

    /// Chooses a request's slot: its key's, or without a key the one of two random slots with less load.
    pub(super) fn choose_slot(&mut self, key: Option<Key>) -> usize {
        if let Some(Key(key)) = key {
            let hash = xxh3_64_with_seed(&key.to_le_bytes(), KEY_SEED);
            return (hash % TABLE_SLOTS as u64) as usize;
        }
        let (a, b) = (self.rng.usize(0..TABLE_SLOTS), self.rng.usize(0..TABLE_SLOTS));
        self.refresh_table();
        let load_of = |slot: usize| {
            let server = self.table.get(slot).map(|&owner| &self.servers[owner as usize]);
            server.map_or(0.0, |s| f64::from(s.in_flight) / s.member.size)
        };
        [a, b][usize::from(load_of(b) < load_of(a))]
    }

    // Hot keys: bounded counts (space-saving) of this node's own traffic, which is a sample of the fleet's.

    pub(super) fn count_key(&mut self, key: Key) {
        self.load.keyed_requests += 1.0;
        if let Some(entry) = self.key_counts.iter_mut().find(|c| c.key == key) {
            entry.count += 1.0;
        } else if self.key_counts.len() < MAX_COUNTED_KEYS {
            self.key_counts.push(KeyCount { key, count: 1.0, error: 0.0 });
        } else if let Some(least) = self.key_counts.iter_mut().min_by(|a, b| a.count.total_cmp(&b.count)) {
            *least = KeyCount { key, count: least.count + 1.0, error: least.count };
        }
    }

    /// A key's share of all traffic. Few keys are hot and many rare: keys of ten times the rank have about as
    /// much traffic together. A key met c times in n requests then has on average (c - 1) / n of the traffic
    /// if c > 1 and about 0.2 / n if c = 1; subtracting 0.8 fits both. So a node that starts in a large group
    /// treats each key as hot until its counts tell more: all first attempts would crowd its owner.
    fn key_share(&self, key: Option<Key>) -> f64 {
        let least = if self.is_large_group { 1.0 } else { SMALL_GROUP_MIN_REQUESTS };
        let entry = key.and_then(|key| self.key_counts.iter().find(|c| c.key == key));
        entry.map_or(0.0, |c| c.count - c.error - CHANCE_COUNT).max(0.0) / self.load.keyed_requests.max(least)
    }

    pub(super) fn decay_key_counts(&mut self) {
        self.load.keyed_requests *= KEY_COUNT_DECAY;
        for counted in &mut self.key_counts {
            counted.count *= KEY_COUNT_DECAY;
            counted.error *= KEY_COUNT_DECAY;
        }
        self.key_counts.retain(|c| c.count > 0.3);
    }
}
