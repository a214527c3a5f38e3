//! The balancer's clock, and the starts of servers on it.
//!
//! All spans of time are measured by the machine's monotonic clock. Its wall clock may be stepped at any time; it is used only
//! to compare with the starts of servers, which discovery gives in Unix time.

use std::collections::HashMap;
use std::time::{SystemTime, UNIX_EPOCH};

use tokio::time::Instant;
use woodgap::{Member, Micros, ServerId, ServerState, SyncKind};

/// Smaller differences between the two clocks are no step.
const MIN_STEP_US: Micros = 100_000;

/// The balancer's clock: Unix time at process start, then monotonic.
pub struct Clock {
    start: Instant,
    unix_start: Micros,
    starts: StartTimes,
}

/// When servers started, on the balancer's clock.
#[derive(Default)]
struct StartTimes(HashMap<ServerId, StartTime>);

struct StartTime {
    /// As discovery gives it.
    listed: Micros,
    /// On the balancer's clock.
    corrected: Micros,
}

fn unix_now() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Micros
}

impl Clock {
    /// Starts the clock.
    pub fn new() -> Self {
        Clock { start: Instant::now(), unix_start: unix_now(), starts: StartTimes::default() }
    }

    /// The time on the balancer's clock.
    pub fn now(&self) -> Micros {
        self.unix_start + self.start.elapsed().as_micros() as Micros
    }

    /// Converts the starts of a list's servers to the balancer's clock.
    pub fn correct_starts(&mut self, kind: SyncKind, members: &mut [Member]) {
        let now = self.now();
        self.starts.correct(kind, members, now, unix_now());
    }
}

impl StartTimes {
    /// Converts the starts. A server's start is converted when it is first listed, so that a later step of a clock does not
    /// look like a restart.
    fn correct(&mut self, kind: SyncKind, members: &mut [Member], now: Micros, unix_now: Micros) {
        for member in members.iter_mut().filter(|member| member.started_at != 0) {
            let listed = member.started_at;
            let known = self.0.get(&member.server).filter(|start| start.listed == listed);
            member.started_at =
                known.map_or_else(|| correct_start(listed, now, unix_now), |start| start.corrected);
            self.0.insert(member.server, StartTime { listed, corrected: member.started_at });
        }
        let terminated = members.iter().filter(|member| member.state == ServerState::Terminated);
        for member in terminated {
            self.0.remove(&member.server);
        }
        if kind == SyncKind::Full {
            self.0.retain(|server, _| members.iter().any(|member| member.server == *server));
        }
    }
}

/// A start that discovery gives in Unix time, on the balancer's clock. After a step it is not known whose clock was stepped.
/// The server then counts as started as late as either clock allows, since a warm server that is taken for a cold one loses a
/// little traffic, and a cold one that is taken for a warm one falls over.
fn correct_start(listed: Micros, now: Micros, unix_now: Micros) -> Micros {
    if now.abs_diff(unix_now) < MIN_STEP_US {
        return listed;
    }
    let age = now.saturating_sub(listed).min(unix_now.saturating_sub(listed));
    now - age
}

#[cfg(test)]
mod tests;
