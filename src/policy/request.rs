//! A request from its arrival to its single final answer. No attempt is sent after that answer.

use super::*;

/// How long refused clients wait. Longer eases an overload and costs those who could be served sooner.
const BACKOFF_US: Micros = 20_000;

pub(super) struct Attempt {
    pub(super) member: Member,
    pub(super) sent_at: Micros,
    pub(super) execution: Execution,
}

pub(super) struct PendingRequest {
    pub(super) class: usize,
    pub(super) slot: usize,
    pub(super) key: Option<Key>,
    /// The key of a request whose class is serial by key.
    pub(super) serial_key: Option<Key>,
    /// An answer earns its full worth until then.
    pub(super) aim_until: Micros,
    pub(super) deadline: Micros,
    pub(super) attempts: Vec<Attempt>,
    pub(super) is_ended: bool,
}

impl Balancer {
    pub(super) fn on_request(&mut self, request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        if self.requests.contains_key(&id) {
            return;
        }
        if request.class.0 >= self.settings.classes.len() {
            return actions.push(Action::Refuse { id, retry_after: 0 });
        }
        self.load.requests += 1.0;
        if let Some(key) = request.key {
            self.count_key(key);
        }
        self.retry_tokens = (self.retry_tokens + RETRY_TOKENS_PER_REQUEST).min(RETRY_TOKENS_MAX);
        let slot = self.choose_slot(request.key);
        let is_over_quota = self.count_for_quota(request.tenant, request.is_client_retry, slot);
        self.class_stats[request.class.0].requests[usize::from(is_over_quota)] += 1.0;
        let class = &self.settings.classes[request.class.0];
        let serial_key = request.key.filter(|_| class.is_serial_by_key);
        // If a late answer earns nothing, waiting for it only fills a server's queue.
        let max_wait = if class.late_share > 0.0 { class.deadline } else { class.aim - class.aim / 32 };
        let pending = PendingRequest {
            class: request.class.0,
            slot,
            key: request.key,
            serial_key,
            aim_until: self.now + class.aim.min(request.time_left),
            deadline: self.now + request.time_left.min(max_wait),
            attempts: Vec::new(),
            is_ended: false,
        };
        self.requests.insert(id, pending);
        if let Some(key) = serial_key {
            self.serial_queues.entry(key).or_default().requests.push_back(id);
        }
        if self.exceeds_listed_capacity(slot) || self.should_shed(request.class.0, slot, is_over_quota) {
            self.reject(id, actions);
        } else {
            self.send_or_reject(id, actions);
        }
    }

    /// Sends an attempt, lets the request wait for its serial key, or gives the final answer.
    pub(super) fn send_or_reject(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        match self.serial_wait(id) {
            Some(wait) if self.is_worth_waiting(&self.requests[&id], wait) => return,
            Some(_) => return self.reject(id, actions),
            None => {}
        }
        let target = if self.may_send(&self.requests[&id]) { self.choose_server(id) } else { None };
        let Some(target) = target else { return self.reject(id, actions) };
        let now = self.now;
        let timeout = self.attempt_timeout(&self.requests[&id]);
        let send_within = self.dedup_window_end(&self.requests[&id]).map(|end| end - now);
        let server = &mut self.servers[target];
        if server.in_flight == 0 {
            server.silent_since = now;
        }
        server.is_on_trial |= server.ejected_until.is_some();
        server.cold_budget -= 1.0;
        server.in_flight += 1;
        server.health_for(self.requests[&id].class).record_send(now);
        self.in_flight += 1;
        self.load.attempts += 1.0;
        let member = server.member.clone();
        actions.push(Action::Send { id, server: member.server, timeout, send_within });
        let pending = self.requests.get_mut(&id).expect("held");
        pending.attempts.push(Attempt { member, sent_at: now, execution: Execution::InFlight });
    }

    /// Gives the final answer without a further attempt: a refusal if that is safe, else a failure.
    fn reject(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if self.may_refuse(&self.requests[&id]) {
            // Clients not told to wait come back at once, to no better place. Where a late answer earns
            // nothing, a retry comes too late to be worth anything: the wait then is the whole deadline.
            let class = &self.settings.classes[self.requests[&id].class];
            let is_moot = class.late_share == 0.0 && self.settings.max_retry_after >= class.deadline;
            let wait = if is_moot { class.deadline } else { BACKOFF_US.min(self.settings.max_retry_after) };
            let retry_after = if self.settings.sends_retry_after { wait } else { 0 };
            actions.push(Action::Refuse { id, retry_after });
        } else {
            actions.push(Action::Fail { id });
        }
        self.end_request(id, actions);
    }

    /// Ends a request: no further attempt is sent, and those in flight are cancelled.
    pub(super) fn end_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let open = pending.attempts.iter().enumerate().filter(|(_, a)| a.execution == Execution::InFlight);
        let open: Vec<u32> = open.map(|(n, _)| n as u32).collect();
        if self.settings.can_cancel && !pending.is_ended {
            actions.extend(open.iter().map(|&attempt| Action::Cancel { id, attempt }));
        }
        pending.is_ended = true;
        let serial_key = pending.serial_key;
        if open.is_empty() {
            self.requests.remove(&id);
            if let Some(queue) = serial_key.and_then(|key| self.serial_queues.get_mut(&key)) {
                queue.requests.retain(|&queued| queued != id);
            }
            serial_key.into_iter().for_each(|key| self.advance_serial_queue(key, actions));
        }
    }

    pub(super) fn on_attempt_ended(&mut self, end: AttemptEnd, actions: &mut Vec<Action>) {
        let AttemptEnd { id, server, outcome, .. } = end;
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = pending.attempts.get_mut(end.attempt as usize) else { return };
        if attempt.execution != Execution::InFlight || attempt.member.server != server {
            return;
        }
        attempt.execution = classify_outcome(outcome, self.settings.full_may_have_run);
        let (class, is_ended) = (pending.class, pending.is_ended);
        let has_in_flight = pending.attempts.iter().any(|a| a.execution == Execution::InFlight);
        let may_still_run = matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled);
        if let Some(key) = pending.serial_key.filter(|_| may_still_run) {
            let delay = self.settings.serial_key_cooldown;
            self.serial_queues.entry(key).or_default().cooldown_until = self.now + delay;
            actions.push(Action::SetTimer { delay, timer: TimerId(TIMER_COOLDOWN_BASE.wrapping_add(key.0)) });
        }
        self.record_outcome(class, &end, actions);
        if is_ended || end.is_request_done || outcome == Outcome::Ok {
            self.end_request(id, actions);
        } else if !has_in_flight {
            // Resending what may have run or found a server full feeds an overload, so there is a budget.
            let is_free = outcome == Outcome::ConnectFailed;
            let is_allowed = is_free || self.retry_tokens >= 1.0;
            self.retry_tokens -= f64::from(u8::from(is_allowed && !is_free));
            if is_allowed && outcome != Outcome::Moot {
                self.send_or_reject(id, actions);
            } else {
                self.reject(id, actions);
            }
        }
    }
}
