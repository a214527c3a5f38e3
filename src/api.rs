//! The interface of the policy: the events that a host feeds it and the actions that it returns.
//!
//! All times are in microseconds. The clock may start at any value and must not run backwards: a time
//! earlier than the latest one seen is replaced by the latest one seen.
//!
//! Invalid input never panics. These events are ignored: the end of an attempt that was never sent, an event
//! for a request that is unknown or has ended, a second request under an id that is still in use. A request
//! whose class is not in the settings is refused; a tenant that is not in the settings has no quota.

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// A server's id in discovery. It stays the same when the server's process restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// A request's id, opaque to the policy. The host pads shorter ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub [u8; 36]);

/// A request's routing key, below 2^53: requests with the same key go to the same server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);

/// Index of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// Index of a tenant in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);

/// A zone, numbered by the host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u32);

/// A cell: a group of servers that share what they have cached for each key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u64);

/// A timer's id, chosen by the policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(pub u64);

/// The servers that drop a repeat of a deduplicated request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every server.
    All,
    /// The servers in the zone of the first attempt.
    Zone,
    /// The servers in the cell of the first attempt.
    Cell,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Semantics {
    /// May be repeated without limit.
    Safe,
    /// Carries an idempotency key (`keyed` in the settings): the servers in `scope` drop repeats for `ttl`,
    /// counted from the first attempt that may have run.
    Deduplicated {
        /// The servers that drop repeats.
        scope: DedupScope,
        /// How long they drop them.
        ttl: Micros,
    },
    /// Must not run twice.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Latency target: an answer within this time earns the request's full worth.
    pub aim: Micros,
    /// How long a client waits in all, over all of its tries.
    pub deadline: Micros,
    /// Worth of a request, or of a unit of its work (see [`WorthBy`]).
    pub points: f64,
    /// Fraction of the worth that an answer after the aim still earns.
    pub late_share: f64,
    /// Whether a request may run more than once.
    pub semantics: Semantics,
    /// The class is serial: requests of this and other serial classes that share a key run one at a time, in
    /// the order of their arrival.
    pub is_serial_by_key: bool,
}

/// A tenant and its quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests per second that are within the quota, over all nodes; 0 means no limit.
    pub quota_per_s: f64,
}

/// What [`Member::size`] means.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightSource {
    /// The size is ignored: every server counts as 1.
    #[default]
    Off,
    /// The registered size.
    Nominal,
    /// An approximation of the registered size.
    Rough,
    /// The size divided by an earlier load of the server; it differs from list to list.
    Live,
}

/// The unit that earns [`Class::points`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorthBy {
    /// Each request.
    #[default]
    Request,
    /// Each unit of work.
    Work,
}

/// How a node gets the server list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes arrive without a subscription.
    #[default]
    Push,
    /// Changes arrive only while the node is subscribed.
    Subscribe,
}

/// A node's settings. Start from [`Settings::default`] and set what is known.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of nodes, this one included.
    pub group_size: u32,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's quota, as a fraction of its normal worth.
    pub over_quota_worth: f64,
    /// The unit that earns points.
    pub worth_by: WorthBy,
    /// What a server's size means.
    pub weight_source: WeightSource,
    /// How the server list arrives.
    pub discovery_mode: DiscoveryMode,
    /// Servers cache per key: a request costs less work on a server that served its key recently.
    pub servers_cache_keys: bool,
    /// Attempts may be cancelled.
    pub can_cancel: bool,
    /// Servers may be probed.
    pub can_probe: bool,
    /// Two attempts of a request may be in flight at the same time.
    pub allows_concurrent_attempts: bool,
    /// Most attempts of a request.
    pub max_attempts: u32,
    /// Refusals tell clients how long to wait before they try again.
    pub sends_retry_after: bool,
    /// The longest such wait that clients respect.
    pub max_retry_after: Micros,
    /// Points deducted for one new connection per first attempt.
    pub handshake_deduction: f64,
    /// Points deducted for a hundred open connections per server.
    pub connection_deduction: f64,
    /// Capacity of a server that has just started, as a fraction of its full capacity.
    pub start_capacity: f64,
    /// How long a started server takes to reach its full capacity; until then it is cold.
    pub ramp_time: Micros,
    /// A cold server breaks down when it is sent more than this multiple of its present capacity.
    pub cold_overload_multiple: f64,
    /// Longest time that a node may be without a subscription and without a request for one.
    pub max_unsubscribed_time: Micros,
    /// How long the serial classes send no further request of a key after an attempt for that key that may
    /// still be running.
    pub serial_key_cooldown: Micros,
    /// A server may answer [`Outcome::Full`] for an attempt that has run.
    pub full_may_have_run: bool,
    /// Index of the field of a server's load report that holds the fraction of its cores in use.
    pub utilization_index: Option<usize>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            group_size: 1,
            classes: Vec::new(),
            tenants: Vec::new(),
            over_quota_worth: 1.0,
            worth_by: WorthBy::Request,
            weight_source: WeightSource::Off,
            discovery_mode: DiscoveryMode::Push,
            servers_cache_keys: false,
            can_cancel: false,
            can_probe: false,
            allows_concurrent_attempts: false,
            max_attempts: 1,
            sends_retry_after: false,
            max_retry_after: 0,
            handshake_deduction: 0.0,
            connection_deduction: 0.0,
            start_capacity: 1.0,
            ramp_time: 0,
            cold_overload_multiple: 1.0,
            max_unsubscribed_time: 10_000_000,
            serial_key_cooldown: 0,
            full_may_have_run: false,
            utilization_index: None,
        }
    }
}

/// A server's state in discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// The process is running and takes requests.
    InService,
    /// The process is draining: it completes its requests and takes no new ones.
    Terminating,
    /// The server was removed.
    Terminated,
}

/// A server on the list.
#[derive(Clone, Debug)]
pub struct Member {
    /// The server's id.
    pub server: ServerId,
    /// The server's zone.
    pub zone: ZoneId,
    /// The server's cell.
    pub cell: CellId,
    /// The server's state.
    pub state: ServerState,
    /// The server's weight relative to other servers.
    pub size: f64,
    /// When the server's process last started; 0 means long ago.
    pub started_at: Micros,
}

/// What an [`Event::Sync`] contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncKind {
    /// The entries that changed.
    Delta,
    /// The complete list.
    Full,
    /// The list that this node last had, which may be out of date.
    Cached,
    /// Nothing: a call failed or the subscription broke. The known list stays in use.
    Failed,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request's id, never used twice.
    pub id: RequestId,
    /// Time left until the client gives up.
    pub time_left: Micros,
    /// The request's class.
    pub class: ClassId,
    /// Expected work, if known.
    pub cost: Option<Micros>,
    /// The client marks the request as a retry of an earlier one.
    pub is_client_retry: bool,
    /// The request's tenant, if the site has tenants.
    pub tenant: Option<TenantId>,
    /// The request's routing key, if it has one.
    pub key: Option<Key>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server answered.
    Ok,
    /// The server answered with an error; the attempt may have run.
    Error,
    /// The server rejected the attempt because it is full; the attempt did not run, unless
    /// [`Settings::full_may_have_run`] is set.
    Full,
    /// No answer arrived in time; the attempt may still be running.
    Timeout,
    /// No connection was made; the attempt did not run.
    ConnectFailed,
    /// The connection broke; the attempt may have run.
    Reset,
    /// The attempt was cancelled; it may have run.
    Cancelled,
    /// The attempt was never sent.
    Moot,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// The request.
    pub id: RequestId,
    /// The attempt's number within the request, from 0.
    pub attempt: u32,
    /// The server that the attempt was sent to.
    pub server: ServerId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time since the attempt was sent.
    pub elapsed: Micros,
    /// The request has ended: no final answer is due any more.
    pub is_request_done: bool,
    /// The server's load report, its fields in the order of the wire; the policy reads the field at
    /// [`Settings::utilization_index`].
    pub load_report: Vec<f64>,
}

/// An event that a host feeds to the policy.
#[derive(Clone, Debug)]
pub enum Event {
    /// A server list or a change of it. The first one, of kind [`SyncKind::Cached`], starts the node.
    Sync {
        /// What `members` contains.
        kind: SyncKind,
        /// The entries.
        members: Vec<Member>,
    },
    /// A request arrived. The policy owes it exactly one final answer, unless the request ends first.
    Request(Request),
    /// An attempt ended. Each [`Action::Send`] is followed by exactly one such event.
    AttemptEnded(AttemptEnd),
    /// The host began to stream the attempt's answer to the client; no other attempt can answer the request.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// The request ended without a final answer from the policy, for example because its client disconnected.
    RequestEnded(RequestId),
    /// A probe ended.
    ProbeEnded {
        /// The server.
        server: ServerId,
        /// How the probe ended.
        outcome: Outcome,
        /// Time since the probe was sent.
        elapsed: Micros,
        /// The server's load report.
        load_report: Vec<f64>,
    },
    /// A timer expired.
    TimerExpired(TimerId),
    /// A message from another node arrived.
    PeerMessage {
        /// The sender.
        from: u32,
        /// The message.
        data: Vec<u8>,
    },
}

/// An action that the host carries out. Actions are carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt. The attempts of a request are numbered from 0 in the order of these actions.
    Send {
        /// The request.
        id: RequestId,
        /// The server to send the attempt to.
        server: ServerId,
        /// The attempt's timeout.
        timeout: Micros,
        /// If set, the attempt must be sent within this time or not at all: a repeat that is sent after the
        /// `ttl` of [`Semantics::Deduplicated`] may run twice.
        send_within: Option<Micros>,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Final answer: the request is refused, and the client may safely send it again.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should wait before it tries again; 0 means that it is not told.
        retry_after: Micros,
    },
    /// Final answer: the request failed and may have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Probe a server.
    Probe(ServerId),
    /// Close the idle connections to a server.
    CloseIdleConnections(ServerId),
    /// Send [`Event::TimerExpired`] after this time, in the first batch of events at or after it.
    SetTimer {
        /// Time from now.
        delay: Micros,
        /// The id that the event returns.
        timer: TimerId,
    },
    /// Subscribe to changes of the server list.
    Subscribe,
    /// Send a message to another node.
    SendMessage {
        /// The receiver; `None` means all nodes.
        peer: Option<u32>,
        /// The message, at most 256 bytes.
        data: Vec<u8>,
    },
    /// Write a line to the log.
    Log(String),
}
