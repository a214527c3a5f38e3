//! The configuration file of a node, which the platform writes in JSON. A node parses the file at its start;
//! on SIGHUP it reads only the address of discovery again. All problems are reported together.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

use crate::api::Settings;
use crate::findings::{describe_value, quote, Findings};
use crate::list::ServerList;
use crate::settings::{self, RequestNames, SettingPairs, SettingsReader};

/// File descriptors reserved for everything but connections of clients and to servers: the standard streams,
/// the runtime, the listener, discovery, the peer socket, and descriptors that the system has not closed yet.
pub const RESERVED_DESCRIPTORS: usize = 24;
/// Client connections beyond the budget that may be open at a time, each only to reject its request.
pub const REJECTION_CONNECTIONS: usize = 16;
/// Fewest descriptors that leave room for one connection of a client and one to a server.
const MIN_DESCRIPTORS: usize = RESERVED_DESCRIPTORS + REJECTION_CONNECTIONS + 2;
/// Defaults of the limits that the file does not name.
const DEFAULT_DESCRIPTORS: usize = 1024;
const DEFAULT_MEMORY_MB: f64 = 128.0;
const BYTES_PER_MB: u32 = 1 << 20;
/// A valid address, as findings describe it.
const EXPECTED_ADDRESS: &str = "an address such as 10.0.0.4:5000";
/// Below this bound (about 2^53) every whole number has an exact `f64`.
const MAX_EXACT_WHOLE: f64 = 9e15;

/// The configuration of a node.
pub struct Config {
    /// Name of the node, the same after a restart.
    pub name: String,
    /// Address on which the node accepts client connections.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Seed of the policy's random choices.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub max_descriptors: usize,
    /// Memory that the process may use.
    pub max_memory_bytes: usize,
    /// Address on which the node receives messages of its peers.
    pub peer_listen: Option<SocketAddr>,
    /// Addresses of the peers; the index is the peer's number.
    pub peers: Vec<SocketAddr>,
    /// Address that reaches all peers with one message.
    pub peer_broadcast: Option<SocketAddr>,
    /// Whether the node reports the list revision on which it acts, to its servers and to the agent at
    /// `discovery`.
    pub is_audited: bool,
    /// The server list that the node last had before this start.
    pub cached_list: ServerList,
    /// Settings of the policy.
    pub settings: Settings,
    /// The names by which requests refer to classes and tenants.
    pub request_names: RequestNames,
    /// Settings that only the node uses.
    pub node_settings: NodeSettings,
}

/// The settings that only the node uses: for its connections, open requests, load reports and cold servers in
/// the log.
#[derive(Clone)]
pub struct NodeSettings {
    /// An attempt to connect to a server fails after this time.
    pub dial_timeout: Duration,
    /// Servers close connections that were idle for this long.
    pub keepalive: Duration,
    /// Time after the start of a server's drain by which the node must no longer send requests to the server.
    pub drain_time: Duration,
    /// Largest number of requests that may be open at a time.
    pub max_open_requests: usize,
    /// Names of the fields of a server's load report. The node passes their values to the policy in this
    /// order.
    pub load_report_fields: Vec<String>,
    /// Ramp of a cold server, which the node repeats in log lines about requests to cold servers.
    pub ramp: Ramp,
}

/// How the capacity of a cold server grows after its start, and what overloads it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ramp {
    /// Least capacity of a server that has just started, as a fraction of its full capacity.
    pub start_capacity: f64,
    /// How long a started server takes to reach its full capacity; until then it is cold.
    pub duration_ms: u64,
    /// A cold server breaks down when it is sent more than this multiple of its present capacity within
    /// `overload_window_ms`.
    pub cold_overload_multiple: f64,
    /// Length of the window over which an overload is counted.
    pub overload_window_ms: u64,
}

impl Config {
    /// Parses the text of a configuration file; variables of `env` override the file. The configuration is
    /// `None` if a node would not start with it. The findings are all errors and warnings, and the defaults
    /// that are used.
    pub fn parse(text: &str, env: &HashMap<String, String>) -> (Option<Config>, Findings) {
        let mut findings = Findings::default();
        let Some(value) = parse_object(text, &mut findings) else { return (None, findings) };
        let mut file = ConfigFile { value: &value, env, findings };
        let listen = file.read_address("listen", Some("BALANCER_LISTEN"), true);
        let discovery = file.read_address("discovery", Some("BALANCER_DISCOVERY"), true);
        let name = file.read_string("name");
        let (max_descriptors, max_memory_bytes) = file.read_limits();
        let peer_listen = file.read_address("peer_listen", None, false);
        let peer_broadcast = file.read_address("peers_all", None, false);
        let (peers, seed) = (file.read_peers(), file.read_seed());
        let (cached_list, is_audited) = (file.read_cached_list(), file.read_audit_flag());
        let mut findings = file.findings;
        let mut pairs = SettingPairs::default();
        flatten_settings("", "settings", value.get("settings").unwrap_or(&Value::Null), &mut pairs);
        let mut reader = SettingsReader::new(&pairs);
        let (settings, request_names) = settings::read_settings(&mut reader);
        let node_settings = NodeSettings::read(&mut reader, &settings);
        findings.append(reader.findings);
        check_settings(value.get("settings"), &settings, &request_names, &mut findings);
        let (Some(listen), Some(discovery), false) = (listen, discovery, findings.has_errors()) else {
            return (None, findings);
        };
        let name = env.get("BALANCER_NAME").cloned().unwrap_or(name);
        let config = Config {
            name,
            listen,
            discovery,
            seed,
            max_descriptors,
            max_memory_bytes,
            peer_listen,
            peers,
            peer_broadcast,
            is_audited,
            cached_list,
            settings,
            request_names,
            node_settings,
        };
        (Some(config), findings)
    }
}

impl NodeSettings {
    fn read(reader: &mut SettingsReader<'_>, settings: &Settings) -> Self {
        let mut read_micros = |path, default| Duration::from_micros(reader.read_whole(path, default));
        let dial_timeout = read_micros("bounds.dial-timeout", 250_000);
        let keepalive = read_micros("bounds.keepalive", 15_000_000);
        let drain_time = read_micros("rules.stop-sending-within", 500_000);
        let ramp = Ramp {
            start_capacity: settings.start_capacity,
            duration_ms: settings.ramp_time / 1_000,
            cold_overload_multiple: settings.cold_overload_multiple,
            overload_window_ms: read_micros("rules.overload-for", 2_000_000).as_millis() as u64,
        };
        NodeSettings {
            dial_timeout,
            keepalive,
            drain_time,
            max_open_requests: reader.read_whole("bounds.open-cap", 20_000).clamp(1, 1 << 20) as usize,
            load_report_fields: reader
                .read_text("report.fields")
                .unwrap_or("")
                .split(',')
                .map(str::to_owned)
                .collect(),
            ramp,
        }
    }
}

/// Reads only the address of discovery, for a reload on SIGHUP. The file alone counts here: the environment
/// still holds the address of the start.
pub fn parse_discovery_address(text: &str) -> Result<SocketAddr, Findings> {
    let mut findings = Findings::default();
    let Some(value) = parse_object(text, &mut findings) else { return Err(findings) };
    let mut file = ConfigFile { value: &value, env: &HashMap::new(), findings };
    file.read_address("discovery", None, true).ok_or(file.findings)
}

fn parse_object(text: &str, findings: &mut Findings) -> Option<Value> {
    match serde_json::from_str(text) {
        Ok(value @ Value::Object(_)) => return Some(value),
        Ok(other) => findings.add_error("", "a JSON object", describe_value(Some(&other))),
        Err(error) => findings.add_error("", "a JSON object", error.to_string()),
    }
    None
}

/// The top-level keys of the configuration file; unknown keys are ignored.
struct ConfigFile<'a> {
    value: &'a Value,
    env: &'a HashMap<String, String>,
    findings: Findings,
}

impl ConfigFile<'_> {
    /// The value of a key; null counts as absent.
    fn get(&self, key: &str) -> Option<&Value> {
        self.value.get(key).filter(|value| !value.is_null())
    }

    fn add_error(&mut self, key: &str, expected: &str) {
        self.findings.add_error(key, expected, describe_value(self.value.get(key)));
    }

    fn read_string(&mut self, key: &str) -> String {
        match self.get(key) {
            None => String::new(),
            Some(Value::String(text)) => text.clone(),
            Some(_) => {
                self.add_error(key, "a string");
                String::new()
            }
        }
    }

    /// Reads an address; the environment variable, if it is set, overrides the file.
    fn read_address(&mut self, key: &str, variable: Option<&str>, is_required: bool) -> Option<SocketAddr> {
        if let Some((variable, text)) = variable.and_then(|name| Some((name, self.env.get(name)?))) {
            let addr = text.parse().ok();
            if addr.is_none() {
                self.findings.add_error(format!("${variable}"), EXPECTED_ADDRESS, quote(text));
            }
            return addr;
        }
        match self.get(key) {
            None if !is_required => None,
            Some(Value::String(text)) if text.parse::<SocketAddr>().is_ok() => text.parse().ok(),
            _ => {
                let alternative = variable.map_or(String::new(), |name| format!(", or ${name} set"));
                self.add_error(key, &format!("{EXPECTED_ADDRESS}{alternative}"));
                None
            }
        }
    }

    /// Reads the limits of the process: file descriptors, and bytes of memory.
    fn read_limits(&mut self) -> (usize, usize) {
        let limits = self.get("limits").cloned().unwrap_or(Value::Object(Default::default()));
        if !limits.is_object() {
            self.add_error("limits", "an object");
        }
        let (sockets, memory_mb) = (limits.get("sockets"), limits.get("memory_mb"));
        let descriptors = sockets.map_or(Some(DEFAULT_DESCRIPTORS as u64), Value::as_u64);
        let megabytes = memory_mb.map_or(Some(DEFAULT_MEMORY_MB), Value::as_f64);
        match descriptors {
            None => {
                let expected = "a whole number of descriptors";
                self.findings.add_error("limits.sockets", expected, describe_value(sockets));
            }
            Some(n) if n < MIN_DESCRIPTORS as u64 => {
                self.findings.add_warning(
                    "limits.sockets",
                    format!("at least {MIN_DESCRIPTORS}"),
                    n.to_string(),
                );
            }
            Some(_) => {}
        }
        match megabytes {
            None => {
                let expected = "a number of megabytes";
                self.findings.add_error("limits.memory_mb", expected, describe_value(memory_mb));
            }
            Some(mb) if mb < 1.0 => {
                self.findings.add_warning("limits.memory_mb", "at least 1", mb.to_string());
            }
            Some(_) => {}
        }
        let bytes = megabytes.unwrap_or(DEFAULT_MEMORY_MB).max(1.0) * f64::from(BYTES_PER_MB);
        (descriptors.unwrap_or(DEFAULT_DESCRIPTORS as u64) as usize, bytes as usize)
    }

    fn read_peers(&mut self) -> Vec<SocketAddr> {
        let peers = match self.get("peers").cloned() {
            None => Vec::new(),
            Some(Value::Array(peers)) => peers,
            Some(_) => {
                self.add_error("peers", "a list of addresses");
                Vec::new()
            }
        };
        let mut addrs = Vec::with_capacity(peers.len());
        for (n, peer) in peers.iter().enumerate() {
            match peer.as_str().and_then(|text| text.parse().ok()) {
                Some(addr) => addrs.push(addr),
                None => self.findings.add_error(
                    format!("peers[{n}]"),
                    EXPECTED_ADDRESS,
                    describe_value(Some(peer)),
                ),
            }
        }
        addrs
    }

    /// Reads the seed: a number, or a string of hexadecimal digits. Any other value is hashed.
    fn read_seed(&mut self) -> u64 {
        match self.value.get("seed").unwrap_or(&Value::Null) {
            Value::String(text) => u64::from_str_radix(text, 16).unwrap_or_else(|_| xxh3_64(text.as_bytes())),
            other => {
                if !other.is_number() {
                    let expected =
                        "a hexadecimal string or a whole number (without a seed, all nodes make the \
                        same random choices)";
                    self.findings.add_warning("seed", expected, describe_value(self.value.get("seed")));
                }
                other.as_u64().unwrap_or_else(|| xxh3_64(other.to_string().as_bytes()))
            }
        }
    }

    fn read_audit_flag(&mut self) -> bool {
        match self.get("audit") {
            None => false,
            Some(Value::Bool(is_audited)) => *is_audited,
            Some(_) => {
                self.add_error("audit", "true or false");
                false
            }
        }
    }

    fn read_cached_list(&mut self) -> ServerList {
        match self.get("known").cloned() {
            None => ServerList::default(),
            Some(value) => ServerList::parse(&value, "known", &mut self.findings).unwrap_or_default(),
        }
    }
}

/// Warns about settings that can be read but are implausible.
fn check_settings(
    value: Option<&Value>,
    settings: &Settings,
    request_names: &RequestNames,
    findings: &mut Findings,
) {
    if settings.classes.is_empty() {
        let found = describe_value(value.and_then(|value| value.get("classes")));
        findings.add_warning("settings.classes", "at least one class, or every request is refused", found);
    }
    for (n, class) in settings.classes.iter().enumerate() {
        let path = |name: &str| format!("settings.classes[{n}].{name}");
        if class.deadline == 0 {
            findings.add_warning(path("deadline"), "a time above 0", "0");
        }
        if class.aim > class.deadline {
            findings.add_warning(
                path("aim"),
                format!("at most the deadline, {}", class.deadline),
                class.aim.to_string(),
            );
        }
    }
    request_names.check_names(findings);
}

/// Flattens a JSON value into the dotted paths of the simulator's `SPAWN` line: the items of a list of
/// objects get their index as a path segment, next to a `count`; a list of scalars becomes one value joined
/// by commas. `path` is the dotted path of the value and `json_path` its path in the file.
fn flatten_settings(path: &str, json_path: &str, value: &Value, pairs: &mut SettingPairs) {
    let child_path = |name: &str| {
        // The file may have `_` in a key where the simulator's line has `-`.
        let name = name.replace('_', "-");
        if path.is_empty() {
            name
        } else {
            format!("{path}.{name}")
        }
    };
    match value {
        Value::Object(map) => {
            pairs.set_nested(path.to_owned(), json_path.to_owned(), "an object");
            for (name, value) in map {
                flatten_settings(&child_path(name), &format!("{json_path}.{name}"), value, pairs);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.set(child_path("count"), items.len().to_string(), Some(json_path.to_owned()));
            pairs.set_nested(path.to_owned(), json_path.to_owned(), "a list of objects");
            for (i, item) in items.iter().enumerate() {
                flatten_settings(&child_path(&i.to_string()), &format!("{json_path}[{i}]"), item, pairs);
            }
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().filter_map(scalar_text).collect();
            pairs.set(path.to_owned(), items.join(","), Some(json_path.to_owned()));
        }
        other => {
            if let Some(text) = scalar_text(other) {
                pairs.set(path.to_owned(), text, Some(json_path.to_owned()));
            }
        }
    }
}

/// The text of a string, number or boolean; `None` for any other value.
fn scalar_text(value: &Value) -> Option<String> {
    match value {
        Value::String(text) => Some(text.clone()),
        Value::Number(number) => match number.as_f64() {
            // A whole number may be written as 5.0 or 1e6.
            Some(real)
                if number.as_u64().is_none()
                    && real.fract() == 0.0
                    && (0.0..MAX_EXACT_WHOLE).contains(&real) =>
            {
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
