//! The log: standard error, in text or JSON, at most so many lines a second.
//!
//! `BALANCER_LOG_FORMAT` is `text` (as where it is not set) or `json`; `RUST_LOG` names what is logged, as
//! `debug` or `woodgap::discovery=debug`. Each line carries the node's name, and where it concerns one the
//! request (the client's id), the server or the list's revision.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use tracing::level_filters::LevelFilter;
use tracing::{Event, Subscriber};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{fmt, registry};

const LINES_PER_S: u32 = 20;
const SECOND: Duration = Duration::from_secs(1);

/// Starts the log; to be called once.
pub fn start(env: &HashMap<String, String>) -> Result<(), Box<dyn std::error::Error>> {
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
    // Events pass the filter first, then the bound, and are written last.
    registry()
        .with(lines)
        .with(Bound { window: Mutex::default(), now: Instant::now })
        .with(filter)
        .try_init()?;
    Ok(())
}

/// Lets so many lines a second through: a fault that repeats with every request must not cost the node its
/// time.
struct Bound {
    window: Mutex<Window>,
    now: fn() -> Instant,
}

#[derive(Default)]
struct Window {
    since: Option<Instant>,
    lines: u32,
}

#[derive(Debug, PartialEq)]
enum Pass {
    Write,
    /// Write it after a line that tells how many were dropped before.
    WriteAfter(u32),
    Drop,
}

impl Window {
    fn take(&mut self, now: Instant) -> Pass {
        let mut dropped = 0;
        if self.since.is_none_or(|since| now - since >= SECOND) {
            dropped = self.lines.saturating_sub(LINES_PER_S);
            *self = Window { since: Some(now), lines: 0 };
        }
        self.lines += 1;
        match dropped {
            0 if self.lines > LINES_PER_S => Pass::Drop,
            0 => Pass::Write,
            dropped => Pass::WriteAfter(dropped),
        }
    }
}

impl<S: Subscriber> Layer<S> for Bound {
    fn event_enabled(&self, _: &Event<'_>, _: Context<'_, S>) -> bool {
        let pass = self.window.lock().unwrap_or_else(PoisonError::into_inner).take((self.now)());
        if let Pass::WriteAfter(dropped) = pass {
            // This comes by here itself, in a window that has room for it.
            tracing::warn!(dropped, "lines of the log were dropped");
        }
        pass != Pass::Drop
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
    fn so_many_lines_a_second_pass_and_the_others_are_counted() {
        let (mut window, start) = (Window::default(), Instant::now());
        let passes: Vec<Pass> = (0..50).map(|_| window.take(start)).collect();
        assert_eq!(passes.iter().filter(|pass| **pass == Pass::Write).count(), LINES_PER_S as usize);
        assert_eq!(window.take(start + SECOND - Duration::from_millis(1)), Pass::Drop);
        assert_eq!(window.take(start + SECOND), Pass::WriteAfter(31));
        assert_eq!(window.take(start + SECOND), Pass::Write);
        assert_eq!(window.take(start + SECOND * 3), Pass::Write);
    }

    static START: LazyLock<Instant> = LazyLock::new(Instant::now);
    static SECONDS: AtomicU64 = AtomicU64::new(0);
    static WRITTEN: Mutex<Vec<u8>> = Mutex::new(Vec::new());

    struct Written;

    impl Write for Written {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            WRITTEN.lock().unwrap().write(bytes)
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    #[test]
    fn a_line_tells_how_many_were_dropped() {
        let now = || *START + SECOND * SECONDS.load(Ordering::Relaxed) as u32;
        // As `start` lays it out, but for this module's own events alone: other tests run beside it.
        registry()
            .with(fmt::layer().json().with_span_list(false).with_writer(|| Written))
            .with(Bound { window: Mutex::default(), now })
            .with(Targets::new().with_target(module_path!().trim_end_matches("::tests"), LevelFilter::INFO))
            .init();
        let _node = tracing::info_span!("node", node = "n3").entered();
        for n in 0..50 {
            tracing::info!(request = "abc", n, "flood");
            tracing::debug!("is not logged and does not count");
        }
        SECONDS.store(1, Ordering::Relaxed);
        tracing::info!("after it");
        let text = String::from_utf8(WRITTEN.lock().unwrap().clone()).unwrap();
        let lines: Vec<Value> = text.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
        assert_eq!(lines.len(), LINES_PER_S as usize + 2);
        assert!(lines.iter().all(|line| line["span"]["node"] == "n3"), "{text}");
        assert_eq!((&lines[19]["fields"]["n"], &lines[19]["fields"]["request"]), (&19.into(), &"abc".into()));
        assert_eq!(lines[20]["fields"]["dropped"], 30);
        assert_eq!(lines[21]["fields"]["message"], "after it");
    }
}
