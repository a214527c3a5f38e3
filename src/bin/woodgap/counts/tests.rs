use super::*;

#[test]
fn each_count_has_its_own_name_and_place() {
    for (place, (what, name)) in COUNTS.into_iter().enumerate() {
        assert_eq!(what as usize, place, "{name}");
    }
    let counts = Counts::default();
    counts.outcome(Outcome::Reset);
    counts.add(Count::Requests, 3);
    assert_eq!(counts.to_string(), "requests=3 reset=1");
}
