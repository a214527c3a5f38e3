//! Serial classes: their requests that share a key run one at a time and in order. A request holds its key
//! until none of its attempts is in flight, so a silent server blocks its keys: waiting requests are refused
//! while their clients can still be served elsewhere.

use super::*;

/// The unfinished requests of a key in the order of their arrival. Only the first may be sent.
#[derive(Default)]
pub(super) struct SerialQueue {
    pub(super) requests: VecDeque<RequestId>,
    /// Until then an attempt of an earlier request may still be running.
    pub(super) cooldown_until: Micros,
}

impl Balancer {
    /// About how long a request must wait before it may be sent; `None` if it may be sent now.
    pub(super) fn serial_wait(&self, id: RequestId) -> Option<Micros> {
        let pending = &self.requests[&id];
        let queue = self.serial_queues.get(&pending.serial_key?)?;
        let position = queue.requests.iter().position(|&queued| queued == id)?;
        let cooldown = queue.cooldown_until.saturating_sub(self.now);
        let may_send = position == 0 && (cooldown == 0 || !pending.attempts.is_empty());
        (!may_send).then(|| cooldown + position as u64 * self.class_stats[pending.class].mean_us as Micros)
    }

    /// Whether a waiting request may still be answered within its aim, with a sweep in time to refuse it.
    pub(super) fn is_worth_waiting(&self, pending: &PendingRequest, wait: Micros) -> bool {
        let answered_at = self.now + wait + self.class_stats[pending.class].mean_us as Micros;
        answered_at < pending.aim_until && self.now + 2 * SWEEP_PERIOD_US < pending.deadline
    }

    /// Sends the first waiting request of a key unless the key cools down, and removes an idle key.
    pub(super) fn advance_serial_queue(&mut self, key: Key, actions: &mut Vec<Action>) {
        let Some(queue) = self.serial_queues.get(&key) else { return };
        match queue.requests.front() {
            Some(&id) if self.requests[&id].attempts.is_empty() => self.send_or_reject(id, actions),
            None if self.now >= queue.cooldown_until => drop(self.serial_queues.remove(&key)),
            _ => {}
        }
    }

    /// Sends, keeps or refuses each waiting request by what holds now.
    pub(super) fn recheck_waiting_requests(&mut self, actions: &mut Vec<Action>) {
        let ids: Vec<_> = self.serial_queues.values().flat_map(|q| q.requests.iter().copied()).collect();
        for id in ids {
            if self.requests.get(&id).is_some_and(|p| p.attempts.is_empty()) {
                self.send_or_reject(id, actions);
            }
        }
    }
}
