//! Which node acted on which version of the list, and what follows for one that stays behind.
//!
//! The guarantees, kept by [`Audit::apply`] whatever events come in whatever order:
//!
//! 1. A verdict rests on evidence that is named with it: a node's own report, or what an app server's agent saw of
//!    attempts. Silence of either is no evidence.
//! 2. Evidence counts from a time *after* which it surely was so ([`Stamp`]), so neither a slow network nor a
//!    clock can make a sound node look late.
//! 3. Never more than the configured part of a pool or of a zone is out, counted with what drains or is dead.
//!    Where more looks late at once, the cause is shared: the ladder stops and says so.
//! 4. The floor never falls but by an operator's word, never passes what a sound node still rests on, and never
//!    passes a revision after which nodes crash or which they refuse.
//! 5. The history is bounded, and chained by hash: a line that is changed or missing shows.
//!
//! Time is the registry's log time in milliseconds: it comes with the log, stands still while there is no leader,
//! and is the same at every replica. `docs/audit.md` has the ladder with its times.

mod config;
mod event;
mod floor;
mod history;
mod ladder;
mod node;
mod questions;
mod revisions;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

pub use config::Config;
pub use event::{Event, Report, Sight, Stamp, Word};
pub use history::{verify, Broken, Happening, History, Line};
pub use node::{Admission, Node, Proof, Step, Witness};
pub use questions::{Acted, Spread, Standing};
pub use revisions::{AfterDrain, Revisions};

/// Milliseconds of log time.
pub type Ms = u64;
/// A version of the list: the log's index of its last change.
pub type Revision = u64;

/// The audit's whole state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Audit {
    config: Config,
    now: Ms,
    nodes: BTreeMap<String, Node>,
    revisions: Revisions,
    /// Attempts decided below it are refused.
    floor: Revision,
    /// The floor does not reach this revision: after it nodes crashed, or refused it.
    halted: Option<Revision>,
    /// Where more is behind than the cap allows: the pool or zone, and since when.
    shared: BTreeMap<String, Ms>,
    history: History,
}

impl Audit {
    /// An audit of nothing yet.
    pub fn new(config: Config) -> Audit {
        let history = History::new(config.history);
        Audit {
            revisions: Revisions::new(config.revisions, config.refused),
            config,
            now: 0,
            nodes: BTreeMap::new(),
            floor: 0,
            halted: None,
            shared: BTreeMap::new(),
            history,
        }
    }

    /// Takes one event at a time of the log; an earlier time than the last is taken as the last.
    pub fn apply(&mut self, now: Ms, event: &Event) {
        self.now = self.now.max(now);
        match event {
            Event::Committed { revision, unix_ms } => self.committed(*revision, *unix_ms),
            Event::Joined { node, pool, zone, incarnation, program, config } => {
                self.joined(node, pool, zone, *incarnation, program, config);
            }
            Event::Left { node } => self.left(node),
            Event::Lost { node } => self.lost(node),
            Event::Drains { node, drains } => self.drains(node, *drains),
            Event::Reported(report) => self.reported(report),
            Event::Seen { server, sights } => {
                sights.iter().take(self.config.sights).for_each(|sight| self.seen(server, sight));
            }
            Event::Told { node, told, held } => self.told(node, *told, *held),
            Event::Tick => self.tick(),
            Event::Word { who, why, word } => self.word(who, why, word),
        }
    }

    /// The floor: what is decided below it must not run.
    pub fn floor(&self) -> Revision {
        self.floor
    }

    /// The revision that the floor does not reach, where one is halted.
    pub fn halted(&self) -> Option<Revision> {
        self.halted
    }

    /// The pools and zones where too many are behind at once, with since when.
    pub fn shared(&self) -> &BTreeMap<String, Ms> {
        &self.shared
    }

    /// The nodes by name.
    pub fn nodes(&self) -> &BTreeMap<String, Node> {
        &self.nodes
    }

    /// What happened, chained.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// The time of the last event.
    pub fn now(&self) -> Ms {
        self.now
    }

    fn note(&mut self, what: Happening) {
        self.history.push(self.now, what);
    }
}
