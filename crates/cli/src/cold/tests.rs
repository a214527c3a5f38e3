use super::*;
use serde_json::json;

// Two nodes' sends to one server meet in one window; another start of it is counted by itself.
#[test]
fn sends_of_all_nodes_meet_in_one_window() {
    let line = |cold: &str| json!({"cold": cold, "able": 10.0, "start": 0.5, "span_ms": 10_000, "multiple": 2.0, "window_ms": 1_000});
    let mut cold = ColdStarts::default();
    assert!(cold.nearest().is_empty());
    cold.take(&json!({"message": "counts"}));
    cold.take(&line("s@1@50000/1,50000=4,50900=3 s-2@50000/2,50100=1"));
    cold.take(&line("s@1@50000/1,50500=9,51000=20,59900=1 broken s-3@x/1,5=6 s@1@70000/1,70000=2"));
    for second in [30, 20, 25] {
        cold.served(Some("2026-12-02T03:00:01.5Z"), second);
        cold.served(Some("2026-12-02T03:00:02.5Z"), second / 5);
    }
    let found = cold.nearest();
    // 75 served by a size of 10: a size of 1 does 7.5, at half of it 3.75, twice that in a second is 7.5.
    let bears = |n: f64| n + 2.0 * n.sqrt() + 2.0;
    let later = 2.0 * 7.5 * (0.5 + 0.5 * 0.05);
    assert_eq!((found[0].server.as_str(), found[0].from_ms, found[0].sent), ("s@1", 500, 32));
    assert!((found[0].bears - bears(later)).abs() < 1e-9, "{found:?}");
    assert_eq!(found.iter().map(|window| window.sent).collect::<Vec<_>>(), [32, 2, 1]);
    assert!((found[1].bears - bears(7.5)).abs() < 1e-9);
}
