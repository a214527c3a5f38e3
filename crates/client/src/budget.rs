//! How many retries there may be.

use std::time::{Duration, Instant};

/// Retries that may come at once, and how soon one more may.
const BURST: f64 = 40.0;
const EACH: Duration = Duration::from_millis(100);

/// A bucket of retries.
pub struct Budget {
    left: f64,
    at: Instant,
}

impl Default for Budget {
    fn default() -> Self {
        Budget { left: BURST, at: Instant::now() }
    }
}

impl Budget {
    /// Takes one retry, if there is one.
    pub fn take(&mut self) -> bool {
        let now = Instant::now();
        let gained = now.duration_since(self.at).as_secs_f64() / EACH.as_secs_f64();
        (self.left, self.at) = ((self.left + gained).min(BURST), now);
        let takes = self.left >= 1.0;
        self.left -= f64::from(u8::from(takes));
        takes
    }
}
