//! A node's configuration, as the platform writes it: read once, with all that is wrong said at once.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

use crate::api::Settings;
use crate::findings::{describe, quote, Findings};
use crate::list::List;
use crate::settings::{self, Names, Pairs, Reader};

/// Descriptors that are not sockets of clients or servers: the standard ones, the runtime's, the listener,
/// discovery, the peers' socket, and some that the system has not closed yet.
pub const OWN_DESCRIPTORS: usize = 24;
/// Connections past the budget that are told so at a time.
pub const OVERFLOW: usize = 16;
/// What stands for a limit that the file does not name.
const USUAL_SOCKETS: usize = 1024;
const USUAL_MEMORY_MB: f64 = 128.0;
/// What an address looks like.
const ADDRESS: &str = "an address such as 10.0.0.4:5000";

/// All that a node is told at its start.
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Feeds its random choices.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Bytes of memory that it may use.
    pub memory: usize,
    /// Where it hears its peers.
    pub peer_listen: Option<SocketAddr>,
    /// Its peers, by number.
    pub peers: Vec<SocketAddr>,
    /// Where all of them are reached at once.
    pub peers_all: Option<SocketAddr>,
    /// Whether it says on which version of the list it acts: to its servers, and to the agent at `discovery`.
    pub audit: bool,
    /// The list as this node last had it.
    pub known: List,
    /// What the module is told.
    pub settings: Settings,
    /// The words that requests use for what is in the settings.
    pub names: Names,
    /// What the node itself goes by.
    pub figures: Figures,
}

/// Figures of the settings that concern the node and not its decisions.
#[derive(Clone)]
pub struct Figures {
    /// A connection that is not up by then has failed.
    pub dial_timeout: Duration,
    /// Servers close connections that stood idle for this long.
    pub keepalive: Duration,
    /// Sends to a draining server must have ended after this long.
    pub drain_grace: Duration,
    /// The most requests held at a time.
    pub open_cap: usize,
    /// The fields of a load report, in the module's order.
    pub report: Vec<String>,
    /// What cold servers bear.
    pub ramp: Ramp,
}

/// What cold servers bear, by the settings.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ramp {
    /// Part of its capacity that one has at its start, at the least.
    pub start: f64,
    /// It is warm after this time.
    pub span_ms: u64,
    /// Sent more than this multiple of its present capacity...
    pub multiple: f64,
    /// ...in this time, it falls over.
    pub window_ms: u64,
}

impl Config {
    /// Reads the file's text; the environment's words come before the file's. `None` where a node would not
    /// start; the findings say why, and what a node that does start goes on without.
    pub fn read(text: &str, env: &HashMap<String, String>) -> (Option<Config>, Findings) {
        let mut findings = Findings::default();
        let Some(value) = parse(text, &mut findings) else { return (None, findings) };
        let mut file = File { value: &value, env, findings };
        let listen = file.address("listen", Some("BALANCER_LISTEN"), true);
        let discovery = file.address("discovery", Some("BALANCER_DISCOVERY"), true);
        let name = file.text("name");
        let (sockets, memory) = file.limits();
        let peer_listen = file.address("peer_listen", None, false);
        let peers_all = file.address("peers_all", None, false);
        let (peers, seed, known, audit) = (file.peers(), file.seed(), file.known(), file.audit());
        let mut findings = file.findings;
        let mut pairs = Pairs::default();
        flatten("", "settings", value.get("settings").unwrap_or(&Value::Null), &mut pairs);
        let mut reader = Reader::new(&pairs);
        let (settings, names) = settings::parse(&mut reader);
        let figures = Figures::read(&mut reader, &settings);
        findings.append(reader.findings);
        plausible(value.get("settings"), &settings, &names, &mut findings);
        let (Some(listen), Some(discovery), false) = (listen, discovery, findings.refused()) else {
            return (None, findings);
        };
        let name = env.get("BALANCER_NAME").cloned().unwrap_or(name);
        let config = Config {
            name,
            listen,
            discovery,
            seed,
            sockets,
            memory,
            peer_listen,
            peers,
            peers_all,
            audit,
            known,
            settings,
            names,
            figures,
        };
        (Some(config), findings)
    }
}

impl Figures {
    fn read(reader: &mut Reader<'_>, settings: &Settings) -> Self {
        let mut micros = |path, default| Duration::from_micros(reader.whole(path, default));
        let dial_timeout = micros("bounds.dial-timeout", 250_000);
        let keepalive = micros("bounds.keepalive", 15_000_000);
        let drain_grace = micros("rules.stop-sending-within", 500_000);
        let ramp = Ramp {
            start: settings.start_capacity,
            span_ms: settings.ramp_time / 1_000,
            multiple: settings.cold_overload_multiple,
            window_ms: micros("rules.overload-for", 2_000_000).as_millis() as u64,
        };
        Figures {
            dial_timeout,
            keepalive,
            drain_grace,
            open_cap: reader.whole("bounds.open-cap", 20_000).clamp(1, 1 << 20) as usize,
            report: reader.text("report.fields").unwrap_or("").split(',').map(str::to_owned).collect(),
            ramp,
        }
    }
}

/// The address of discovery that a changed file names. On SIGHUP the file is what is new: the
/// environment still holds the address of the start.
pub fn discovery_of(text: &str) -> Result<SocketAddr, Findings> {
    let mut findings = Findings::default();
    let Some(value) = parse(text, &mut findings) else { return Err(findings) };
    let mut file = File { value: &value, env: &HashMap::new(), findings };
    file.address("discovery", None, true).ok_or(file.findings)
}

fn parse(text: &str, findings: &mut Findings) -> Option<Value> {
    match serde_json::from_str(text) {
        Ok(value @ Value::Object(_)) => return Some(value),
        Ok(other) => findings.refuse("", "a JSON object", describe(Some(&other))),
        Err(error) => findings.refuse("", "a JSON object", error.to_string()),
    }
    None
}

/// The file's own keys; unknown ones are ignored.
struct File<'a> {
    value: &'a Value,
    env: &'a HashMap<String, String>,
    findings: Findings,
}

impl File<'_> {
    /// The value at a key; one that is null is absent.
    fn get(&self, key: &str) -> Option<&Value> {
        self.value.get(key).filter(|value| !value.is_null())
    }

    fn refuse(&mut self, key: &str, expected: &str) {
        self.findings.refuse(key, expected, describe(self.value.get(key)));
    }

    fn text(&mut self, key: &str) -> String {
        match self.get(key) {
            None => String::new(),
            Some(Value::String(text)) => text.clone(),
            Some(_) => {
                self.refuse(key, "a text");
                String::new()
            }
        }
    }

    fn address(&mut self, key: &str, variable: Option<&str>, needed: bool) -> Option<SocketAddr> {
        if let Some((variable, text)) = variable.and_then(|name| Some((name, self.env.get(name)?))) {
            let addr = text.parse().ok();
            if addr.is_none() {
                self.findings.refuse(format!("${variable}"), ADDRESS, quote(text));
            }
            return addr;
        }
        match self.get(key) {
            None if !needed => None,
            Some(Value::String(text)) if text.parse::<SocketAddr>().is_ok() => text.parse().ok(),
            _ => {
                let or = variable.map_or(String::new(), |name| format!(", or ${name} set"));
                self.refuse(key, &format!("{ADDRESS}{or}"));
                None
            }
        }
    }

    fn limits(&mut self) -> (usize, usize) {
        let limits = self.get("limits").cloned().unwrap_or(Value::Object(Default::default()));
        if !limits.is_object() {
            self.refuse("limits", "an object");
        }
        let (sockets, memory_mb) = (limits.get("sockets"), limits.get("memory_mb"));
        let held = sockets.map_or(Some(USUAL_SOCKETS as u64), Value::as_u64);
        let megabytes = memory_mb.map_or(Some(USUAL_MEMORY_MB), Value::as_f64);
        let least = OWN_DESCRIPTORS + OVERFLOW + 2;
        match held {
            None => {
                self.findings.refuse("limits.sockets", "a whole number of descriptors", describe(sockets))
            }
            Some(n) if n < least as u64 => {
                self.findings.leave_out("limits.sockets", format!("at least {least}"), n.to_string())
            }
            Some(_) => {}
        }
        match megabytes {
            None => self.findings.refuse("limits.memory_mb", "a number of megabytes", describe(memory_mb)),
            Some(mb) if mb < 1.0 => self.findings.leave_out("limits.memory_mb", "at least 1", mb.to_string()),
            Some(_) => {}
        }
        let memory = megabytes.unwrap_or(USUAL_MEMORY_MB).max(1.0) * f64::from(1 << 20);
        (held.unwrap_or(USUAL_SOCKETS as u64) as usize, memory as usize)
    }

    fn peers(&mut self) -> Vec<SocketAddr> {
        let peers = match self.get("peers").cloned() {
            None => Vec::new(),
            Some(Value::Array(peers)) => peers,
            Some(_) => {
                self.refuse("peers", "a list of addresses");
                Vec::new()
            }
        };
        let mut read = Vec::with_capacity(peers.len());
        for (n, peer) in peers.iter().enumerate() {
            match peer.as_str().and_then(|text| text.parse().ok()) {
                Some(addr) => read.push(addr),
                None => self.findings.refuse(format!("peers[{n}]"), ADDRESS, describe(Some(peer))),
            }
        }
        read
    }

    fn seed(&mut self) -> u64 {
        match self.value.get("seed").unwrap_or(&Value::Null) {
            Value::String(text) => u64::from_str_radix(text, 16).unwrap_or_else(|_| xxh3_64(text.as_bytes())),
            other => {
                if !other.is_number() {
                    let expected = "hex text or a whole number, or all nodes draw alike";
                    self.findings.leave_out("seed", expected, describe(self.value.get("seed")));
                }
                other.as_u64().unwrap_or_else(|| xxh3_64(other.to_string().as_bytes()))
            }
        }
    }

    fn audit(&mut self) -> bool {
        match self.get("audit") {
            None => false,
            Some(Value::Bool(audit)) => *audit,
            Some(_) => {
                self.refuse("audit", "true or false");
                false
            }
        }
    }

    fn known(&mut self) -> List {
        match self.get("known").cloned() {
            None => List::default(),
            Some(value) => List::read(&value, "known", &mut self.findings).unwrap_or_default(),
        }
    }
}

/// Notes settings that can be read and make no sense.
fn plausible(value: Option<&Value>, settings: &Settings, names: &Names, findings: &mut Findings) {
    if settings.classes.is_empty() {
        let found = describe(value.and_then(|value| value.get("classes")));
        findings.leave_out("settings.classes", "at least one class, or every request is refused", found);
    }
    for (n, class) in settings.classes.iter().enumerate() {
        let at = |name: &str| format!("settings.classes[{n}].{name}");
        if class.deadline == 0 {
            findings.leave_out(at("deadline"), "a time above 0", "0");
        }
        if class.aim > class.deadline {
            findings.leave_out(
                at("aim"),
                format!("at most the deadline, {}", class.deadline),
                class.aim.to_string(),
            );
        }
    }
    names.odd(findings);
}

/// Turns an object into the paths that the simulator's first message has: the items of a list of
/// objects under their places with a count, a list of plain values joined by commas. `at` is its place in
/// the file.
fn flatten(path: &str, at: &str, value: &Value, pairs: &mut Pairs) {
    let below = |name: &str| {
        let name = name.replace('_', "-");
        if path.is_empty() {
            name
        } else {
            format!("{path}.{name}")
        }
    };
    match value {
        Value::Object(map) => {
            pairs.set_nested(path.to_owned(), at.to_owned(), "an object");
            for (name, value) in map {
                flatten(&below(name), &format!("{at}.{name}"), value, pairs);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.set(below("count"), items.len().to_string(), Some(at.to_owned()));
            pairs.set_nested(path.to_owned(), at.to_owned(), "a list of objects");
            for (i, item) in items.iter().enumerate() {
                flatten(&below(&i.to_string()), &format!("{at}[{i}]"), item, pairs);
            }
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().filter_map(plain).collect();
            pairs.set(path.to_owned(), items.join(","), Some(at.to_owned()));
        }
        other => {
            if let Some(text) = plain(other) {
                pairs.set(path.to_owned(), text, Some(at.to_owned()));
            }
        }
    }
}

fn plain(value: &Value) -> Option<String> {
    match value {
        Value::String(text) => Some(text.clone()),
        Value::Number(number) => match number.as_f64() {
            // A whole number may be written as 5.0 or 1e6.
            Some(real) if number.as_u64().is_none() && real.fract() == 0.0 && (0.0..9e15).contains(&real) => {
                Some((real as u64).to_string())
            }
            _ => Some(number.to_string()),
        },
        Value::Bool(flag) => Some(flag.to_string()),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
