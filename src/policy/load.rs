//! Estimates the load of the fleet, limits this node's attempts in flight, and decides which new requests are
//! refused.

use super::*;

/// A sign of overload cuts the in-flight limit by the fraction `LIMIT_CUT` / (attempts per second), but at
/// most by `MAX_LIMIT_CUT`. A sweep multiplies the limit by the factor. A faster cut or a slower rise refuses
/// more.
const LIMIT_CUT: f64 = 0.9;
const MAX_LIMIT_CUT: f64 = 0.2;
const LIMIT_REGAIN_FACTOR: f64 = 1.02;
/// Up to this fraction of late answers is no sign that the fleet is overloaded.
pub(super) const OVERLOAD_LATE_SHARE: f64 = 0.15;
/// With up to this fraction of the fleet ejected, the other servers have capacity for its work; no setting
/// tells how much they have (docs/routing.md). A lower value refuses requests that the others could serve; a
/// higher one feeds a real overload.
pub(super) const FEW_EJECTED_SHARE: f64 = 0.35;
/// The smallest in-flight limit.
const MIN_IN_FLIGHT_LIMIT: f64 = 0.5;
/// Weight of the sample of a sweep in the usual number of attempts in flight.
const USUAL_IN_FLIGHT_SAMPLE_WEIGHT: f64 = 0.1;
/// Fraction of the limit that requests of the lowest worth leave free for others.
const LIMIT_RESERVE: f64 = 0.3;
/// Difference between the highest and the lowest limit of a key, as a fraction of the limit. All nodes refuse
/// the same keys first, so the other keys stay cached and cost less. A higher value serves more in an
/// overload and refuses some keys needlessly.
const LIMIT_SPREAD: f64 = 0.5;
/// If `window_s` is longer than this, the decaying counts cover enough traffic to smooth a rate and to keep
/// its maximum.
const SETTLED_WINDOW_S: f64 = 3.0;
/// Weight of the sample of a sweep in the usual rate: that rate averages over 20 s, which is longer than
/// servers stay cold.
const USUAL_RATE_SAMPLE_WEIGHT: f64 = 0.005;

/// A class's mean answer time, traffic and failures.
#[derive(Default)]
pub(super) struct ClassStats {
    /// Mean answer time in microseconds, smoothed.
    pub(super) mean_us: f64,
    /// Decaying counts of the requests within (index 0) and beyond (index 1) the quota of their tenant.
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
    /// Fraction of the recent attempts that got no connection.
    pub(super) connect_failure_share: f64,
    /// Most attempts that this node keeps in flight; unlimited until the first sign of overload.
    pub(super) in_flight_limit: f64,
    /// Attempts in flight, smoothed.
    pub(super) usual_in_flight: f64,
    /// Requests per second, averaged over a time longer than a loss of servers and the recovery from it.
    pub(super) usual_rate: f64,
    /// Fraction of the fleet, by size, that is ejected.
    pub(super) ejected_share: f64,
    /// So much of the fleet is ejected that ejections are ignored.
    pub(super) is_in_panic: bool,
    /// Total size of the servers that are not ejected, each times its capacity fraction.
    pub(super) usable_size: f64,
    /// Total size of the listed servers in service, a cold one counted by the load that it may be sent.
    pub(super) listed_size: f64,
    /// The largest listed size so far.
    pub(super) max_listed_size: f64,
    /// The listed size, but a fall of it is smoothed over the ramp time: servers have not yet cached the keys
    /// that moved to them in this time.
    pub(super) recent_listed_size: f64,
    /// Most answers per second and unit of size that this node has seen.
    pub(super) max_served_per_size: f64,
    /// Decaying count of requests.
    pub(super) requests: f64,
    /// Decaying count of requests with a key.
    pub(super) keyed_requests: f64,
    /// Decaying count of attempts.
    pub(super) attempts: f64,
    /// Decaying count of successful answers.
    pub(super) answers: f64,
}

impl Balancer {
    /// Lowers the limit on attempts in flight, because crowded servers become overloaded together.
    pub(super) fn cut_in_flight_limit(&mut self) {
        let factor = 1.0 - (LIMIT_CUT * self.window_s / self.load.attempts.max(1.0)).min(MAX_LIMIT_CUT);
        let in_flight = self.load.usual_in_flight.max(f64::from(self.in_flight)) + 1.0;
        self.load.in_flight_limit =
            (self.load.in_flight_limit.min(in_flight) * factor).max(MIN_IN_FLIGHT_LIMIT);
    }

    /// Runs the sweep: rechecks waiting requests, ejects silent servers, probes ejected ones, refills cold
    /// budgets, adjusts slot shares and updates the load estimate.
    pub(super) fn sweep(&mut self, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer { delay: SWEEP_PERIOD_US, timer: TIMER_SWEEP });
        self.recheck_waiting_requests(actions);
        let slowest_us = self.class_stats.iter().map(|stats| stats.mean_us).fold(0.0, f64::max);
        let silence_us = ((SILENCE_MULTIPLE * slowest_us) as Micros).max(SILENCE_MIN_US);
        let (mut ejected_size, mut total_size, mut usable_size, mut listed_size) = (0.0, 0.0, 0.0, 0.0);
        let served_per_size = self.load.answers / self.window_s / self.load.usable_size.max(1.0);
        if self.window_s > SETTLED_WINDOW_S {
            self.load.max_served_per_size = self.load.max_served_per_size.max(served_per_size);
        }
        let best_per_size = self.load.max_served_per_size.max(served_per_size);
        let cold_factor = COLD_LOAD_CAP * self.settings.cold_overload_multiple;
        let cold_budget_per_size = cold_factor * best_per_size / SWEEPS_PER_S;
        let uses_probes = self.uses_probes();
        for index in 0..self.servers.len() {
            let server = &self.servers[index];
            if !server.is_in_service {
                continue;
            }
            let (size, capacity) = (server.member.size, self.capacity_fraction(server));
            let budget_gain = cold_budget_per_size * size * capacity;
            total_size += size;
            listed_size += size * (capacity * cold_factor.max(1.0)).min(1.0);
            if server.ejected_until.is_none() {
                usable_size += size * capacity;
            }
            let is_silent = server.in_flight > 0 && self.now > server.silent_since + silence_us;
            if is_silent && server.ejected_until.is_none() {
                self.eject(index);
            }
            // The server answers other classes, but not this one: a release may fail one class and serve the
            // others. Waiting for the timeouts would lose all attempts that are sent meanwhile, and would
            // count against the whole server and the in-flight limit. A single attempt in flight is not
            // enough, because it may just be heavy. If the work of a class varies far more than that of the
            // others, this wrongly ejects a server for the class for about a second.
            for class in 0..self.servers[index].class_health.len() {
                let health = &self.servers[index].class_health[class];
                let is_class_silent = health.in_flight > 1 && self.now > health.silent_since + silence_us;
                let fails_everywhere = self.class_stats[class].failure_share > PANIC_SHARE;
                if is_class_silent && !is_silent && self.now >= health.ejected_until && !fails_everywhere {
                    self.eject_for_class(index, class);
                }
            }
            let server = &mut self.servers[index];
            server.cold_budget = (server.cold_budget + budget_gain).min(1.0 + budget_gain);
            match server.ejected_until {
                Some(until) => {
                    ejected_size += size;
                    if uses_probes && self.now >= until && !server.is_on_trial {
                        server.is_on_trial = true;
                        actions.push(Action::Probe(server.member.server));
                    }
                }
                None => server.adjust_slot_share(),
            }
        }
        self.load.usable_size = usable_size;
        self.load.listed_size = listed_size;
        self.load.max_listed_size = self.load.max_listed_size.max(listed_size);
        let ramp_us = self.settings.ramp_time.max(SWEEP_PERIOD_US) as f64;
        let weight = (SWEEP_PERIOD_US as f64 / ramp_us).min(1.0);
        let recent_size =
            self.load.recent_listed_size + weight * (listed_size - self.load.recent_listed_size);
        self.load.recent_listed_size = recent_size.max(listed_size);
        let rate = self.load.requests / self.window_s;
        let weight = if self.window_s > SETTLED_WINDOW_S { USUAL_RATE_SAMPLE_WEIGHT } else { 1.0 };
        self.load.usual_rate += weight * (rate - self.load.usual_rate);
        self.load.in_flight_limit *= LIMIT_REGAIN_FACTOR;
        self.load.usual_in_flight +=
            USUAL_IN_FLIGHT_SAMPLE_WEIGHT * (f64::from(self.in_flight) - self.load.usual_in_flight);
        self.load.ejected_share = ejected_size / total_size.max(f64::MIN_POSITIVE);
        self.load.is_in_panic = self.load.ejected_share > PANIC_SHARE;
        self.decay_counts();
    }

    /// Lets the traffic counts decay, so that they cover recent traffic only.
    fn decay_counts(&mut self) {
        self.load.requests *= TRAFFIC_COUNT_DECAY;
        self.load.attempts *= TRAFFIC_COUNT_DECAY;
        self.load.answers *= TRAFFIC_COUNT_DECAY;
        self.window_s = self.window_s * TRAFFIC_COUNT_DECAY + SWEEP_PERIOD_US as f64 / MICROS_PER_S;
        self.decay_key_counts();
        let counts = self.class_stats.iter_mut().flat_map(|stats| &mut stats.requests);
        counts.chain(&mut self.tenant_counts).for_each(|count| *count *= TRAFFIC_COUNT_DECAY);
    }

    /// Counts a tenant's request and returns whether the request is beyond the tenant's quota. Takes this
    /// node's traffic for an even part of the traffic of all nodes. Does not count the retries of clients,
    /// because each refusal would then push the tenant further beyond its quota. The key decides which
    /// requests are beyond the quota, so the retry of a request beyond the quota is beyond it as well.
    pub(super) fn count_for_quota(&mut self, tenant: Option<TenantId>, is_retry: bool, slot: usize) -> bool {
        let Some(TenantId(tenant)) = tenant else { return false };
        let Some(count) = self.tenant_counts.get_mut(tenant) else { return false };
        if !is_retry {
            *count += 1.0;
        }
        let rate = *count / self.window_s;
        let quota = self.settings.tenants[tenant].quota_per_s / f64::from(self.settings.group_size);
        quota > 0.0 && rate > quota && slot_rank(slot) > quota / rate
    }

    /// Estimates the worth per unit of work. If requests earn the points, the mean answer time of the class
    /// stands for the work of a request.
    fn estimate_work_value(&self, class: usize, is_over_quota: bool) -> f64 {
        let points = self.settings.classes[class].points;
        let value = match self.settings.worth_by {
            WorthBy::Work => points,
            WorthBy::Request => points / self.class_stats[class].mean_us.max(1.0),
        };
        value * if is_over_quota { self.settings.over_quota_worth } else { 1.0 }
    }

    /// Whether a request of this slot exceeds what the listed servers of a large group can do while some are
    /// gone or cold. The sum of the quotas tells what all servers are sized for. A node sees signs of
    /// overload only once servers are overloaded, and an overload outlasts its cause. Keys that move are not
    /// cached on their new servers and cost more there, so recent losses count twice. A node that a front end
    /// sends more than an even part of the requests serves the same fraction of its usual rate. Refuses too
    /// many requests if the servers can do far more than the quotas tell.
    pub(super) fn exceeds_listed_capacity(&self, slot: usize) -> bool {
        let quota: f64 = self.settings.tenants.iter().map(|tenant| tenant.quota_per_s).sum();
        let even_rate = quota / f64::from(self.settings.group_size)
            * (self.load.listed_size / self.load.recent_listed_size.max(1.0));
        let servable_rate = even_rate.max(self.load.usual_rate)
            * (self.load.listed_size / self.load.max_listed_size.max(1.0));
        let rate = self.load.requests / self.window_s;
        let is_short = self.is_large_group && self.load.listed_size < self.load.max_listed_size;
        is_short && quota > 0.0 && rate > servable_rate && slot_rank(slot) > servable_rate / rate
    }

    /// Whether to refuse a new request because of the in-flight limit, which is lower for requests of little
    /// worth and differs from key to key.
    pub(super) fn should_shed(&mut self, class: usize, slot: usize, is_over_quota: bool) -> bool {
        let value = self.estimate_work_value(class, is_over_quota);
        // Counts of the recent requests that are worth less and more per unit of work than this one.
        let (mut lower_count, mut higher_count) = (0.0, 0.0);
        for (other_class, stats) in self.class_stats.iter().enumerate() {
            let [within_quota, over_quota] = stats.requests;
            for (is_other_over_quota, count) in [(false, within_quota), (true, over_quota)] {
                let other_value = self.estimate_work_value(other_class, is_other_over_quota);
                if other_value < value {
                    lower_count += count;
                } else if other_value > value {
                    higher_count += count;
                }
            }
        }
        let reserve = if higher_count > 0.0 {
            LIMIT_RESERVE * higher_count / (lower_count + higher_count)
        } else {
            0.0
        };
        let spread = if self.settings.servers_cache_keys { LIMIT_SPREAD } else { 0.0 };
        let limit = self.load.in_flight_limit * (1.0 - reserve) * (1.0 + spread * (0.5 - slot_rank(slot)));
        // The random part rounds a fractional limit up or down, so that the limit holds on average.
        f64::from(self.in_flight) + self.rng.f64() >= limit
    }
}
