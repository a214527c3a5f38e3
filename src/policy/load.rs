//! The fleet as a whole: the regular look-over, what a node may keep in flight, and what it refuses.

use super::*;

/// What a sign of too much work takes off the limit, in parts of a second's attempts, and the regain
/// each sweep. Quicker down or slower up refuses more.
const LIMIT_CUT: f64 = 0.9;
const LIMIT_REGAIN: f64 = 1.02;
/// Fewer late answers than this part are no sign of more work than the fleet can do.
pub(super) const LATE_PART: f64 = 0.15;
/// With no more than this part of the fleet ejected, the others have room for its work. No setting tells how
/// much they have: the figure rests on plays (docs/routing.md). Lower refuses what others could do; higher
/// feeds a true jam.
pub(super) const FEW_OUT: f64 = 0.35;
const LEAST_LIMIT: f64 = 0.5;
/// Part of the limit that requests of the lowest worth leave free for others.
const RESERVE: f64 = 0.3;
/// Spread of the limit over the keys: every node refuses the same keys first, so the others stay
/// remembered and cost less. More serves overloads better and refuses some keys needlessly.
const LEVELS: f64 = 0.5;
/// Seconds after which the counts of traffic hold enough to go by their highest.
const SETTLED: f64 = 3.0;
/// What a sweep takes of the present rate into the usual one: 20 s, longer than servers take to warm up.
const USUAL_STEP: f64 = 0.005;

/// Answer times of a class, and how much of the traffic it is.
pub(super) struct Norm {
    pub(super) mean: f64,
    /// Requests counted within and beyond their tenant's quota.
    pub(super) rates: [f64; 2],
    /// Part of the latest answers, of all servers, that were errors.
    pub(super) failing: f64,
}

/// What a node takes from its traffic as a whole.
#[derive(Default)]
pub(super) struct LoadEstimate {
    /// Part of the latest answers that came late or not at all.
    pub(super) late: f64,
    /// Part of the latest answers and time-outs that were a server's first silent time-out.
    pub(super) silent: f64,
    /// Part of the latest answered or failed attempts that failed.
    pub(super) failing: f64,
    /// Part of the latest attempts that got no connection.
    pub(super) unlinked: f64,
    /// Most requests that this node keeps in flight; unlimited until servers turn some away.
    pub(super) limit: f64,
    /// What is in flight, smoothed.
    pub(super) usual: f64,
    /// Requests that it takes in a second, smoothed over longer than a loss of servers and its cure last.
    pub(super) usual_rate: f64,
    /// Part of the fleet that is ejected.
    pub(super) ejected: f64,
    /// So much is ejected that ejections are ignored.
    pub(super) panic: bool,
    /// Sizes of the servers in use, by their warmth.
    pub(super) able: f64,
    /// Sizes of the servers on the list by what they may carry while cold, and the most that they came to.
    pub(super) listed: f64,
    pub(super) full: f64,
    /// The same as they lately were: what has moved since then meets no memory of its keys.
    pub(super) recent: f64,
    /// The most that a size of one has been seen to serve in a second.
    pub(super) serves: f64,
    /// Requests taken, those of them with a key, attempts sent and attempts served: fading counts.
    pub(super) taken: f64,
    pub(super) keyed: f64,
    pub(super) sends: f64,
    pub(super) served: f64,
}

impl Balancer {
    /// Servers that are crowded jam together: holds down what is in flight.
    pub(super) fn hold_down(&mut self) {
        let keep = 1.0 - (LIMIT_CUT * self.window / self.load.sends.max(1.0)).min(0.2);
        let held = self.load.usual.max(f64::from(self.inflight)) + 1.0;
        self.load.limit = (self.load.limit.min(held) * keep).max(LEAST_LIMIT);
    }

    pub(super) fn sweep(&mut self, out: &mut Vec<Action>) {
        out.push(Action::SetTimer { delay: SWEEP, timer: TIMER_SWEEP });
        self.shed_held(out);
        let slowest = self.norms.iter().map(|n| n.mean).fold(0.0, f64::max);
        let silence = ((SILENCE * slowest) as Micros).max(SILENCE_LEAST);
        let (mut ejected, mut total, mut able, mut listed) = (0.0, 0.0, 0.0, 0.0);
        let serves = self.load.served / self.window / self.load.able.max(1.0);
        if self.window > SETTLED {
            self.load.serves = self.load.serves.max(serves);
        }
        let pace = COLD_CARE * self.settings.cold_overload_multiple * self.load.serves.max(serves) / 10.0;
        let probes = self.probes();
        for i in 0..self.servers.len() {
            let server = &self.servers[i];
            if !server.ready {
                continue;
            }
            let (size, warmth) = (server.member.size, self.warmth(server));
            let gain = pace * size * warmth;
            total += size;
            listed += size * (warmth * (COLD_CARE * self.settings.cold_overload_multiple).max(1.0)).min(1.0);
            able += size * warmth * f64::from(u8::from(server.ejected.is_none()));
            let quiet = server.inflight > 0 && self.now > server.quiet_since + silence;
            if quiet && server.ejected.is_none() {
                self.eject(i);
            }
            // It speaks, but not to a class: a release may swallow one and serve the others. Waiting for the
            // time-outs would lose all that is sent meanwhile, and count them against the whole server and
            // the limit. One attempt alone may just be heavy. Hurts a class whose work varies far more than
            // the others': its server is passed by for it for a second.
            for class in 0..self.servers[i].health.len() {
                let health = &self.servers[i].health[class];
                let mute = health.out > 1 && self.now > health.quiet_since + silence;
                if mute && !quiet && self.now >= health.until && self.norms[class].failing <= PANIC {
                    self.rest_class(i, class);
                }
            }
            let server = &mut self.servers[i];
            server.budget = (server.budget + gain).min(1.0 + gain);
            match server.ejected {
                Some(until) => {
                    ejected += size;
                    if probes && self.now >= until && !server.trial {
                        server.trial = true;
                        out.push(Action::Probe(server.member.server));
                    }
                }
                None => server.correct_share(),
            }
        }
        self.load.able = able;
        let back = (SWEEP as f64 / self.settings.ramp_time.max(SWEEP) as f64).min(1.0);
        let recent = self.load.recent + back * (listed - self.load.recent);
        (self.load.listed, self.load.full) = (listed, self.load.full.max(listed));
        self.load.recent = recent.max(listed);
        let rate = self.load.taken / self.window;
        let step = if self.window > SETTLED { USUAL_STEP } else { 1.0 };
        self.load.usual_rate += step * (rate - self.load.usual_rate);
        self.load.limit *= LIMIT_REGAIN;
        self.load.usual += 0.1 * (f64::from(self.inflight) - self.load.usual);
        self.load.ejected = ejected / total.max(f64::MIN_POSITIVE);
        self.load.panic = self.load.ejected > PANIC;
        self.forget();
    }

    /// Lets the counts of traffic fade.
    fn forget(&mut self) {
        self.load.taken *= HOT_KEEP;
        self.load.sends *= HOT_KEEP;
        self.load.served *= HOT_KEEP;
        self.window = self.window * HOT_KEEP + SWEEP as f64 / 1e6;
        self.forget_keys();
        let rates = self.norms.iter_mut().flat_map(|n| &mut n.rates);
        rates.chain(&mut self.tenant_rates).for_each(|rate| *rate *= HOT_KEEP);
    }

    /// Counts a tenant's request and tells whether it goes beyond the tenant's quota, taking
    /// this node's traffic for its even part of all. A client's retries belong to its first try: counted
    /// anew, each refusal would put more of the tenant beyond its quota. By key, as the limit refuses:
    /// the retry of one that is beyond is beyond as well.
    pub(super) fn over_share(&mut self, tenant: Option<TenantId>, repeat: bool, slot: usize) -> bool {
        let Some(TenantId(t)) = tenant else { return false };
        let Some(rate) = self.tenant_rates.get_mut(t) else { return false };
        *rate += f64::from(u8::from(!repeat));
        let rate = *rate / self.window;
        let quota = self.settings.tenants[t].quota_per_s / f64::from(self.settings.group_size);
        quota > 0.0 && rate > quota && slot_level(slot) > quota / rate
    }

    /// Worth per unit of work, as far as a node can tell.
    fn value(&self, class: usize, over: bool) -> f64 {
        let points = self.settings.classes[class].points;
        let value = match self.settings.worth_by {
            WorthBy::Work => points,
            WorthBy::Request => points / self.norms[class].mean.max(1.0),
        };
        value * if over { self.settings.over_quota_worth } else { 1.0 }
    }

    /// Whether a request of this slot lies beyond what a large group's servers can do by the list, where some
    /// of them are gone or cold. The quotas tell what all of them are there for. A node's own signs of a jam
    /// come when the servers are in it, and a jam outlasts its cause. Keys that move meet servers without
    /// memory, which do more for them: what has lately gone counts twice. A front may bring a node far more
    /// than its even part: that one carries the same part of what it usually gets. Refuses too much where the
    /// servers can do far more than that.
    pub(super) fn beyond_capacity(&self, slot: usize) -> bool {
        let quota: f64 = self.settings.tenants.iter().map(|tenant| tenant.quota_per_s).sum();
        let even =
            quota / f64::from(self.settings.group_size) * (self.load.listed / self.load.recent.max(1.0));
        let carried = even.max(self.load.usual_rate) * (self.load.listed / self.load.full.max(1.0));
        let rate = self.load.taken / self.window;
        let short = self.settings.group_size > LARGE_GROUP && self.load.listed < self.load.full;
        short && quota > 0.0 && rate > carried && slot_level(slot) > carried / rate
    }

    /// Whether to refuse a new request: beyond the limit, by worth and by key.
    pub(super) fn shed_now(&mut self, class: usize, slot: usize, over: bool) -> bool {
        let value = self.value(class, over);
        let (mut lower, mut higher) = (0.0, 0.0);
        for (c, norm) in self.norms.iter().enumerate() {
            for (over, rate) in [(false, norm.rates[0]), (true, norm.rates[1])] {
                let other = self.value(c, over);
                lower += if other < value { rate } else { 0.0 };
                higher += if other > value { rate } else { 0.0 };
            }
        }
        let reserve = if higher > 0.0 { RESERVE * higher / (lower + higher) } else { 0.0 };
        let spread = if self.settings.servers_cache_keys { LEVELS } else { 0.0 };
        f64::from(self.inflight) + self.rng.f64()
            >= self.load.limit * (1.0 - reserve) * (1.0 + spread * (0.5 - slot_level(slot)))
    }
}
