//! Chooses the server for an attempt, starting at the slot of its key, and counts keys to find those that are
//! too hot for one server.

use super::*;

/// Most owners considered for an attempt, and most slots scanned for a first attempt.
const MAX_SCANNED_OWNERS: usize = 64;
const MAX_SCANNED_SLOTS: usize = 1_024;
/// Load of a single key that one slot carries, as a fraction of a server's mean load. A lower value spreads
/// more keys, which cost more on servers that have not cached them; a higher one leaves a server's load to
/// the chance of a few hot keys. With few servers, as in a small group, each server has many keys, and a key
/// keeps its one owner.
const LARGE_GROUP_SLOT_LOAD: f64 = 0.1;
const SMALL_GROUP_SLOT_LOAD: f64 = 0.35;
/// Most keys that a node counts.
const MAX_COUNTED_KEYS: usize = 512;
/// Factor on the counts of keys per sweep: they cover about 10 s. Counts over a longer time tell more keys
/// from chance, and notice later that a key became hot.
const KEY_COUNT_DECAY: f64 = 0.99;
/// A key is no longer counted when its count has decayed to this.
const MIN_KEY_COUNT: f64 = 0.3;
/// Part of a key's count that chance adds: see `Balancer::estimate_key_share`.
const CHANCE_COUNT: f64 = 0.8;
/// Smallest number of keyed requests of which a key's share is a fraction, in a large and in a small group.
/// The nodes of a small group see enough traffic to wait for that many requests.
const LARGE_GROUP_MIN_REQUESTS: f64 = 1.0;
const SMALL_GROUP_MIN_REQUESTS: f64 = 100.0;
/// Factor on all other traffic counts per sweep.
pub(super) const TRAFFIC_COUNT_DECAY: f64 = 0.984;

/// A server is skipped if its attempts in flight exceed both this multiple of the mean and the mean plus this
/// margin.
const EXCESS_MULTIPLE: f64 = 2.0;
const EXCESS_MARGIN: f64 = 2.0;
/// If every owner considered is skipped, the first one with at least this slot share is used.
const FALLBACK_MIN_SLOT_SHARE: f64 = 0.5;
/// A cold server is sent at most this fraction of the load that would break it down, estimated from what the
/// fleet serves per size and capacity. A cold server has cached no keys yet, so it can do less than this
/// estimate.
pub(super) const COLD_LOAD_CAP: f64 = 0.45;

/// A decaying count of this node's requests of a key.
pub(super) struct KeyCount {
    pub(super) key: Key,
    pub(super) count: f64,
    /// Part of the count that may belong to the key that this entry counted before.
    pub(super) error: f64,
}

impl Balancer {
    /// Fraction of its full capacity that a server has at least. The capacity of a cold server grows evenly
    /// from the start of its process until the end of the ramp time.
    pub(super) fn capacity_fraction(&self, server: &Server) -> f64 {
        let ramp = self.settings.ramp_time;
        let age = self.now.saturating_sub(server.member.started_at);
        if server.member.started_at == 0 || age >= ramp {
            return 1.0;
        }
        let start = self.settings.start_capacity.clamp(0.0, 1.0);
        start + (1.0 - start) * age as f64 / ramp as f64
    }

    /// Fraction of its slots that a server gets now, given its answers, an ejection and its cold budget.
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

    /// Chooses the server for the next attempt of a request. Scans the slots from the key's slot on for the
    /// first owner that does not hold too many attempts and whose slot share covers the rank of the slot at
    /// which the scan meets it. A key that is too hot for one slot gets several successive ones, and each
    /// request starts at a random one of them, so an owner's part of the key is its part of these slots. If
    /// no owner qualifies, the first one with enough slot share is used.
    pub(super) fn choose_server(&mut self, id: RequestId) -> Option<usize> {
        self.refresh_table();
        let pending = &self.requests[&id];
        let slot_load = if self.is_large_group { LARGE_GROUP_SLOT_LOAD } else { SMALL_GROUP_SLOT_LOAD };
        let key_share = self.estimate_key_share(pending.key);
        let key_slots = (key_share * self.servers.len() as f64 / slot_load).round() as usize;
        let start = pending.slot + self.rng.usize(0..key_slots.clamp(1, MAX_SCANNED_SLOTS));
        let may_run_twice = self.settings.classes[pending.class].semantics != Semantics::Unsafe;
        let mut considered: Vec<u32> = Vec::with_capacity(8);
        let mut fallback = None;
        let max_slots = if pending.attempts.is_empty() { MAX_SCANNED_SLOTS } else { TABLE_SLOTS };
        for offset in 0..max_slots.min(self.table.len()) {
            let slot = (start + offset) % TABLE_SLOTS;
            let owner = self.table[slot];
            if considered.contains(&owner) {
                continue;
            }
            let server = &self.servers[owner as usize];
            let was_tried = pending.attempts.iter().any(|a| a.member.server == server.member.server);
            let is_ejected_for_class =
                server.class_health.get(pending.class).is_some_and(|h| h.is_ejected(self.now));
            if was_tried || is_ejected_for_class || !self.is_in_dedup_scope(pending, &server.member) {
                continue;
            }
            considered.push(owner);
            if considered.len() > MAX_SCANNED_OWNERS {
                break;
            }
            // After its ejection a server gets one trial request, unless probes try it.
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

    /// Chooses the slot of a request: the slot of its key, or without a key the one of two random slots whose
    /// owner has less load.
    pub(super) fn choose_slot(&mut self, key: Option<Key>) -> usize {
        if let Some(Key(key)) = key {
            let hash = xxh3_64_with_seed(&key.to_le_bytes(), KEY_SEED);
            return (hash % TABLE_SLOTS as u64) as usize;
        }
        let first = self.rng.usize(0..TABLE_SLOTS);
        let second = self.rng.usize(0..TABLE_SLOTS);
        self.refresh_table();
        let load_of = |slot: usize| {
            let server = self.table.get(slot).map(|&owner| &self.servers[owner as usize]);
            server.map_or(0.0, |server| f64::from(server.in_flight) / server.member.size)
        };
        if load_of(second) < load_of(first) {
            second
        } else {
            first
        }
    }

    /// Counts a request of a key. The number of keys counted is bounded (space-saving algorithm): a new key
    /// replaces the one with the least count. This node's own traffic is a sample of the traffic of all
    /// nodes.
    pub(super) fn count_key(&mut self, key: Key) {
        self.load.keyed_requests += 1.0;
        if let Some(entry) = self.key_counts.iter_mut().find(|entry| entry.key == key) {
            entry.count += 1.0;
        } else if self.key_counts.len() < MAX_COUNTED_KEYS {
            self.key_counts.push(KeyCount { key, count: 1.0, error: 0.0 });
        } else if let Some(least) = self.key_counts.iter_mut().min_by(|a, b| a.count.total_cmp(&b.count)) {
            *least = KeyCount { key, count: least.count + 1.0, error: least.count };
        }
    }

    /// Estimates a key's share of all traffic. Few keys are hot and many are rare (Zipf's law): the keys of
    /// ranks 10 to 100 have about as much traffic together as those of ranks 100 to 1000. If so, a key met c
    /// times in n requests has on average (c - 1) / n of the traffic if c > 1, and about 0.2 / n if c = 1;
    /// subtracting 0.8 from the count fits both. A node that starts in a large group therefore treats each
    /// key as hot until its counts tell more: otherwise the first attempts of all nodes would crowd the owner
    /// of the key.
    fn estimate_key_share(&self, key: Option<Key>) -> f64 {
        let min_requests =
            if self.is_large_group { LARGE_GROUP_MIN_REQUESTS } else { SMALL_GROUP_MIN_REQUESTS };
        let entry = key.and_then(|key| self.key_counts.iter().find(|entry| entry.key == key));
        let count = entry.map_or(0.0, |entry| entry.count - entry.error - CHANCE_COUNT).max(0.0);
        count / self.load.keyed_requests.max(min_requests)
    }

    /// Lets the counts of keys decay, so that they cover recent traffic only.
    pub(super) fn decay_key_counts(&mut self) {
        self.load.keyed_requests *= KEY_COUNT_DECAY;
        for entry in &mut self.key_counts {
            entry.count *= KEY_COUNT_DECAY;
            entry.error *= KEY_COUNT_DECAY;
        }
        self.key_counts.retain(|entry| entry.count > MIN_KEY_COUNT);
    }
}
