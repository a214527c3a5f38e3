//! Builds the Maglev table of slots and their owners. Nodes with the same list must build the same table.

use super::*;

/// Slots of the table: a fixed prime, because a size that depends on the fleet would move every key.
pub const TABLE_SLOTS: usize = 16_381;
/// Seeds of the table's two hashes and of the key hash. All nodes must use the same.
const OFFSET_SEED: u64 = 0x636f_7070_6572;
const SKIP_SEED: u64 = 0x7461_636b;
pub(super) const KEY_SEED: u64 = 0x006b_6579;
/// Smallest credit that a server gets per round, however small its weight.
const MIN_CREDIT_PER_ROUND: f64 = 1.0 / 64.0;

/// Multiplier of `slot_rank`: about 2^32 divided by the golden ratio, which spreads successive slots evenly.
const SLOT_RANK_MULTIPLIER: u32 = 0x9E37_79B1;

/// Builds the table for `(server, weight)` pairs. A slot holds its owner's index in `servers`; who owns
/// which slot does not depend on the order of the pairs.
///
/// Servers claim slots in rounds, in the order of their ids. A round adds a server's weight, as a fraction of
/// the power of two at or above the largest weight, to its credit, and each whole credit claims a slot. The
/// credit of a server does not depend on the others, so a change of one server moves few slots.
pub fn build_table(servers: &[(ServerId, f64)]) -> Vec<u32> {
    if servers.is_empty() {
        return Vec::new();
    }
    let largest = servers.iter().map(|&(_, weight)| weight).fold(f64::MIN_POSITIVE, f64::max);
    let weight_unit = largest.log2().ceil().exp2();
    let slots = TABLE_SLOTS as u64;
    let mut order: Vec<usize> = (0..servers.len()).collect();
    order.sort_by_key(|&i| servers[i].0);
    // Of each server: index in `servers`, next slot to try, slots to step on if that is taken, credit, and
    // credit per round.
    let mut claims: Vec<(u32, u32, u32, f64, f64)> = order
        .iter()
        .map(|&i| {
            let (ServerId(id), weight) = servers[i];
            let id = id.to_le_bytes();
            let offset = xxh3_64_with_seed(&id, OFFSET_SEED) % slots;
            let skip = xxh3_64_with_seed(&id, SKIP_SEED) % (slots - 1) + 1;
            (i as u32, offset as u32, skip as u32, 0.0, (weight / weight_unit).max(MIN_CREDIT_PER_ROUND))
        })
        .collect();
    let (mut table, mut taken) = (vec![u32::MAX; TABLE_SLOTS], vec![false; TABLE_SLOTS]);
    let mut free = TABLE_SLOTS;
    loop {
        for (owner, slot, skip, credit, credit_per_round) in &mut claims {
            *credit += *credit_per_round;
            if *credit < 1.0 {
                continue;
            }
            *credit -= 1.0;
            // Most of a rebuild's time goes into finding a free slot: a byte per slot stays in the nearest
            // cache, and wrapping the sum of two positions needs no division.
            while taken[*slot as usize] {
                let next = *slot + *skip;
                *slot = if next < slots as u32 { next } else { next - slots as u32 };
            }
            taken[*slot as usize] = true;
            table[*slot as usize] = *owner;
            free -= 1;
            if free == 0 {
                return table;
            }
        }
    }
}

/// A slot's rank from 0 to 1. Ranks are the same at every node and evenly spread over the slots: a server
/// with a slot share of x gets those of its slots whose rank is at most x.
pub(super) fn slot_rank(slot: usize) -> f64 {
    f64::from((slot as u32).wrapping_mul(SLOT_RANK_MULTIPLIER)) / f64::from(u32::MAX)
}

impl Balancer {
    /// Rebuilds the table if servers have changed, once for all changes since the last request.
    pub(super) fn refresh_table(&mut self) {
        if !std::mem::take(&mut self.is_table_stale) {
            return;
        }
        self.servers.retain(|s| s.is_in_service || s.in_flight > 0);
        self.server_index = self.servers.iter().enumerate().map(|(i, s)| (s.member.server, i)).collect();
        let in_service = self.servers.iter().enumerate().filter(|(_, s)| s.is_in_service);
        let (indices, pairs): (Vec<u32>, Vec<_>) =
            in_service.map(|(i, s)| (i as u32, (s.member.server, s.member.size))).unzip();
        self.total_size = pairs.iter().map(|&(_, size)| size).sum();
        self.table = build_table(&pairs);
        for owner in &mut self.table {
            *owner = indices[*owner as usize];
        }
    }
}
