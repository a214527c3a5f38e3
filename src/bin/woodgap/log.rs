//! The log on standard error, as text or JSON, limited to a number of lines per second.
//!
//! `BALANCER_LOG_FORMAT` is `text` (the default) or `json`. `RUST_LOG` selects what is logged, for example
//! `debug` or `woodgap::discovery=debug`. Each line carries the node's name and, where it concerns one of
//! them, the request (the client's id), the server or the revision of the server list.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use tracing::level_filters::LevelFilter;
use tracing::{Event, Subscriber};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{fmt, registry};

/// Most lines in one window of the rate limit.
const MAX_LINES_PER_WINDOW: u32 = 20;
/// Length of a window of the rate limit.
const WINDOW: Duration = Duration::from_secs(1);

/// Installs the log for the process; to be called once.
pub fn init(env: &HashMap<String, String>) -> Result<(), Box<dyn std::error::Error>> {
    let filter = match env.get("RUST_LOG").filter(|text| !text.is_empty()) {
        None => Targets::new().with_default(LevelFilter::INFO),
        Some(text) => text.parse().map_err(|error| format!("RUST_LOG '{text}': {error}"))?,
    };
    let lines = fmt::layer().with_writer(std::io::stderr).with_target(false);
    let lines = match env.get("BALANCER_LOG_FORMAT").map(String::as_str) {
        None | Some("" | "text") => lines.with_ansi(false).boxed(),
        Some("json") => lines.json().with_span_list(false).boxed(),
        Some(other) => return Err(format!("BALANCER_LOG_FORMAT '{other}': expected text or json").into()),
    };
    // Events pass the filter first, then the rate limit, and are written last.
    registry()
        .with(lines)
        .with(RateLimit { window: Mutex::default(), now: Instant::now })
        .with(filter)
        .try_init()?;
    Ok(())
}

/// Drops log lines beyond `MAX_LINES_PER_WINDOW`: a fault that repeats with every request must not take up
/// the node's time.
struct RateLimit {
    window: Mutex<Window>,
    now: fn() -> Instant,
}

/// The current window of the rate limit.
#[derive(Default)]
struct Window {
    /// When the window began; `None` before the first line.
    since: Option<Instant>,
    /// Lines in this window, dropped ones included.
    lines: u32,
}

/// What happens to a line.
#[derive(Debug, PartialEq)]
enum Verdict {
    Write,
    /// Write the line after one that reports how many lines the previous window dropped.
    WriteAfterReport(u32),
    Drop,
}

impl Window {
    /// Counts a line and decides what happens to it.
    fn count_line(&mut self, now: Instant) -> Verdict {
        let mut dropped = 0;
        if self.since.is_none_or(|since| now - since >= WINDOW) {
            dropped = self.lines.saturating_sub(MAX_LINES_PER_WINDOW);
            *self = Window { since: Some(now), lines: 0 };
        }
        self.lines += 1;
        match dropped {
            0 if self.lines > MAX_LINES_PER_WINDOW => Verdict::Drop,
            0 => Verdict::Write,
            dropped => Verdict::WriteAfterReport(dropped),
        }
    }
}

impl<S: Subscriber> Layer<S> for RateLimit {
    fn event_enabled(&self, _: &Event<'_>, _: Context<'_, S>) -> bool {
        let verdict = self.window.lock().unwrap_or_else(PoisonError::into_inner).count_line((self.now)());
        if let Verdict::WriteAfterReport(dropped) = verdict {
            // This line passes through the rate limit itself, in a new window that has room for it.
            tracing::warn!(dropped, "log lines dropped by the rate limit");
        }
        verdict != Verdict::Drop
    }
}

#[cfg(test)]
mod tests {
    use std::io::{self, Write};
    use std::sync::atomic::{AtomicU64, Ordering};
    use std::sync::LazyLock;

    use serde_json::Value;

    use super::*;

    #[test]
    fn lines_beyond_the_limit_are_dropped_and_counted() {
        let (mut window, start) = (Window::default(), Instant::now());
        let verdicts: Vec<Verdict> = (0..50).map(|_| window.count_line(start)).collect();
        assert_eq!(
            verdicts.iter().filter(|verdict| **verdict == Verdict::Write).count(),
            MAX_LINES_PER_WINDOW as usize
        );
        assert_eq!(window.count_line(start + WINDOW - Duration::from_millis(1)), Verdict::Drop);
        assert_eq!(window.count_line(start + WINDOW), Verdict::WriteAfterReport(31));
        assert_eq!(window.count_line(start + WINDOW), Verdict::Write);
        assert_eq!(window.count_line(start + WINDOW * 3), Verdict::Write);
    }

    /// The rate limit's clock in the test below: a fixed start and the windows passed since then.
    static START: LazyLock<Instant> = LazyLock::new(Instant::now);
    static WINDOWS: AtomicU64 = AtomicU64::new(0);
    static OUTPUT: Mutex<Vec<u8>> = Mutex::new(Vec::new());

    /// A writer that appends to `OUTPUT`.
    struct OutputWriter;

    impl Write for OutputWriter {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            OUTPUT.lock().unwrap().write(bytes)
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    #[test]
    fn a_line_reports_how_many_lines_were_dropped() {
        let now = || *START + WINDOW * WINDOWS.load(Ordering::Relaxed) as u32;
        // The layers of `init`, but only for this module's events: other tests run at the same time.
        registry()
            .with(fmt::layer().json().with_span_list(false).with_writer(|| OutputWriter))
            .with(RateLimit { window: Mutex::default(), now })
            .with(Targets::new().with_target(module_path!().trim_end_matches("::tests"), LevelFilter::INFO))
            .init();
        let _node = tracing::info_span!("node", node = "n3").entered();
        for n in 0..50 {
            tracing::info!(request = "abc", n, "flood");
            tracing::debug!("is not logged and does not count");
        }
        WINDOWS.store(1, Ordering::Relaxed);
        tracing::info!("after it");
        let text = String::from_utf8(OUTPUT.lock().unwrap().clone()).unwrap();
        let lines: Vec<Value> = text.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
        assert_eq!(lines.len(), MAX_LINES_PER_WINDOW as usize + 2);
        assert!(lines.iter().all(|line| line["span"]["node"] == "n3"), "{text}");
        assert_eq!((&lines[19]["fields"]["n"], &lines[19]["fields"]["request"]), (&19.into(), &"abc".into()));
        assert_eq!(lines[20]["fields"]["dropped"], 30);
        assert_eq!(lines[21]["fields"]["message"], "after it");
    }
}
