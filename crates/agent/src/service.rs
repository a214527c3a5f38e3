//! The agent's loop: the registry's lines, the node's watches, what is passed on.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use client::Client;
use registry::{Command, Expect, Member, Role};
use serde_json::{json, Value};
use tokio::sync::{mpsc, oneshot};

use crate::config::Config;
use crate::list::{List, Took};
use crate::list_cache;
use crate::reports::{Acted, Seen, Words};

/// A node is owed an empty line every 2 s.
const BEAT: Duration = Duration::from_millis(1_900);
/// How often the loop looks at what is due.
const LOOK: Duration = Duration::from_millis(50);
/// Lines that wait for one watch, and watches.
pub const LINES: usize = 64;
const WATCHES: usize = 64;

pub enum Msg {
    /// A line of the registry's watch.
    Line(Value),
    /// A watch of the node's.
    Watch {
        index: u64,
        tx: mpsc::Sender<Bytes>,
        opened: oneshot::Sender<bool>,
    },
    Whole(oneshot::Sender<Option<Value>>),
    Acted(Acted, oneshot::Sender<Value>),
    Seen(Seen, oneshot::Sender<Value>),
    Directives(oneshot::Sender<Value>),
    /// What was passed on has arrived, or not.
    Passed(bool),
    /// The members that the registry has as they are.
    Renewed(Vec<Member>),
}

/// How the registry's watch is to go on.
enum Move {
    On,
}

struct Open {
    sent: u64,
    last: Instant,
    tx: mpsc::Sender<Bytes>,
}

pub struct Service {
    config: Config,
    client: Arc<Client>,
    list: List,
    /// The newest log time that the registry told.
    clock: u64,
    directives: Value,
    open: Vec<Open>,
    /// The node's next watch begins with the whole list, whatever it has.
    whole: bool,
    words: Words,
    /// What is under way to the registry, with its request id: asked again as it is until it has arrived.
    passing: Option<(String, Vec<audit::Event>)>,
    under_way: bool,
    members: Vec<Member>,
    /// Those that the registry has not been told of as they are.
    fresh: BTreeSet<String>,
    renewing: bool,
    passed: Instant,
    renewed: Option<Instant>,
    /// The step of the ladder that was carried out last, by node.
    done: BTreeMap<String, (String, u64)>,
    moves: mpsc::Sender<Move>,
    tx: mpsc::Sender<Msg>,
    /// The list has changed since it was last written.
    dirty: bool,
}

impl Service {
    pub fn new(config: Config, tx: mpsc::Sender<Msg>) -> anyhow::Result<Service> {
        let list = match list_cache::read(&config.cache) {
            Ok(list) => list.unwrap_or_default(),
            Err(error) => {
                tracing::warn!(error = format!("{error:#}"), "starts without its list");
                List::default()
            }
        };
        let client = Arc::new(Client::new(config.registry.clone())?);
        let (moves, orders) = mpsc::channel(4);
        let from = Some(list.revision).filter(|&revision| revision > 0);
        tokio::spawn(watch(client.watch(from), tx.clone(), orders));
        let members: Vec<Member> =
            config.members.iter().filter(|member| member.role == Role::Server).cloned().collect();
        let fresh = members.iter().map(|member| member.id.clone()).collect();
        Ok(Service {
            client,
            list,
            clock: 0,
            directives: json!({"floor": 0, "nodes": {}}),
            open: Vec::new(),
            whole: false,
            words: Words::default(),
            passing: None,
            under_way: false,
            members,
            fresh,
            renewing: false,
            passed: Instant::now(),
            renewed: None,
            done: BTreeMap::new(),
            moves,
            tx,
            dirty: false,
            config,
        })
    }

    pub async fn run(mut self, mut rx: mpsc::Receiver<Msg>) {
        let mut timer = tokio::time::interval(LOOK);
        timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        loop {
            tokio::select! {
                msg = rx.recv() => match msg {
                    Some(msg) => self.take(msg),
                    None => return,
                },
                _ = timer.tick() => self.look(),
            }
        }
    }

    fn take(&mut self, msg: Msg) {
        match msg {
            Msg::Line(line) => self.line(&line),
            Msg::Watch { index, tx, opened } => {
                self.open.retain(|open| !open.tx.is_closed());
                let room = self.open.len() < WATCHES;
                let _ = opened.send(room);
                if room {
                    let sent = if std::mem::take(&mut self.whole) { 0 } else { index };
                    self.open.push(Open { sent, last: Instant::now(), tx });
                    self.tell(None);
                }
            }
            Msg::Whole(reply) => drop(reply.send((self.list.revision > 0).then(|| self.list.whole()))),
            Msg::Acted(acted, reply) => {
                self.acted(&acted);
                let directive = self.directives["nodes"][&acted.node].clone();
                let admission = directive["admission"].as_str().unwrap_or("full");
                let answer =
                    json!({"clock": self.clock, "floor": self.directives["floor"], "admission": admission});
                let _ = reply.send(answer);
            }
            Msg::Seen(seen, reply) => {
                self.words.seen(&seen, unix_ms(), self.config.sights);
                let _ = reply.send(json!({"clock": self.clock, "floor": self.directives["floor"]}));
            }
            Msg::Directives(reply) => {
                let answer =
                    json!({"clock": self.clock, "held": self.list.revision, "directives": self.directives});
                let _ = reply.send(answer);
            }
            Msg::Passed(arrived) => {
                self.under_way = false;
                if arrived {
                    self.passing = None;
                }
            }
            Msg::Renewed(known) => {
                self.renewing = false;
                for member in known.iter().filter(|member| self.members.contains(member)) {
                    self.fresh.remove(&member.id);
                }
            }
        }
    }

    fn line(&mut self, line: &Value) {
        self.clock = self.clock.max(line["clock"].as_u64().unwrap_or(0));
        let before = self.list.revision;
        if let Took::Changed(change) = self.list.take(line) {
            self.dirty = true;
            self.tell(Some((before, &change)));
            let (told, held) = (self.told(), self.list.revision);
            for node in self.config.members.iter().filter(|member| member.role == Role::Node) {
                self.words.told(&node.id, told, held);
            }
        }
        if line["directives"].is_object() {
            self.directives = line["directives"].clone();
            self.obey();
        }
    }

    /// The newest revision that was written to the node.
    fn told(&self) -> u64 {
        self.open.iter().map(|open| open.sent).max().unwrap_or(0)
    }

    /// Tells the node's watches what they lack. One that has more than the agent waits.
    fn tell(&mut self, change: Option<(u64, &Value)>) {
        let (revision, list) = (self.list.revision, &self.list);
        self.open.retain_mut(|open| {
            if open.sent >= revision {
                return !open.tx.is_closed();
            }
            // The change is enough for one that had all before it.
            let line = change.filter(|&(before, _)| before > 0 && open.sent == before);
            let text = line.map_or_else(|| list.whole(), |(_, line)| line.clone());
            (open.sent, open.last) = (revision, Instant::now());
            open.tx.try_send(Bytes::from(format!("{text}\n"))).is_ok()
        });
    }

    fn acted(&mut self, acted: &Acted) {
        self.words.acted(acted, unix_ms());
        let Some(own) = self.config.members.iter().find(|member| member.id == acted.node) else { return };
        let member = Member {
            incarnation: acted.incarnation,
            program: acted.program.clone(),
            config: acted.config.clone(),
            ..own.clone()
        };
        if !self.members.contains(&member) {
            self.members.retain(|other| other.id != member.id);
            self.fresh.insert(member.id.clone());
            self.members.push(member);
            self.renewed = None;
        }
    }

    fn look(&mut self) {
        self.open.retain_mut(|open| {
            if open.last.elapsed() < BEAT {
                return !open.tx.is_closed();
            }
            open.last = Instant::now();
            open.tx.try_send(Bytes::from_static(b"\n")).is_ok()
        });
        if std::mem::take(&mut self.dirty) {
            let (file, list) = (self.config.cache.clone(), self.list.clone());
            tokio::task::spawn_blocking(move || {
                if let Err(error) = list_cache::write(&file, &list) {
                    tracing::warn!(error = format!("{error:#}"), "the list is not on disk");
                }
            });
        }
        let due = self.passed.elapsed() >= Duration::from_millis(self.config.report_ms);
        if due && !self.under_way {
            self.pass_on();
        }
        let renew = Duration::from_millis(self.config.renew_ms);
        if !self.renewing && self.renewed.is_none_or(|at| at.elapsed() >= renew) && !self.members.is_empty() {
            self.renew();
        }
    }

    /// Passes on what was heard. What did not arrive is asked again under the same id: it may have.
    fn pass_on(&mut self) {
        self.passed = Instant::now();
        if self.passing.is_none() && !self.words.is_empty() {
            self.passing = Some((Client::generate_request_id(), self.words.take()));
        }
        let Some((id, events)) = self.passing.clone() else { return };
        self.under_way = true;
        let (client, tx) = (self.client.clone(), self.tx.clone());
        tokio::spawn(async move {
            let said = client.propose(&id, Command::Audit(events), Duration::from_secs(3)).await;
            if let Err(error) = &said {
                tracing::debug!(%error, "what was heard is not passed on yet");
            }
            // What the registry can't read is not asked again.
            let over = said.is_ok() || matches!(said, Err(client::Error::Rejected(_)));
            let _ = tx.send(Msg::Passed(over)).await;
        });
    }

    /// Registers members that are new or have changed, and says of the others that they are alive: what an operator
    /// has said of one since, as that it drains, stands.
    fn renew(&mut self) {
        (self.renewing, self.renewed) = (true, Some(Instant::now()));
        let (client, tx, fresh) = (self.client.clone(), self.tx.clone(), self.fresh.clone());
        let (members, lease_ms) = (self.members.clone(), Some(self.config.lease_ms));
        tokio::spawn(async move {
            let within = Duration::from_secs(2);
            let (new, old): (Vec<Member>, Vec<Member>) =
                members.into_iter().partition(|member| fresh.contains(&member.id));
            let mut known = old.clone();
            let ids: Vec<String> = old.iter().map(|member| member.id.clone()).collect();
            let gone = match client.propose("", Command::Renew { ids }, within).await {
                Ok(registry::Outcome::Conflict { .. }) => old,
                Ok(_) => Vec::new(),
                Err(error) => {
                    tracing::debug!(%error, "not renewed");
                    Vec::new()
                }
            };
            let puts = new.into_iter().map(|member| (member, Expect::Any));
            for (member, expect) in puts.chain(gone.into_iter().map(|member| (member, Expect::Absent))) {
                let put = Command::Put { member: member.clone(), lease_ms, expect };
                match client.propose("", put, within).await {
                    Ok(registry::Outcome::Refused { reason }) => {
                        tracing::warn!(member = member.id, why = reason, "not registered")
                    }
                    Ok(_) => known.push(member),
                    Err(error) => tracing::debug!(member = member.id, %error, "not registered yet"),
                }
            }
            let _ = tx.send(Msg::Renewed(known)).await;
        });
    }

    /// Carries out the ladder's steps for the nodes of this machine, each once.
    fn obey(&mut self) {
        let nodes: Vec<String> = self
            .config
            .members
            .iter()
            .filter(|member| member.role == Role::Node)
            .map(|member| member.id.clone())
            .collect();
        for node in nodes {
            let directive = &self.directives["nodes"][&node];
            let (Some(step), Some(at)) = (directive["step"].as_str(), directive["step_at"].as_u64()) else {
                continue;
            };
            let order = (step.to_owned(), at);
            if self.done.get(&node) == Some(&order) {
                continue;
            }
            tracing::info!(node, step, "the audit asks");
            match step {
                "told_again" => drop(self.moves.try_send(Move::On)),
                "rewatched" => {
                    let _ = self.moves.try_send(Move::On);
                    // The node's watch too: it asks again, and gets the whole list whatever it has.
                    self.whole = true;
                    self.open.clear();
                }
                "restarted" => self.restart(&node),
                _ => {}
            }
            self.done.insert(node, order);
        }
    }

    fn restart(&self, node: &str) {
        let Some(host) = self.config.host.clone() else { return };
        let body = json!({"node": node});
        tokio::spawn(async move {
            let call = reqwest::Client::new().post(&host).json(&body).timeout(Duration::from_secs(2)).send();
            if let Err(error) = call.await.and_then(reqwest::Response::error_for_status) {
                tracing::warn!(%host, %error, "the host did not take the order");
            }
        });
    }
}

/// Hands on the lines of the registry's watch, and moves it at the loop's word.
async fn watch(mut watch: client::Watch, tx: mpsc::Sender<Msg>, mut moves: mpsc::Receiver<Move>) {
    loop {
        tokio::select! {
            line = watch.next_line() => if tx.send(Msg::Line(line)).await.is_err() {
                return;
            },
            order = moves.recv() => match order {
                Some(Move::On) => watch.switch_replica(true),
                None => return,
            },
        }
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
