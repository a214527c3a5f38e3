use super::*;
use serde_json::json;

// The sends of two nodes to one server are added up in the same window; another start of the same server is
// counted separately.
#[test]
fn sends_of_all_nodes_are_added_up_in_one_window() {
    let line = |cold: &str| json!({"cold": cold, "able": 10.0, "start": 0.5, "span_ms": 10_000, "multiple": 2.0, "window_ms": 1_000});
    let mut starts = ColdStarts::default();
    assert!(starts.closest_windows().is_empty());
    starts.add_line(&json!({"message": "counts"}));
    starts.add_line(&line("s@1@50000/1,50000=4,50900=3 s-2@50000/2,50100=1"));
    starts.add_line(&line("s@1@50000/1,50500=9,51000=20,59900=1 broken s-3@x/1,5=6 s@1@70000/1,70000=2"));
    for second in [30, 20, 25] {
        starts.add_served(Some("2026-12-02T03:00:01.5Z"), second);
        starts.add_served(Some("2026-12-02T03:00:02.5Z"), second / 5);
    }
    let windows = starts.closest_windows();
    // 75 served in a second by a total size of 10 make 7.5 for a size of 1, and half of it, 3.75, right after
    // the start; the multiple of 2 in a window of one second makes N = 7.5.
    let limit = |n: f64| n + 2.0 * n.sqrt() + 2.0;
    let n_after_500_ms = 2.0 * 7.5 * (0.5 + 0.5 * 0.05);
    assert_eq!((windows[0].server.as_str(), windows[0].from_ms, windows[0].sent), ("s@1", 500, 32));
    assert!((windows[0].limit - limit(n_after_500_ms)).abs() < 1e-9, "{windows:?}");
    assert_eq!(windows.iter().map(|window| window.sent).collect::<Vec<_>>(), [32, 2, 1]);
    assert!((windows[1].limit - limit(7.5)).abs() < 1e-9);
}
