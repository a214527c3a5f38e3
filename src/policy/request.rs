//! Handles a request from its arrival to its only final answer. No attempt is sent after that answer.

use super::*;

/// How long refused clients are told to wait. A longer wait eases an overload and delays clients that could
/// be served sooner.
const BACKOFF_US: Micros = 20_000;
/// If a late answer earns nothing, a request may wait for its aim less the aim divided by this.
const AIM_MARGIN_DIVISOR: Micros = 32;

/// An attempt that was sent.
pub(super) struct Attempt {
    pub(super) member: Member,
    pub(super) sent_at: Micros,
    pub(super) execution: Execution,
}

/// A request without a final answer, or one with attempts in flight after its final answer.
pub(super) struct PendingRequest {
    pub(super) class: usize,
    /// The slot from which on the owners are scanned for a server.
    pub(super) slot: usize,
    pub(super) key: Option<Key>,
    /// The key of a request whose class is serial by key.
    pub(super) serial_key: Option<Key>,
    /// An answer up to this time earns the full worth of the request.
    pub(super) full_worth_until: Micros,
    pub(super) deadline: Micros,
    pub(super) attempts: Vec<Attempt>,
    /// The request needs no final answer any more.
    pub(super) is_ended: bool,
}

impl Balancer {
    /// Starts a new request: sends its first attempt, lets it wait for its serial key, or refuses it.
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
        let max_wait =
            if class.late_share > 0.0 { class.deadline } else { class.aim - class.aim / AIM_MARGIN_DIVISOR };
        let pending = PendingRequest {
            class: request.class.0,
            slot,
            key: request.key,
            serial_key,
            full_worth_until: self.now + class.aim.min(request.time_left),
            deadline: self.now + request.time_left.min(max_wait),
            attempts: Vec::new(),
            is_ended: false,
        };
        self.requests.insert(id, pending);
        if let Some(key) = serial_key {
            self.serial_queues.entry(key).or_default().requests.push_back(id);
        }
        if self.exceeds_listed_capacity(slot) || self.should_shed(request.class.0, slot, is_over_quota) {
            self.refuse_or_fail(id, actions);
        } else {
            self.send_if_possible(id, actions);
        }
    }

    /// Sends an attempt if possible. If not, the request waits for its serial key, or is refused or failed.
    pub(super) fn send_if_possible(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        match self.estimate_serial_wait(id) {
            Some(wait) if self.is_worth_waiting(&self.requests[&id], wait) => return,
            Some(_) => return self.refuse_or_fail(id, actions),
            None => {}
        }
        let chosen = if self.may_send(&self.requests[&id]) { self.choose_server(id) } else { None };
        let Some(index) = chosen else { return self.refuse_or_fail(id, actions) };
        let now = self.now;
        let timeout = self.choose_attempt_timeout(&self.requests[&id]);
        let send_within = self.dedup_window_end(&self.requests[&id]).map(|end| end - now);
        let server = &mut self.servers[index];
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
    fn refuse_or_fail(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if self.may_refuse(&self.requests[&id]) {
            // A client that is not told to wait retries at once and meets the same load. If a late answer
            // earns nothing, a retry comes too late to earn anything: its client waits the whole deadline,
            // provided that clients respect so long a wait.
            let class = &self.settings.classes[self.requests[&id].class];
            let is_retry_worthless =
                class.late_share == 0.0 && self.settings.max_retry_after >= class.deadline;
            let wait = if is_retry_worthless {
                class.deadline
            } else {
                BACKOFF_US.min(self.settings.max_retry_after)
            };
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
        let attempts = pending.attempts.iter().enumerate();
        let in_flight = attempts.filter(|(_, attempt)| attempt.execution == Execution::InFlight);
        let in_flight: Vec<u32> = in_flight.map(|(number, _)| number as u32).collect();
        if self.settings.can_cancel && !pending.is_ended {
            actions.extend(in_flight.iter().map(|&attempt| Action::Cancel { id, attempt }));
        }
        pending.is_ended = true;
        let serial_key = pending.serial_key;
        if in_flight.is_empty() {
            self.requests.remove(&id);
            if let Some(queue) = serial_key.and_then(|key| self.serial_queues.get_mut(&key)) {
                queue.requests.retain(|&queued| queued != id);
            }
            if let Some(key) = serial_key {
                self.advance_serial_queue(key, actions);
            }
        }
    }

    /// Records the outcome of an attempt, then ends the request, sends another attempt, or refuses or fails
    /// the request.
    pub(super) fn on_attempt_ended(&mut self, end: AttemptEnd, actions: &mut Vec<Action>) {
        let AttemptEnd { id, server, outcome, .. } = end;
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = pending.attempts.get_mut(end.attempt as usize) else { return };
        if attempt.execution != Execution::InFlight || attempt.member.server != server {
            return;
        }
        attempt.execution = classify_outcome(outcome, self.settings.full_may_have_run);
        let (class, is_ended) = (pending.class, pending.is_ended);
        let is_any_in_flight = pending.attempts.iter().any(|a| a.execution == Execution::InFlight);
        let may_still_run = matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled);
        if let Some(key) = pending.serial_key.filter(|_| may_still_run) {
            let delay = self.settings.serial_key_cooldown;
            self.serial_queues.entry(key).or_default().cooldown_until = self.now + delay;
            actions.push(Action::SetTimer { delay, timer: TimerId(TIMER_COOLDOWN_BASE.wrapping_add(key.0)) });
        }
        self.record_outcome(class, &end, actions);
        if is_ended || end.is_request_done || outcome == Outcome::Ok {
            self.end_request(id, actions);
        } else if !is_any_in_flight {
            // A further attempt adds to an overload if the last one may have run or met a full server, so it
            // costs a retry token. After a failed connection it costs none.
            let costs_token = outcome != Outcome::ConnectFailed;
            let is_allowed = !costs_token || self.retry_tokens >= 1.0;
            if is_allowed && costs_token {
                self.retry_tokens -= 1.0;
            }
            if is_allowed && outcome != Outcome::Moot {
                self.send_if_possible(id, actions);
            } else {
                self.refuse_or_fail(id, actions);
            }
        }
    }
}
