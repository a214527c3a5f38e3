//! Runs the requests of serial classes that share a key one at a time and in order. A request blocks its key
//! until none of its attempts is in flight, so a silent server blocks its keys: waiting requests are refused
//! while their clients can still be served elsewhere.

use super::*;

/// The unfinished requests of a key in the order of their arrival. Only the first may be sent.
#[derive(Default)]
pub(super) struct SerialQueue {
    pub(super) requests: VecDeque<RequestId>,
    /// Time until which an attempt of an earlier request may still be running.
    pub(super) cooldown_until: Micros,
}

impl Balancer {
    /// Estimates how long a request must wait for its serial key; `None` if it may be sent now.
    pub(super) fn estimate_serial_wait(&self, id: RequestId) -> Option<Micros> {
        let pending = &self.requests[&id];
        let queue = self.serial_queues.get(&pending.serial_key?)?;
        let position = queue.requests.iter().position(|&queued| queued == id)?;
        let cooldown = queue.cooldown_until.saturating_sub(self.now);
        let is_next = position == 0 && (cooldown == 0 || !pending.attempts.is_empty());
        let mean_us = self.class_stats[pending.class].mean_us as Micros;
        (!is_next).then(|| cooldown + position as Micros * mean_us)
    }

    /// Whether a waiting request may still be answered within its aim, and a sweep still follows in time to
    /// refuse it if not.
    pub(super) fn is_worth_waiting(&self, pending: &PendingRequest, wait: Micros) -> bool {
        let answered_at = self.now + wait + self.class_stats[pending.class].mean_us as Micros;
        answered_at < pending.full_worth_until && self.now + 2 * SWEEP_PERIOD_US < pending.deadline
    }

    /// Handles the first waiting request of a key, which may be sent unless the key cools down, and removes
    /// the queue of an idle key.
    pub(super) fn advance_serial_queue(&mut self, key: Key, actions: &mut Vec<Action>) {
        let Some(queue) = self.serial_queues.get(&key) else { return };
        match queue.requests.front() {
            Some(&id) if self.requests[&id].attempts.is_empty() => self.send_if_possible(id, actions),
            None if self.now >= queue.cooldown_until => drop(self.serial_queues.remove(&key)),
            _ => {}
        }
    }

    /// Sends, keeps or refuses each waiting request, given the present state of its key.
    pub(super) fn recheck_waiting_requests(&mut self, actions: &mut Vec<Action>) {
        let ids: Vec<_> = self.serial_queues.values().flat_map(|q| q.requests.iter().copied()).collect();
        for id in ids {
            if self.requests.get(&id).is_some_and(|p| p.attempts.is_empty()) {
                self.send_if_possible(id, actions);
            }
        }
    }
}
