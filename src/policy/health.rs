//! Server health, judged by the outcomes of attempts: slot shares, ejections, and ejections for one class.

use super::*;

/// Slowness (answer time relative to the class means) above which a server's slot share is cut.
const MAX_SLOWNESS: f64 = 2.2;
/// Factor on the slot share of a server that answers `Full`.
const FULL_SHARE_FACTOR: f64 = 0.6;
/// A server that reports a lower utilization is idle: its `Full` answers do not mean that it lacks capacity.
const IDLE_MAX_UTILIZATION: f64 = 0.7;
/// Factor on an idle server's slot share while more than the given fraction of its answers are `Full`.
const IDLE_FULL_SHARE_FACTOR: f64 = 0.95;
const IDLE_MAX_FULL_SHARE: f64 = 0.6;
/// Slot share that a server regains per sweep, and the smallest slot share.
const SLOT_SHARE_REGAIN: f64 = 0.01;
const MIN_SLOT_SHARE: f64 = 0.05;
const REINSTATED_SLOT_SHARE: f64 = 0.3;
/// A server is ejected when more than this fraction of its recent attempts failed, and more than this
/// multiple of the fleet's fraction. Lower values eject sooner, and more often by chance.
const EJECTION_FAILURE_SHARE: f64 = 0.4;
const EJECTION_FAILURE_FACTOR: f64 = 2.5;
/// A server is ejected for a class when this smoothed fraction of the class's answers are errors or timeouts
/// (two in a row), unless the class fails as much everywhere. After such an ejection one error is enough.
const CLASS_FAILURE_SHARE: f64 = 0.5;
const CLASS_FAILURE_STEP: f64 = 0.3;
/// Length of the first ejection; each further one is twice as long, up to the maximum.
const EJECTION_MIN_US: Micros = 700_000;
const EJECTION_MAX_US: Micros = 8_000_000;
/// Silence that ejects a server, as a multiple of the slowest class's mean answer time, and its minimum.
pub(super) const SILENCE_MULTIPLE: f64 = 4.0;
pub(super) const SILENCE_MIN_US: Micros = 300_000;
/// With more than this fraction of the fleet ejected the cause is a shared one, so ejections are ignored.
pub(super) const PANIC_SHARE: f64 = 0.5;
/// While more than this fraction of attempts get no connection, idle connections are closed, because servers
/// accept a limited number. Otherwise a small group keeps them.
const MAX_CONNECT_FAILURES: f64 = 0.02;

pub(super) struct Server {
    pub(super) member: Member,
    pub(super) is_in_service: bool,
    pub(super) in_flight: u32,
    /// Start of the time in which attempts are in flight and the server has not answered.
    pub(super) silent_since: Micros,
    /// Fraction of its slots that the server gets, judged by its answers.
    pub(super) slot_share: f64,
    /// Answer time relative to the class means, smoothed; answers since the slot share was last cut for it.
    pub(super) slowness: f64,
    pub(super) answers_since_cut: u32,
    /// Fraction of the recent attempts that ended in an error, a reset or a timeout.
    pub(super) failure_share: f64,
    pub(super) ejections: u32,
    /// While the server is ejected: when it may be tried again, and when it was ejected.
    pub(super) ejected_until: Option<Micros>,
    pub(super) ejected_at: Micros,
    /// A trial request or a probe is in flight.
    pub(super) is_on_trial: bool,
    /// An attempt timed out while the server was silent, and the server has not answered since.
    pub(super) is_hung: bool,
    /// Attempts that this node may still send to the server while it is cold.
    pub(super) cold_budget: f64,
    /// Fraction of the recent answers that were `Full`; the utilization that the server last reported.
    pub(super) full_share: f64,
    pub(super) utilization: Option<f64>,
    /// Health for each class: a faulty release may fail one class and serve the others.
    pub(super) class_health: Vec<ClassHealth>,
}

#[derive(Clone, Default)]
pub(super) struct ClassHealth {
    /// Fraction of recent attempts that ended in an error, or in a timeout while the server answered others.
    pub(super) failure_share: f64,
    /// End and start of the last ejection for this class.
    pub(super) ejected_until: Micros,
    pub(super) ejected_at: Micros,
    pub(super) ejections: u32,
    /// The class was not answered since its ejection: one attempt at a time may be sent.
    pub(super) is_on_trial: bool,
    /// Attempts in flight; start of the time in which none of this class was answered.
    pub(super) in_flight: u32,
    pub(super) silent_since: Micros,
}

impl ClassHealth {
    pub(super) fn is_ejected(&self, now: Micros) -> bool {
        now < self.ejected_until || (self.is_on_trial && self.in_flight > 0)
    }

    pub(super) fn record_send(&mut self, now: Micros) {
        if self.in_flight == 0 {
            self.silent_since = now;
        }
        self.in_flight += 1;
    }

    /// Returns whether the attempt timed out in a silence for which the class is already ejected.
    pub(super) fn record_end(&mut self, now: Micros, sent: Micros, answered: bool, timed_out: bool) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        if answered {
            self.silent_since = now;
        }
        timed_out && self.ejections > 0 && sent < self.ejected_at
    }

    pub(super) fn eject(&mut self, now: Micros, span: Micros) {
        (self.ejected_at, self.ejected_until, self.is_on_trial) = (now, now + span, true);
        self.ejections += 1;
        self.failure_share = CLASS_FAILURE_STEP;
    }
}

impl Balancer {
    /// Updates the server's health and the load estimate from the end of an attempt.
    pub(super) fn record_outcome(&mut self, class: usize, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let Some(&i) = self.server_index.get(&end.server) else { return };
        let elapsed = end.elapsed as f64;
        let timed_out = end.outcome == Outcome::Timeout;
        let stats = &mut self.class_stats[class];
        let server = &mut self.servers[i];
        self.in_flight = self.in_flight.saturating_sub(1);
        server.in_flight = server.in_flight.saturating_sub(1);
        // An attempt sent before the ejection tells nothing new: one fault would be counted many times over.
        let sent_at = self.now.saturating_sub(end.elapsed);
        let is_stale = server.ejected_until.is_some() && sent_at < server.ejected_at;
        server.is_on_trial &= is_stale;
        let answered = matches!(end.outcome, Outcome::Ok | Outcome::Full | Outcome::Error);
        let is_known_silence = server.health_for(class).record_end(self.now, sent_at, answered, timed_out);
        if answered {
            server.silent_since = self.now;
        }
        // A server that holds other attempts of this node and makes no connection is full. One full server is
        // a local matter; if the next one is full too (`attempt > 0` below), the fleet may be.
        let is_busy = server.in_flight > 0;
        let is_full = end.outcome == Outcome::Full || (end.outcome == Outcome::ConnectFailed && is_busy);
        if is_full || end.outcome == Outcome::Ok {
            server.full_share += 0.15 * (f64::from(u8::from(is_full)) - server.full_share);
        }
        let utilization = self.settings.utilization_index.and_then(|field| end.load_report.get(field));
        server.utilization = utilization.copied().or(server.utilization);
        let is_ok = end.outcome == Outcome::Ok;
        let mut is_late = false;
        // A timed-out attempt was at least as slow as its timeout. If its server was silent all that time and
        // few servers are ejected, the server hangs: no sign that the fleet is overloaded. In a large group
        // no server answers one node that often; if one server after the other hangs, all are overloaded.
        let is_silent = server.silent_since + end.elapsed <= self.now;
        let are_few_ejected = self.load.ejected_share.max(self.load.silent_share) <= FEW_EJECTED_SHARE;
        let is_hung = timed_out && is_silent && are_few_ejected;
        if is_ok || (timed_out && !server.is_hung) {
            self.load.silent_share +=
                0.03 * (f64::from(u8::from(timed_out && is_silent)) - self.load.silent_share);
        }
        server.is_hung = (server.is_hung && !answered) || (timed_out && is_silent);
        if is_ok || (timed_out && !is_known_silence) {
            is_late = !is_hung && (timed_out || end.elapsed > self.settings.classes[class].aim);
            let sample = if is_hung { self.load.late_share } else { f64::from(u8::from(is_late)) };
            self.load.late_share += 0.03 * (sample - self.load.late_share);
            server.slowness += 0.15 * ((elapsed / stats.mean_us.max(1.0)).min(5.0) - server.slowness);
            server.answers_since_cut += 1;
        }
        if is_ok {
            self.load.answers += 1.0;
            stats.mean_us += 0.02 * (elapsed - stats.mean_us);
        }
        let is_crowded = is_full && !server.rejects_while_idle();
        if is_full {
            let factor = server.full_share_factor();
            server.slot_share = (server.slot_share * factor).max(MIN_SLOT_SHARE);
        }
        if is_ok || is_full {
            server.reinstate();
        }
        // Each node comes to hold a connection to each server. They are kept if new ones cost more.
        let kept_deduction = f64::from(self.settings.group_size) / 100.0 * self.settings.connection_deduction;
        let closes_idle = self.is_large_group && kept_deduction >= self.settings.handshake_deduction;
        let sample = f64::from(u8::from(end.outcome == Outcome::ConnectFailed));
        self.load.connect_failure_share += 0.03 * (sample - self.load.connect_failure_share);
        if server.in_flight == 0 && (closes_idle || self.load.connect_failure_share > MAX_CONNECT_FAILURES) {
            actions.push(Action::CloseIdleConnections(end.server));
        }
        // Errors, resets and timeouts are one kind of symptom. If the whole fleet shows it, moving requests
        // helps nobody, so only a server that stands out is ejected. A failed trial is proof by itself, and
        // so is a failed connection to a server that holds no attempt of this node.
        let is_failure = matches!(end.outcome, Outcome::Error | Outcome::Reset | Outcome::Timeout);
        let is_error = end.outcome == Outcome::Error;
        let is_sample = is_error || is_ok || (timed_out && !is_silent);
        let is_class_failure = is_known_silence || (is_sample && self.record_for_class(i, class, !is_ok));
        let server = &mut self.servers[i];
        // The failures of one class say nothing about the other classes.
        if (is_failure || is_ok) && !is_class_failure {
            let sample = f64::from(u8::from(is_failure));
            server.failure_share += 0.15 * (sample - server.failure_share);
            self.load.failure_share += 0.01 * (sample - self.load.failure_share);
        }
        let is_unreachable = end.outcome == Outcome::ConnectFailed && !is_full;
        // In a large group a server's next answer to this node is seconds away. A healthy server is hardly
        // ever silent until an attempt times out, an overloaded one mostly is: one such timeout is enough.
        let is_mute = timed_out && is_silent && self.is_large_group;
        let max_failure_share = EJECTION_FAILURE_SHARE.max(EJECTION_FAILURE_FACTOR * self.load.failure_share);
        let stands_out = is_mute || server.failure_share > max_failure_share;
        if !is_stale && (is_unreachable || (is_failure && (stands_out || server.ejected_until.is_some()))) {
            self.eject(i);
        }
        if (is_late && self.load.late_share > OVERLOAD_LATE_SHARE) || (is_crowded && end.attempt > 0) {
            self.cut_in_flight_limit();
        }
    }

    /// Updates the server's health for a class; returns whether the class fails enough there for an ejection.
    fn record_for_class(&mut self, i: usize, class: usize, is_error: bool) -> bool {
        let stats = &mut self.class_stats[class];
        let sample = f64::from(u8::from(is_error));
        stats.failure_share += 0.02 * (sample - stats.failure_share);
        let fails_everywhere = stats.failure_share > PANIC_SHARE;
        let health = self.servers[i].health_for(class);
        health.failure_share += CLASS_FAILURE_STEP * (sample - health.failure_share);
        if !is_error {
            health.is_on_trial = false;
            if health.failure_share < 0.05 {
                health.ejections = 0;
            }
        }
        let should_eject = is_error && health.failure_share > CLASS_FAILURE_SHARE && !fails_everywhere;
        if should_eject && self.now >= health.ejected_until {
            self.eject_for_class(i, class);
        }
        should_eject
    }

    /// Ejects a server for a class, longer each time.
    pub(super) fn eject_for_class(&mut self, i: usize, class: usize) {
        let span = EJECTION_MIN_US << self.servers[i].health_for(class).ejections.min(6);
        let span = self.jitter(span.min(EJECTION_MAX_US));
        self.servers[i].health_for(class).eject(self.now, span);
    }

    /// Ejects a server until a trial request or a probe succeeds.
    pub(super) fn eject(&mut self, i: usize) {
        // An ejection that ends before this node's next request for the server would have no effect.
        let request_gap = match self.is_large_group {
            true => self.servers.len() as f64 * self.window_s / self.load.attempts.max(1.0) * 1e6,
            false => 0.0,
        } as Micros;
        let span = EJECTION_MIN_US.max(request_gap) << self.servers[i].ejections.min(6);
        let span = span.min(EJECTION_MAX_US.max(request_gap));
        let until = self.now + self.jitter(span);
        let server = &mut self.servers[i];
        (server.ejected_until, server.is_on_trial, server.ejected_at) = (Some(until), false, self.now);
        server.ejections += 1;
    }

    /// Whether probes try ejected servers. Overloaded servers answer probes, so in a large group, where most
    /// ejected servers are overloaded, a request that may be repeated tries them instead.
    pub(super) fn uses_probes(&self) -> bool {
        self.settings.can_probe && !self.is_large_group
    }

    pub(super) fn on_probe_ended(&mut self, id: ServerId, outcome: Outcome) {
        match self.server_index.get(&id) {
            Some(&i) if outcome == Outcome::Ok => self.servers[i].reinstate(),
            Some(&i) => self.eject(i),
            None => {}
        }
    }
}

impl Server {
    pub(super) fn new(member: Member, cold_budget: f64) -> Self {
        Server {
            is_in_service: member.state == ServerState::InService,
            member,
            in_flight: 0,
            silent_since: 0,
            slot_share: 1.0,
            slowness: 1.0,
            answers_since_cut: 0,
            failure_share: 0.0,
            ejections: 0,
            ejected_until: None,
            ejected_at: 0,
            is_on_trial: false,
            is_hung: false,
            cold_budget,
            full_share: 0.0,
            utilization: None,
            class_health: Vec::new(),
        }
    }

    pub(super) fn health_for(&mut self, class: usize) -> &mut ClassHealth {
        if self.class_health.len() <= class {
            self.class_health.resize(class + 1, ClassHealth::default());
        }
        &mut self.class_health[class]
    }

    /// Whether the server answers `Full` for another reason than lack of capacity: its rate limit, its front
    /// end's, or chance. Such an attempt never ran and goes to the next owner for the price of a round trip,
    /// while a smaller slot share would crowd the other servers. If reports are wrong or old, a really full
    /// server is asked again and again. Without reports, `Full` means full.
    fn rejects_while_idle(&self) -> bool {
        self.utilization.is_some_and(|utilization| utilization < IDLE_MAX_UTILIZATION)
    }

    /// Factor on the slot share after a `Full` answer. An idle server that mostly answers `Full` loses a
    /// little each time, down to about what it accepts.
    fn full_share_factor(&self) -> f64 {
        match self.rejects_while_idle() {
            false => FULL_SHARE_FACTOR,
            true if self.full_share > IDLE_MAX_FULL_SHARE => IDLE_FULL_SHARE_FACTOR,
            true => 1.0,
        }
    }

    /// Ends an ejection; the server starts with a small slot share.
    fn reinstate(&mut self) {
        if self.ejected_until.take().is_some() {
            self.slot_share = REINSTATED_SLOT_SHARE;
            self.is_on_trial = false;
            self.failure_share = 0.0;
        }
    }

    /// Cuts the slot share of a slow server quickly and restores it slowly otherwise.
    pub(super) fn adjust_slot_share(&mut self) {
        if self.slowness > MAX_SLOWNESS && self.answers_since_cut >= 3 {
            self.slot_share = (self.slot_share * MAX_SLOWNESS / self.slowness).max(MIN_SLOT_SHARE);
            self.answers_since_cut = 0;
        } else if self.slowness <= MAX_SLOWNESS {
            self.slot_share = (self.slot_share + SLOT_SHARE_REGAIN).min(1.0);
            if self.slot_share >= 1.0 {
                self.ejections = 0;
            }
        }
    }
}
