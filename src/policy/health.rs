//! Judges the health of servers by the outcomes of attempts: slot shares, ejections, and ejections for a
//! class.

use super::*;

/// Weight of a new sample in the smoothed values of a server.
const SERVER_SAMPLE_WEIGHT: f64 = 0.15;
/// Weight of a new sample in the smoothed values of a class, over all servers.
const CLASS_SAMPLE_WEIGHT: f64 = 0.02;
/// Weights of a new sample in the smoothed values of the load estimate, and in its failure share.
const LOAD_SAMPLE_WEIGHT: f64 = 0.03;
const LOAD_FAILURE_SAMPLE_WEIGHT: f64 = 0.01;

/// Slowness (answer time relative to the class means) above which a server's slot share is cut, the largest
/// sample of the slowness, and the number of answers and timeouts needed before a further cut.
const MAX_SLOWNESS: f64 = 2.2;
const MAX_SLOWNESS_SAMPLE: f64 = 5.0;
const MIN_SAMPLES_PER_CUT: u32 = 3;
/// Factor on the slot share of a server that answers `Full`.
const FULL_SLOT_SHARE_FACTOR: f64 = 0.6;
/// A server that reports a lower utilization is idle: its `Full` answers do not mean that it lacks capacity.
const IDLE_MAX_UTILIZATION: f64 = 0.7;
/// Factor on the slot share of an idle server that answers `Full`, applied while more than
/// `IDLE_MAX_FULL_SHARE` of its answers are `Full`.
const IDLE_FULL_SLOT_SHARE_FACTOR: f64 = 0.95;
const IDLE_MAX_FULL_SHARE: f64 = 0.6;
/// Slot share that a server regains per sweep, the smallest slot share, and the one after an ejection.
const SLOT_SHARE_REGAIN: f64 = 0.01;
const MIN_SLOT_SHARE: f64 = 0.05;
const REINSTATED_SLOT_SHARE: f64 = 0.3;
/// A server is ejected when more than this fraction of its recent attempts failed, and also more than this
/// multiple of the fleet's fraction. Lower values eject sooner, and more often by chance.
const EJECTION_FAILURE_SHARE: f64 = 0.4;
const EJECTION_FAILURE_FACTOR: f64 = 2.5;
/// A server is ejected for a class when more than this smoothed fraction of its answers to the class are
/// errors or timeouts, unless the class fails as much everywhere.
const CLASS_EJECTION_FAILURE_SHARE: f64 = 0.5;
/// Weight of a new sample in that fraction, and the fraction's value after such an ejection: two failures in
/// a row eject the server for the class, and one is enough after an ejection.
const CLASS_FAILURE_SAMPLE_WEIGHT: f64 = 0.3;
/// Below this fraction the server counts as recovered, and its next ejection for the class is a short one.
const CLASS_RECOVERED_FAILURE_SHARE: f64 = 0.05;
/// Length of the first ejection; each further one is twice as long, up to the maximum, with at most this many
/// doublings.
const EJECTION_MIN_US: Micros = 700_000;
const EJECTION_MAX_US: Micros = 8_000_000;
const EJECTION_MAX_DOUBLINGS: u32 = 6;
/// A server is ejected when it is silent for longer than this multiple of the slowest class's mean answer
/// time, and longer than the minimum.
pub(super) const SILENCE_MULTIPLE: f64 = 4.0;
pub(super) const SILENCE_MIN_US: Micros = 300_000;
/// If more than this fraction of the fleet is ejected, the cause is a shared one, so ejections are ignored.
pub(super) const PANIC_SHARE: f64 = 0.5;
/// While more than this fraction of attempts get no connection, idle connections are closed, because servers
/// accept a limited number. Otherwise the nodes of a small group keep them.
const MAX_CONNECT_FAILURE_SHARE: f64 = 0.02;
/// Open connections per server for which the points of the connection deduction are taken off.
const CONNECTIONS_PER_DEDUCTION: f64 = 100.0;

/// A known server and what this node has observed of it.
pub(super) struct Server {
    pub(super) member: Member,
    /// The server is on the list and in service.
    pub(super) is_in_service: bool,
    pub(super) in_flight: u32,
    /// Start of the time in which attempts are in flight and the server has not answered.
    pub(super) silent_since: Micros,
    /// Fraction of its slots that the server gets, judged by its answers.
    pub(super) slot_share: f64,
    /// Answer time relative to the class means, smoothed.
    pub(super) slowness: f64,
    /// Answers and timeouts since the slot share was last cut for slowness.
    pub(super) samples_since_cut: u32,
    /// Fraction of the recent attempts that ended in an error, a reset or a timeout.
    pub(super) failure_share: f64,
    /// Ejections since the server last had all of its slots.
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
    /// Fraction of the recent answers that were `Full`, or failed connections that count as such.
    pub(super) full_share: f64,
    /// Fraction of its cores in use that the server last reported.
    pub(super) utilization: Option<f64>,
    /// Health for each class: a faulty release may fail one class and serve the others.
    pub(super) class_health: Vec<ClassHealth>,
}

/// The health of a server for one class.
#[derive(Clone, Default)]
pub(super) struct ClassHealth {
    /// Fraction of recent attempts that ended in an error, or in a timeout while the server answered others.
    pub(super) failure_share: f64,
    /// End and start of the last ejection for this class.
    pub(super) ejected_until: Micros,
    pub(super) ejected_at: Micros,
    /// Ejections for this class since it last recovered.
    pub(super) ejections: u32,
    /// The server has not answered this class since the ejection: one attempt at a time may be sent.
    pub(super) is_on_trial: bool,
    pub(super) in_flight: u32,
    /// Start of the time in which attempts of this class are in flight and none was answered.
    pub(super) silent_since: Micros,
}

impl ClassHealth {
    /// Whether no attempt may be sent now, because of an ejection or of a trial attempt in flight.
    pub(super) fn is_ejected(&self, now: Micros) -> bool {
        now < self.ejected_until || (self.is_on_trial && self.in_flight > 0)
    }

    pub(super) fn record_send(&mut self, now: Micros) {
        if self.in_flight == 0 {
            self.silent_since = now;
        }
        self.in_flight += 1;
    }

    /// Records the end of an attempt. Returns whether the attempt timed out in a silence for which the server
    /// is already ejected for the class.
    pub(super) fn record_end(
        &mut self,
        now: Micros,
        sent_at: Micros,
        is_answered: bool,
        is_timeout: bool,
    ) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        if is_answered {
            self.silent_since = now;
        }
        is_timeout && self.ejections > 0 && sent_at < self.ejected_at
    }

    pub(super) fn eject(&mut self, now: Micros, span: Micros) {
        self.ejected_at = now;
        self.ejected_until = now + span;
        self.is_on_trial = true;
        self.ejections += 1;
        self.failure_share = CLASS_FAILURE_SAMPLE_WEIGHT;
    }
}

impl Balancer {
    /// Updates the server's health and the load estimate from the end of an attempt.
    pub(super) fn record_outcome(&mut self, class: usize, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let Some(&index) = self.server_index.get(&end.server) else { return };
        let elapsed_us = end.elapsed as f64;
        let is_ok = end.outcome == Outcome::Ok;
        let is_error = end.outcome == Outcome::Error;
        let is_timeout = end.outcome == Outcome::Timeout;
        let stats = &mut self.class_stats[class];
        let server = &mut self.servers[index];
        self.in_flight = self.in_flight.saturating_sub(1);
        server.in_flight = server.in_flight.saturating_sub(1);
        // An attempt that was sent before the ejection tells nothing new: the fault that led to the ejection
        // would be counted many times over.
        let sent_at = self.now.saturating_sub(end.elapsed);
        let is_stale = server.ejected_until.is_some() && sent_at < server.ejected_at;
        server.is_on_trial &= is_stale;
        let is_answered = matches!(end.outcome, Outcome::Ok | Outcome::Full | Outcome::Error);
        let is_known_silence =
            server.health_for(class).record_end(self.now, sent_at, is_answered, is_timeout);
        if is_answered {
            server.silent_since = self.now;
        }
        // A server that holds other attempts of this node and makes no connection is full. One full server is
        // a local matter; if the next one is full too (`attempt > 0` below), the fleet may be.
        let is_busy = server.in_flight > 0;
        let is_full = end.outcome == Outcome::Full || (end.outcome == Outcome::ConnectFailed && is_busy);
        if is_full || is_ok {
            server.full_share += SERVER_SAMPLE_WEIGHT * (to_sample(is_full) - server.full_share);
        }
        let utilization = self.settings.utilization_index.and_then(|field| end.load_report.get(field));
        server.utilization = utilization.copied().or(server.utilization);
        // A timed-out attempt was at least as slow as its timeout. If its server was silent all that time
        // while few servers are ejected or silent, the server hangs, which is no sign that the fleet is
        // overloaded. In a large group no server answers the same node often, so a silence alone is no proof
        // that the server hangs: if one server after the other is silent, all are overloaded.
        let is_silent = server.silent_since + end.elapsed <= self.now;
        let is_silent_timeout = is_timeout && is_silent;
        let are_few_unresponsive = self.load.ejected_share.max(self.load.silent_share) <= FEW_EJECTED_SHARE;
        let is_hung = is_silent_timeout && are_few_unresponsive;
        if is_ok || (is_timeout && !server.is_hung) {
            self.load.silent_share +=
                LOAD_SAMPLE_WEIGHT * (to_sample(is_silent_timeout) - self.load.silent_share);
        }
        server.is_hung = (server.is_hung && !is_answered) || is_silent_timeout;
        let mut is_late = false;
        if is_ok || (is_timeout && !is_known_silence) {
            is_late = !is_hung && (is_timeout || end.elapsed > self.settings.classes[class].aim);
            // The timeouts of a server that hangs leave the late share as it is.
            let sample = if is_hung { self.load.late_share } else { to_sample(is_late) };
            self.load.late_share += LOAD_SAMPLE_WEIGHT * (sample - self.load.late_share);
            let slowness = (elapsed_us / stats.mean_us.max(1.0)).min(MAX_SLOWNESS_SAMPLE);
            server.slowness += SERVER_SAMPLE_WEIGHT * (slowness - server.slowness);
            server.samples_since_cut += 1;
        }
        if is_ok {
            self.load.answers += 1.0;
            stats.mean_us += CLASS_SAMPLE_WEIGHT * (elapsed_us - stats.mean_us);
        }
        let lacks_capacity = is_full && !server.rejects_while_idle();
        if is_full {
            let factor = server.choose_full_slot_share_factor();
            server.slot_share = (server.slot_share * factor).max(MIN_SLOT_SHARE);
        }
        if is_ok || is_full {
            server.reinstate();
        }
        // In time each node holds a connection to each server. Idle connections are kept if new ones cost
        // more.
        let kept_deduction = f64::from(self.settings.group_size) / CONNECTIONS_PER_DEDUCTION
            * self.settings.connection_deduction;
        let is_keeping_costlier = self.is_large_group && kept_deduction >= self.settings.handshake_deduction;
        let sample = to_sample(end.outcome == Outcome::ConnectFailed);
        self.load.connect_failure_share += LOAD_SAMPLE_WEIGHT * (sample - self.load.connect_failure_share);
        let are_connections_scarce = self.load.connect_failure_share > MAX_CONNECT_FAILURE_SHARE;
        if server.in_flight == 0 && (is_keeping_costlier || are_connections_scarce) {
            actions.push(Action::CloseIdleConnections(end.server));
        }
        // Errors, resets and timeouts are one kind of symptom. If the whole fleet shows it, moving requests
        // helps nobody, so only a server that stands out is ejected. A failed trial is proof by itself, and
        // so is a failed connection to a server that holds no attempt of this node.
        let is_failure = matches!(end.outcome, Outcome::Error | Outcome::Reset | Outcome::Timeout);
        let is_class_sample = is_error || is_ok || (is_timeout && !is_silent);
        let is_class_failure =
            is_known_silence || (is_class_sample && self.record_class_outcome(index, class, !is_ok));
        let server = &mut self.servers[index];
        // The failures of one class say nothing about the other classes.
        if (is_failure || is_ok) && !is_class_failure {
            let sample = to_sample(is_failure);
            server.failure_share += SERVER_SAMPLE_WEIGHT * (sample - server.failure_share);
            self.load.failure_share += LOAD_FAILURE_SAMPLE_WEIGHT * (sample - self.load.failure_share);
        }
        let is_unreachable = end.outcome == Outcome::ConnectFailed && !is_full;
        // In a large group a server's next answer to this node is seconds away. A healthy server is hardly
        // ever silent until an attempt times out, an overloaded one mostly is: one such timeout is enough.
        let is_silence_proof = is_silent_timeout && self.is_large_group;
        let max_failure_share = EJECTION_FAILURE_SHARE.max(EJECTION_FAILURE_FACTOR * self.load.failure_share);
        let stands_out = is_silence_proof || server.failure_share > max_failure_share;
        if !is_stale && (is_unreachable || (is_failure && (stands_out || server.ejected_until.is_some()))) {
            self.eject(index);
        }
        if (is_late && self.load.late_share > OVERLOAD_LATE_SHARE) || (lacks_capacity && end.attempt > 0) {
            self.cut_in_flight_limit();
        }
    }

    /// Updates the server's health for a class. Returns whether the server fails the class so often that it
    /// must be ejected for the class.
    fn record_class_outcome(&mut self, index: usize, class: usize, is_failure: bool) -> bool {
        let stats = &mut self.class_stats[class];
        let sample = to_sample(is_failure);
        stats.failure_share += CLASS_SAMPLE_WEIGHT * (sample - stats.failure_share);
        let fails_everywhere = stats.failure_share > PANIC_SHARE;
        let health = self.servers[index].health_for(class);
        health.failure_share += CLASS_FAILURE_SAMPLE_WEIGHT * (sample - health.failure_share);
        if !is_failure {
            health.is_on_trial = false;
            if health.failure_share < CLASS_RECOVERED_FAILURE_SHARE {
                health.ejections = 0;
            }
        }
        let must_eject =
            is_failure && health.failure_share > CLASS_EJECTION_FAILURE_SHARE && !fails_everywhere;
        if must_eject && self.now >= health.ejected_until {
            self.eject_for_class(index, class);
        }
        must_eject
    }

    /// Ejects a server for a class, longer each time.
    pub(super) fn eject_for_class(&mut self, index: usize, class: usize) {
        let doublings = self.servers[index].health_for(class).ejections.min(EJECTION_MAX_DOUBLINGS);
        let span = EJECTION_MIN_US << doublings;
        let span = self.jitter(span.min(EJECTION_MAX_US));
        self.servers[index].health_for(class).eject(self.now, span);
    }

    /// Ejects a server until a trial request or a probe succeeds.
    pub(super) fn eject(&mut self, index: usize) {
        // An ejection that ends before this node's next request for the server would have no effect.
        let request_gap = match self.is_large_group {
            true => self.servers.len() as f64 * self.window_s / self.load.attempts.max(1.0) * MICROS_PER_S,
            false => 0.0,
        } as Micros;
        let doublings = self.servers[index].ejections.min(EJECTION_MAX_DOUBLINGS);
        let span = EJECTION_MIN_US.max(request_gap) << doublings;
        let span = span.min(EJECTION_MAX_US.max(request_gap));
        let until = self.now + self.jitter(span);
        let server = &mut self.servers[index];
        server.ejected_until = Some(until);
        server.ejected_at = self.now;
        server.is_on_trial = false;
        server.ejections += 1;
    }

    /// Whether probes try ejected servers. Overloaded servers answer probes, so in a large group, where most
    /// ejected servers are overloaded, a request that may be repeated tries them instead.
    pub(super) fn uses_probes(&self) -> bool {
        self.settings.can_probe && !self.is_large_group
    }

    /// Reinstates the server if the probe succeeded, and ejects it for a longer time if it failed. A probe
    /// that was not sent says nothing, and the next sweep sends another one.
    pub(super) fn on_probe_ended(&mut self, id: ServerId, outcome: Outcome) {
        match self.server_index.get(&id) {
            Some(&index) if outcome == Outcome::Ok => self.servers[index].reinstate(),
            Some(&index) if outcome == Outcome::Moot => self.servers[index].is_on_trial = false,
            Some(&index) => self.eject(index),
            None => {}
        }
    }
}

impl Server {
    /// Creates a server that this node has not observed yet.
    pub(super) fn new(member: Member, cold_budget: f64) -> Self {
        Server {
            is_in_service: member.state == ServerState::InService,
            member,
            in_flight: 0,
            silent_since: 0,
            slot_share: 1.0,
            slowness: 1.0,
            samples_since_cut: 0,
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

    /// The server's health for a class, created at its first use.
    pub(super) fn health_for(&mut self, class: usize) -> &mut ClassHealth {
        if self.class_health.len() <= class {
            self.class_health.resize(class + 1, ClassHealth::default());
        }
        &mut self.class_health[class]
    }

    /// Whether the server answers `Full` for another reason than lack of capacity: its rate limit, the rate
    /// limit of its front end, or chance. Such an attempt never ran, and the request goes to the next owner
    /// at the cost of a round trip, while a smaller slot share would crowd the other servers. If load reports
    /// are wrong or old, a server that is really full is sent attempts again and again. A server without load
    /// reports is taken to be full.
    fn rejects_while_idle(&self) -> bool {
        self.utilization.is_some_and(|utilization| utilization < IDLE_MAX_UTILIZATION)
    }

    /// Chooses the factor on the slot share after a `Full` answer. An idle server that mostly answers `Full`
    /// loses a little each time, down to about what it accepts.
    fn choose_full_slot_share_factor(&self) -> f64 {
        match self.rejects_while_idle() {
            false => FULL_SLOT_SHARE_FACTOR,
            true if self.full_share > IDLE_MAX_FULL_SHARE => IDLE_FULL_SLOT_SHARE_FACTOR,
            true => 1.0,
        }
    }

    /// Ends an ejection, if there is one; the server starts again with a small slot share.
    fn reinstate(&mut self) {
        if self.ejected_until.take().is_some() {
            self.slot_share = REINSTATED_SLOT_SHARE;
            self.is_on_trial = false;
            self.failure_share = 0.0;
        }
    }

    /// Cuts the slot share of a slow server quickly and restores it slowly otherwise.
    pub(super) fn adjust_slot_share(&mut self) {
        if self.slowness > MAX_SLOWNESS && self.samples_since_cut >= MIN_SAMPLES_PER_CUT {
            self.slot_share = (self.slot_share * MAX_SLOWNESS / self.slowness).max(MIN_SLOT_SHARE);
            self.samples_since_cut = 0;
        } else if self.slowness <= MAX_SLOWNESS {
            self.slot_share = (self.slot_share + SLOT_SHARE_REGAIN).min(1.0);
            if self.slot_share >= 1.0 {
                self.ejections = 0;
            }
        }
    }
}
