use super::*;

#[test]
fn table_of_counts_is_in_the_order_of_the_enum() {
    for (index, (count, name)) in COUNTS.into_iter().enumerate() {
        assert_eq!(count as usize, index, "{name}");
    }
    let counts = Counts::default();
    counts.count_outcome(Outcome::Reset);
    counts.add(Count::Requests, 3);
    assert_eq!(counts.to_string(), "requests=3 reset=1");
}
