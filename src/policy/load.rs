//! The load of the fleet: the sweep, this node's limit on attempts in flight, and which requests it refuses.

use super::*;

/// A sign of overload cuts the in-flight limit by the fraction LIMIT_CUT / (attempts per second); a sweep
/// raises it by the factor. A faster cut or a slower rise refuses more.
const LIMIT_CUT: f64 = 0.9;
const LIMIT_REGAIN_FACTOR: f64 = 1.02;
/// A smaller fraction of late answers is no sign that the fleet is overloaded.
pub(super) const OVERLOAD_LATE_SHARE: f64 = 0.15;
/// With up to this fraction of the fleet ejected, the others have room for its work; no setting tells how
/// much (docs/routing.md). Lower refuses what the others could serve; higher feeds a real overload.
pub(super) const FEW_EJECTED_SHARE: f64 = 0.35;
const MIN_IN_FLIGHT: f64 = 0.5;
/// Fraction of the limit that requests of the lowest worth leave free for others.
const LIMIT_RESERVE: f64 = 0.3;
/// How far the limit differs between keys. All nodes refuse the same keys first, so the other keys stay
/// cached and cost less. A higher value serves overloads better and refuses some keys needlessly.
const LIMIT_SPREAD: f64 = 0.5;
/// Length of `window_s` from which on the decaying counts are settled enough to use their maximum.
const SETTLED_WINDOW_S: f64 = 3.0;
/// Weight of the current rate in the usual one per sweep: it averages over 20 s, longer than a warm-up.
const USUAL_RATE_STEP: f64 = 0.005;

/// A class's mean answer time, traffic and failures.
#[derive(Default)]
pub(super) struct ClassStats {
    pub(super) mean_us: f64,
    /// Decaying counts of the requests within and beyond their tenant's quota.
    pub(super) requests: [f64; 2],
    /// Fraction of the recent answers, from all servers, that were errors or timeouts.
    pub(super) failure_share: f64,
}

/// What a node infers from its traffic as a whole.
#[derive(Default)]
pub(super) struct LoadEstimate {
    /// Fraction of the recent answers that were late or never came.
    pub(super) late_share: f64,
    /// Fraction of the recent answers and timeouts that were a server's first silent timeout.
    pub(super) silent_share: f64,
    /// Fraction of the recent answered or failed attempts that failed.
    pub(super) failure_share: f64,
    pub(super) connect_failure_share: f64,
    /// Most attempts that this node keeps in flight; unlimited until the first sign of overload.
    pub(super) in_flight_limit: f64,
    /// Attempts in flight, smoothed.
    pub(super) usual_in_flight: f64,
    /// Requests per second, averaged over longer than a loss of servers and the recovery from it last.
    pub(super) usual_rate: f64,
    /// Fraction of the fleet, by size, that is ejected.
    pub(super) ejected_share: f64,
    /// So much of the fleet is ejected that ejections are ignored.
    pub(super) is_in_panic: bool,
    /// Total size of the servers that are not ejected, each times its capacity fraction.
    pub(super) usable_size: f64,
    /// Total size of the listed servers, by what they may carry while cold, and the maximum of this total.
    pub(super) listed_size: f64,
    pub(super) max_listed_size: f64,
    /// The listed size some time ago: servers have not yet cached the keys that moved to them since then.
    pub(super) recent_listed_size: f64,
    /// Most answers per second and unit of size that this node has seen.
    pub(super) max_served_per_size: f64,
    /// Decaying counts: requests, requests with a key, attempts, successful answers.
    pub(super) requests: f64,
    pub(super) keyed_requests: f64,
    pub(super) attempts: f64,
    pub(super) answers: f64,
}

impl Balancer {
    /// Lowers the limit on attempts in flight: crowded servers become overloaded together.
    pub(super) fn cut_in_flight_limit(&mut self) {
        let factor = 1.0 - (LIMIT_CUT * self.window_s / self.load.attempts.max(1.0)).min(0.2);
        let in_flight = self.load.usual_in_flight.max(f64::from(self.in_flight)) + 1.0;
        self.load.in_flight_limit = (self.load.in_flight_limit.min(in_flight) * factor).max(MIN_IN_FLIGHT);
    }

    /// Ejects silent servers, probes, refills cold budgets and updates the load estimate.
    pub(super) fn sweep(&mut self, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer { delay: SWEEP_PERIOD_US, timer: TIMER_SWEEP });
        self.recheck_waiting_requests(actions);
        let slowest_us = self.class_stats.iter().map(|stats| stats.mean_us).fold(0.0, f64::max);
        let silence_us = ((SILENCE_MULTIPLE * slowest_us) as Micros).max(SILENCE_MIN_US);
        let (mut ejected, mut total, mut usable, mut listed) = (0.0, 0.0, 0.0, 0.0);
        let served_per_size = self.load.answers / self.window_s / self.load.usable_size.max(1.0);
        if self.window_s > SETTLED_WINDOW_S {
            self.load.max_served_per_size = self.load.max_served_per_size.max(served_per_size);
        }
        let best_per_size = self.load.max_served_per_size.max(served_per_size);
        let cold_factor = COLD_LOAD_CAP * self.settings.cold_overload_multiple;
        let cold_budget_per_size = cold_factor * best_per_size / 10.0; // sweeps per second
        let uses_probes = self.uses_probes();
        for i in 0..self.servers.len() {
            let server = &self.servers[i];
            if !server.is_in_service {
                continue;
            }
            let (size, capacity) = (server.member.size, self.capacity_fraction(server));
            let budget_gain = cold_budget_per_size * size * capacity;
            total += size;
            listed += size * (capacity * cold_factor.max(1.0)).min(1.0);
            usable += size * capacity * f64::from(u8::from(server.ejected_until.is_none()));
            let is_silent = server.in_flight > 0 && self.now > server.silent_since + silence_us;
            if is_silent && server.ejected_until.is_none() {
                self.eject(i);
            }
            // The server answers, but not this class: a release may fail one class and serve the others.
            // Waiting for the timeouts would lose all that is sent meanwhile, and count against the whole
            // server and the limit. A single attempt may just be heavy. If a class's work varies far more
            // than that of the others, this wrongly ejects a server for it for a second.
            for class in 0..self.servers[i].class_health.len() {
                let health = &self.servers[i].class_health[class];
                let is_class_silent = health.in_flight > 1 && self.now > health.silent_since + silence_us;
                let fails_everywhere = self.class_stats[class].failure_share > PANIC_SHARE;
                if is_class_silent && !is_silent && self.now >= health.ejected_until && !fails_everywhere {
                    self.eject_for_class(i, class);
                }
            }
            let server = &mut self.servers[i];
            server.cold_budget = (server.cold_budget + budget_gain).min(1.0 + budget_gain);
            match server.ejected_until {
                Some(until) => {
                    ejected += size;
                    if uses_probes && self.now >= until && !server.is_on_trial {
                        server.is_on_trial = true;
                        actions.push(Action::Probe(server.member.server));
                    }
                }
                None => server.adjust_slot_share(),
            }
        }
        self.load.usable_size = usable;
        let step = (SWEEP_PERIOD_US as f64 / self.settings.ramp_time.max(SWEEP_PERIOD_US) as f64).min(1.0);
        let recent_size = self.load.recent_listed_size + step * (listed - self.load.recent_listed_size);
        (self.load.listed_size, self.load.max_listed_size) = (listed, self.load.max_listed_size.max(listed));
        self.load.recent_listed_size = recent_size.max(listed);
        let rate = self.load.requests / self.window_s;
        let step = if self.window_s > SETTLED_WINDOW_S { USUAL_RATE_STEP } else { 1.0 };
        self.load.usual_rate += step * (rate - self.load.usual_rate);
        self.load.in_flight_limit *= LIMIT_REGAIN_FACTOR;
        self.load.usual_in_flight += 0.1 * (f64::from(self.in_flight) - self.load.usual_in_flight);
        self.load.ejected_share = ejected / total.max(f64::MIN_POSITIVE);
        self.load.is_in_panic = self.load.ejected_share > PANIC_SHARE;
        self.decay_counts();
    }

    fn decay_counts(&mut self) {
        self.load.requests *= TRAFFIC_COUNT_DECAY;
        self.load.attempts *= TRAFFIC_COUNT_DECAY;
        self.load.answers *= TRAFFIC_COUNT_DECAY;
        self.window_s = self.window_s * TRAFFIC_COUNT_DECAY + SWEEP_PERIOD_US as f64 / 1e6;
        self.decay_key_counts();
        let counts = self.class_stats.iter_mut().flat_map(|stats| &mut stats.requests);
        counts.chain(&mut self.tenant_counts).for_each(|count| *count *= TRAFFIC_COUNT_DECAY);
    }

    /// Counts a tenant's request and returns whether it is beyond the tenant's quota, taking this node's
    /// traffic for an even part of all. A client's retry is not counted: each refusal would push the tenant
    /// further beyond its quota. The key decides which requests are beyond it, so their retries are too.
    pub(super) fn count_for_quota(&mut self, tenant: Option<TenantId>, is_retry: bool, slot: usize) -> bool {
        let Some(TenantId(t)) = tenant else { return false };
        let Some(count) = self.tenant_counts.get_mut(t) else { return false };
        *count += f64::from(u8::from(!is_retry));
        let rate = *count / self.window_s;
        let quota = self.settings.tenants[t].quota_per_s / f64::from(self.settings.group_size);
        quota > 0.0 && rate > quota && slot_rank(slot) > quota / rate
    }

    /// Worth per unit of work, as far as a node can tell.
    fn work_value(&self, class: usize, is_over_quota: bool) -> f64 {
        let points = self.settings.classes[class].points;
        let value = match self.settings.worth_by {
            WorthBy::Work => points,
            WorthBy::Request => points / self.class_stats[class].mean_us.max(1.0),
        };
        value * if is_over_quota { self.settings.over_quota_worth } else { 1.0 }
    }

    /// Whether a request of this slot exceeds what a large group's listed servers can do while some are gone
    /// or cold; the quotas tell what all are sized for. A node sees signs of overload only once servers are
    /// overloaded, and overload outlasts its cause. Keys that move are not cached on their new servers and
    /// cost more, so recent losses count twice. A node that a front end sends more than an even part carries
    /// the same fraction of its usual rate. Refuses too much if servers can do far more.
    pub(super) fn exceeds_listed_capacity(&self, slot: usize) -> bool {
        let quota: f64 = self.settings.tenants.iter().map(|tenant| tenant.quota_per_s).sum();
        let even_rate = quota / f64::from(self.settings.group_size)
            * (self.load.listed_size / self.load.recent_listed_size.max(1.0));
        let carried_rate = even_rate.max(self.load.usual_rate)
            * (self.load.listed_size / self.load.max_listed_size.max(1.0));
        let rate = self.load.requests / self.window_s;
        let is_short = self.is_large_group && self.load.listed_size < self.load.max_listed_size;
        is_short && quota > 0.0 && rate > carried_rate && slot_rank(slot) > carried_rate / rate
    }

    /// Whether to refuse a new request because of the in-flight limit, which depends on worth and key.
    pub(super) fn should_shed(&mut self, class: usize, slot: usize, is_over_quota: bool) -> bool {
        let value = self.work_value(class, is_over_quota);
        let (mut lower, mut higher) = (0.0, 0.0);
        for (c, stats) in self.class_stats.iter().enumerate() {
            for (is_over_quota, count) in [(false, stats.requests[0]), (true, stats.requests[1])] {
                let other = self.work_value(c, is_over_quota);
                lower += if other < value { count } else { 0.0 };
                higher += if other > value { count } else { 0.0 };
            }
        }
        let reserve = if higher > 0.0 { LIMIT_RESERVE * higher / (lower + higher) } else { 0.0 };
        let spread = if self.settings.servers_cache_keys { LIMIT_SPREAD } else { 0.0 };
        f64::from(self.in_flight) + self.rng.f64()
            >= self.load.in_flight_limit * (1.0 - reserve) * (1.0 + spread * (0.5 - slot_rank(slot)))
    }
}
