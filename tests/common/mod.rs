//! A balancer under test with a simulated clock, and builders for the values of its interface.
#![allow(dead_code)]

use woodgap::*;

/// One second in the unit of the balancer's clock.
pub const SECOND: Micros = 1_000_000;

/// A class with these semantics.
pub fn class(semantics: Semantics) -> Class {
    Class {
        aim: 500_000,
        deadline: 2 * SECOND,
        points: 1.0,
        late_share: 0.2,
        semantics,
        is_serial_by_key: false,
    }
}

/// Settings with one class of each kind of semantics: safe, unsafe, deduplicated per cell and deduplicated everywhere.
pub fn settings() -> Settings {
    Settings {
        classes: vec![
            class(Semantics::Safe),
            class(Semantics::Unsafe),
            class(Semantics::Deduplicated { scope: DedupScope::Cell, ttl: SECOND }),
            class(Semantics::Deduplicated { scope: DedupScope::All, ttl: SECOND }),
        ],
        weight_source: WeightSource::Nominal,
        servers_cache_keys: true,
        can_cancel: true,
        allows_concurrent_attempts: true,
        max_attempts: 3,
        start_capacity: 0.2,
        ramp_time: 10 * SECOND,
        cold_overload_multiple: 3.0,
        ..Settings::default()
    }
}

/// A server on a list. Servers alternate between two zones, and four of them share a cell.
pub fn member(server: u32) -> Member {
    Member {
        server: ServerId(server),
        zone: ZoneId(server % 2),
        cell: CellId(u64::from(server / 4)),
        state: ServerState::InService,
        size: 1.0,
        started_at: 0,
    }
}

/// The id of request number `n`.
pub fn request_id(n: u64) -> RequestId {
    let mut bytes = [b'0'; 36];
    bytes[..20].copy_from_slice(format!("{n:020}").as_bytes());
    RequestId(bytes)
}

/// Request number `n` of this class and key.
pub fn request(n: u64, class: usize, key: u64) -> Request {
    Request {
        id: request_id(n),
        time_left: SECOND,
        class: ClassId(class),
        cost: None,
        is_client_retry: false,
        tenant: None,
        key: Some(Key(key)),
    }
}

/// A balancer and the simulated time that is passed to it with each event.
pub struct Node {
    pub balancer: Balancer,
    pub now: Micros,
}

impl Node {
    /// A node that was started with these settings and this list.
    pub fn new(settings: Settings, members: Vec<Member>) -> Self {
        let mut node = Node { balancer: Balancer::new(settings, 1), now: 100 * SECOND };
        node.handle_event(Event::Sync { kind: SyncKind::Cached, members });
        node
    }

    /// A node with the usual settings and this many servers.
    pub fn with_servers(servers: u32) -> Self {
        Node::new(settings(), (0..servers).map(member).collect())
    }

    /// Passes an event to the balancer and returns its actions.
    pub fn handle_event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.on_event(self.now, event, &mut actions);
        actions
    }

    /// Submits request number `n` of this class and key.
    pub fn submit(&mut self, n: u64, class: usize, key: u64) -> Vec<Action> {
        self.handle_event(Event::Request(request(n, class, key)))
    }

    /// Submits a request and returns the server that it was sent to.
    pub fn route(&mut self, n: u64, class: usize, key: u64) -> ServerId {
        let actions = self.submit(n, class, key);
        sent_server(&actions).unwrap_or_else(|| panic!("not sent: {actions:?}"))
    }

    /// Reports the outcome of an attempt after 20 ms.
    pub fn end_attempt(&mut self, n: u64, attempt: u32, server: ServerId, outcome: Outcome) -> Vec<Action> {
        self.end_attempt_after(n, attempt, server, outcome, 20_000)
    }

    /// Reports the outcome of an attempt after the time spent on it.
    pub fn end_attempt_after(
        &mut self,
        n: u64,
        attempt: u32,
        server: ServerId,
        outcome: Outcome,
        elapsed: Micros,
    ) -> Vec<Action> {
        let (id, is_request_done) = (request_id(n), outcome == Outcome::Ok);
        self.handle_event(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            server,
            outcome,
            elapsed,
            is_request_done,
            load_report: vec![],
        }))
    }

    /// Passes a list to the balancer.
    pub fn sync(&mut self, kind: SyncKind, members: Vec<Member>) -> Vec<Action> {
        self.handle_event(Event::Sync { kind, members })
    }

    /// Advances the clock in steps of 100 ms, and fires the timer of the balancer's periodic sweep at each step.
    pub fn advance_time(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.now += 100_000;
            self.handle_event(Event::TimerExpired(TimerId(1)));
        }
    }
}

/// The server of the first attempt among the actions.
pub fn sent_server(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|action| match action {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

/// Whether the actions refuse a request.
pub fn is_refused(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Refuse { .. }))
}

/// Whether the actions fail a request.
pub fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail { .. }))
}
