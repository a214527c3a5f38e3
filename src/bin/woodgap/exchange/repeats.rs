//! Tells a late second copy of an earlier response from the response to the open request.
//!
//! A second copy that arrives after the next request was sent on its connection is read as the response to that
//! request. Nothing in it names its request; what gives it away is that it repeats an earlier response of the same
//! connection. Servers may also answer different requests alike, so a repeat is only a doubt: the node waits for a
//! further response before it uses a repeated one. A body that several connections have brought is no doubt, because a
//! copy comes on the connection of its original, and each wait in vain halves the next one for its class.
//!
//! No I/O and no clock: the caller waits.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use woodgap::ClassId;
use xxhash_rust::xxh3::xxh3_64;

/// The most responses of a connection that are remembered.
const MAX_RECENT_RESPONSES: usize = 4;
/// The number of bodies of which is remembered whether several connections have brought them.
const SEEN_BODIES: usize = 1024;
/// The wait for a further response is this many times the time of the slowest response of the class, and at most half
/// of the time that the request has left.
const WAIT_FACTOR: u32 = 2;
/// The shortest wait that is not halved yet.
const MIN_WAIT: Duration = Duration::from_millis(250);
/// After this many waits in vain a repeated response of the class is used at once.
const MAX_HALVINGS: u32 = 6;

/// The request that a response has to answer.
#[derive(Clone, Copy, Debug)]
pub struct RequestKey {
    /// `None` for a probe, whose responses are usually all alike.
    class: Option<ClassId>,
    /// The hash of the client's id for it.
    id: u64,
}

impl RequestKey {
    /// A request of a class, or a probe, with the id that the client gave it.
    pub fn new(class: Option<ClassId>, id: &[u8]) -> Self {
        RequestKey { class, id: xxh3_64(id) }
    }
}

/// A response with which its request can be served.
#[derive(Clone, Copy, Debug)]
pub struct ResponseKey {
    request: RequestKey,
    /// The hash of the body.
    body: u64,
    is_empty: bool,
}

impl ResponseKey {
    /// The response to a request, with its body.
    pub fn new(request: RequestKey, body: &[u8]) -> Self {
        ResponseKey { request, body: xxh3_64(body), is_empty: body.is_empty() }
    }
}

/// A response that a connection has brought. Of those with an empty body only the responses to probes are kept: others are
/// alike for most requests.
#[derive(Clone, Copy)]
struct BroughtResponse {
    /// The hash of the client's id for its request.
    request: u64,
    /// The hash of its body.
    body: u64,
}

/// The last responses of a connection.
pub struct ConnectionResponses {
    connection: u64,
    recent: VecDeque<BroughtResponse>,
}

/// A body that was seen.
#[derive(Clone, Copy, Default)]
struct SeenBody {
    body: u64,
    /// The connection that has brought it; `None` if several have.
    connection: Option<u64>,
}

/// What is known of the responses of a class.
#[derive(Clone, Copy, Default)]
struct ClassResponses {
    /// The longest time that a response took.
    slowest: Duration,
    /// How often the wait for a further response was halved.
    halvings: u32,
}

/// What a node knows of repeated responses.
pub struct RepeatDetector {
    last_connection: Cell<u64>,
    /// By the hash of the body; a body takes the place of another one with the same index.
    seen: RefCell<Vec<SeenBody>>,
    classes: RefCell<HashMap<ClassId, ClassResponses>>,
}

impl Default for RepeatDetector {
    fn default() -> Self {
        RepeatDetector {
            last_connection: Cell::new(0),
            seen: RefCell::new(vec![SeenBody::default(); SEEN_BODIES]),
            classes: RefCell::default(),
        }
    }
}

impl RepeatDetector {
    /// The responses of a new connection: none yet.
    pub fn open_connection(&self) -> ConnectionResponses {
        self.last_connection.set(self.last_connection.get() + 1);
        ConnectionResponses {
            connection: self.last_connection.get(),
            recent: VecDeque::with_capacity(MAX_RECENT_RESPONSES),
        }
    }

    /// How long to wait for a further response before this one is used. `None` if it is beyond doubt.
    pub fn doubt(
        &self,
        responses: &ConnectionResponses,
        response: &ResponseKey,
        time_left: Duration,
    ) -> Option<Duration> {
        let ResponseKey { request, body, .. } = *response;
        let class = request.class?;
        let repeats = |brought: &BroughtResponse| brought.body == body && brought.request != request.id;
        if !responses.recent.iter().any(repeats) || self.is_brought_by_several(body) {
            return None;
        }
        let ClassResponses { slowest, halvings } =
            self.classes.borrow().get(&class).copied().unwrap_or_default();
        let wait = (slowest * WAIT_FACTOR).max(MIN_WAIT).min(time_left / 2);
        (halvings < MAX_HALVINGS).then(|| wait / (1 << halvings))
    }

    /// Records a response that is used.
    pub fn record_use(&self, responses: &mut ConnectionResponses, response: &ResponseKey) {
        let ResponseKey { request, body, is_empty } = *response;
        let is_probe = request.class.is_none();
        if is_empty && !is_probe {
            return;
        }
        if responses.recent.len() == MAX_RECENT_RESPONSES {
            responses.recent.pop_front();
        }
        responses.recent.push_back(BroughtResponse { request: request.id, body });
        if is_probe {
            // All connections bring the same ones. That makes them no common responses to requests.
            return;
        }
        let mut seen = self.seen.borrow_mut();
        let slot = &mut seen[slot_of(body)];
        match slot.connection {
            _ if slot.body != body => *slot = SeenBody { body, connection: Some(responses.connection) },
            Some(connection) if connection != responses.connection => slot.connection = None,
            _ => {}
        }
    }

    /// Records how long the response to a request took.
    pub fn record_time(&self, request: &RequestKey, time: Duration) {
        self.change_class(request, |class| class.slowest = class.slowest.max(time));
    }

    /// Records that a further response came: the repeated one was a second copy.
    pub fn record_copy(&self, request: &RequestKey) {
        self.change_class(request, |class| class.halvings = 0);
    }

    /// Records that no further response came: the repeated one belongs to its request.
    pub fn record_genuine(&self, request: &RequestKey) {
        self.change_class(request, |class| class.halvings = MAX_HALVINGS.min(class.halvings + 1));
    }

    fn change_class(&self, request: &RequestKey, change: impl FnOnce(&mut ClassResponses)) {
        if let Some(class) = request.class {
            change(self.classes.borrow_mut().entry(class).or_default());
        }
    }

    fn is_brought_by_several(&self, body: u64) -> bool {
        let slot = self.seen.borrow()[slot_of(body)];
        slot.body == body && slot.connection.is_none()
    }
}

fn slot_of(body: u64) -> usize {
    body as usize % SEEN_BODIES
}

#[cfg(test)]
mod tests;
