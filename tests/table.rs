//! Tests the Maglev table: all nodes must build the same one, and a change of the fleet must move few slots
//! only.

use woodgap::policy::{build_table, TABLE_SLOTS};
use woodgap::ServerId;

/// Nodes of different builds must agree on the owners: otherwise they send the same key to different servers.
const GOLDEN_OWNERS: [u32; 5] = [13, 13, 7932, 13, 31689];

/// Ids and weights of a number of servers.
fn fleet(count: u32) -> Vec<(ServerId, f64)> {
    (0..count).map(|n| (ServerId(n * 7919 + 13), [1.0, 2.0, 0.5][n as usize % 3])).collect()
}

/// The owner of each slot.
fn owners(servers: &[(ServerId, f64)]) -> Vec<ServerId> {
    build_table(servers).iter().map(|&index| servers[index as usize].0).collect()
}

#[test]
fn the_table_does_not_depend_on_list_order() {
    let servers = fleet(40);
    let mut reordered = servers.clone();
    reordered.reverse();
    reordered.swap(3, 17);
    assert_eq!(owners(&servers), owners(&reordered));
}

#[test]
fn servers_own_slots_in_proportion_to_their_weight() {
    for count in [3, 30, 200] {
        let servers = fleet(count);
        let table = owners(&servers);
        assert_eq!(table.len(), TABLE_SLOTS);
        let total: f64 = servers.iter().map(|&(_, weight)| weight).sum();
        for (id, weight) in &servers {
            let expected = weight / total * TABLE_SLOTS as f64;
            let owned = table.iter().filter(|owner| *owner == id).count() as f64;
            assert!(
                (owned - expected).abs() <= 0.02 * expected + 2.0,
                "{id:?} of {count} servers owns {owned} slots, expected {expected}"
            );
        }
    }
}

#[test]
fn removing_a_server_moves_its_slots_and_few_others() {
    let servers = fleet(60);
    let before = owners(&servers);
    let removed = servers[21].0;
    let after = owners(&servers.iter().copied().filter(|s| s.0 != removed).collect::<Vec<_>>());
    let removed_slots = before.iter().filter(|owner| **owner == removed).count();
    let owner_pairs = before.iter().zip(&after);
    let other_slots = owner_pairs.filter(|(old, new)| **old != removed && old != new).count();
    assert!(removed_slots > 0 && !after.contains(&removed));
    assert!(
        other_slots < TABLE_SLOTS / 30,
        "{other_slots} slots of other servers moved besides the {removed_slots} of the removed one"
    );
}

#[test]
fn owners_match_the_golden_values() {
    let table = owners(&fleet(5));
    let slot_owners: Vec<u32> =
        [0, 1, 100, 5_000, 16_380].iter().map(|&slot: &usize| table[slot].0).collect();
    assert_eq!(slot_owners, GOLDEN_OWNERS);
}

#[test]
fn an_empty_fleet_has_an_empty_table() {
    assert!(build_table(&[]).is_empty());
}
