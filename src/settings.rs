//! The settings and the names of the outside world, read alike by every host of the module.
//!
//! Settings are pairs of a dotted path and a value, with times in microseconds: as the
//! simulator's `SPAWN` line holds them, or as a host flattens them from another form.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;

use crate::api::*;
use crate::findings::{quote, Findings};

/// What is wrong with an input.
#[derive(Debug)]
pub struct Fault(String);

impl Fault {
    /// A fault of this text.
    pub fn new(text: String) -> Self {
        Fault(text)
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Fault {}

impl From<std::io::Error> for Fault {
    fn from(error: std::io::Error) -> Self {
        Fault(error.to_string())
    }
}

impl From<Findings> for Fault {
    fn from(findings: Findings) -> Self {
        Fault(findings.to_string())
    }
}

/// The number in a field of this name.
pub fn number<T: FromStr>(text: &str, name: &str) -> Result<T, Fault> {
    text.parse().map_err(|_| Fault(format!("field '{name}': '{text}' is not a number in range")))
}

/// The finite number in a field of this name.
pub fn finite(text: &str, name: &str) -> Result<f64, Fault> {
    let value: f64 = number(text, name)?;
    if !value.is_finite() {
        return Err(Fault(format!("field '{name}': '{text}' is not finite")));
    }
    Ok(value)
}

/// Numbers for the names of zones, given out as they are met.
#[derive(Default)]
pub struct Zones(HashMap<String, u32>);

impl Zones {
    /// The zone of this name.
    pub fn id(&mut self, name: &str) -> ZoneId {
        if let Some(&id) = self.0.get(name) {
            return ZoneId(id);
        }
        let id = self.0.len() as u32;
        self.0.insert(name.to_owned(), id);
        ZoneId(id)
    }
}

/// The state that discovery's word means.
pub fn server_state(word: &str) -> Option<ServerState> {
    match word {
        "in_service" => Some(ServerState::InService),
        "terminating" => Some(ServerState::Terminating),
        "terminated" => Some(ServerState::Terminated),
        _ => None,
    }
}

/// The names that requests use for the classes and tenants of the settings.
pub struct Names {
    classes: Vec<String>,
    tenants: Vec<String>,
}

impl Names {
    /// The place of a class.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|n| n == name)
    }

    /// The place of a tenant.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.iter().position(|n| n == name)
    }

    /// Notes names that are missing or stand twice: no request can mean what has them.
    pub(crate) fn odd(&self, findings: &mut Findings) {
        for (list, names) in [("classes", &self.classes), ("tenants", &self.tenants)] {
            for (n, name) in names.iter().enumerate() {
                let path = format!("settings.{list}[{n}].name");
                if name.is_empty() {
                    findings.leave_out(path, "a name", "nothing");
                } else if names[..n].contains(name) {
                    findings.leave_out(path, "a name of its own", format!("{} again", quote(name)));
                }
            }
        }
    }
}

/// A value of the settings, and its place in the file it comes from.
struct Pair {
    text: String,
    at: Option<String>,
}

/// The pairs by path.
#[derive(Default)]
pub struct Pairs {
    values: HashMap<String, Pair>,
    /// Where something stands that is no plain value: its place in the file, and what it is.
    nested: HashMap<String, (String, &'static str)>,
}

impl Pairs {
    /// The pairs of a line, set apart by spaces.
    pub fn from_line(text: &str) -> Result<Self, Fault> {
        let mut pairs = Pairs::default();
        for pair in text.split(' ').filter(|pair| !pair.is_empty()) {
            let (path, value) =
                pair.split_once('=').ok_or_else(|| Fault::new(format!("'{pair}' is no pair")))?;
            pairs.set(path.to_owned(), value.to_owned(), None);
        }
        Ok(pairs)
    }

    /// Sets the value of a path; `at` is its place in its file, where that reads otherwise.
    pub fn set(&mut self, path: String, text: String, at: Option<String>) {
        self.values.insert(path, Pair { text, at });
    }

    /// Notes that something stands at a path that is no plain value.
    pub fn set_nested(&mut self, path: String, at: String, what: &'static str) {
        self.nested.insert(path, (at, what));
    }

    /// The text at a path; an empty one is absent.
    pub fn text(&self, path: &str) -> Option<&str> {
        self.values.get(path).map(|pair| pair.text.as_str()).filter(|text| !text.is_empty() && *text != "-")
    }

    fn at(&self, path: &str) -> String {
        self.values.get(path).and_then(|pair| pair.at.clone()).unwrap_or_else(|| path.to_owned())
    }
}

/// What a site need not tell (WIRE), and what later sites may add: where these are absent, the default is meant.
const MAY_BE_ABSENT: [&str; 5] = [
    "classes.count",
    "tenants.count",
    "domain.warm-keys",
    "rules.settle-after-doubt",
    "rules.may-shed-begun",
];

/// Reads pairs. What is absent keeps the default given with the question; what can't be read does so too, and
/// both are noted.
pub struct Reader<'a> {
    pairs: &'a Pairs,
    /// What was found wrong so far.
    pub findings: Findings,
}

impl<'a> Reader<'a> {
    /// A reader of these pairs.
    pub fn new(pairs: &'a Pairs) -> Self {
        Reader { pairs, findings: Findings::default() }
    }

    /// The text at a path.
    pub fn text(&self, path: &str) -> Option<&'a str> {
        self.pairs.text(path)
    }

    /// The whole number at a path.
    pub fn whole(&mut self, path: &str, default: u64) -> u64 {
        self.number(path, default, "a whole number, 0 or more", |text| text.parse().ok())
    }

    fn real(&mut self, path: &str, default: f64) -> f64 {
        let finite = |text: &str| text.parse().ok().filter(|value: &f64| value.is_finite());
        self.number(path, default, "a finite number", finite)
    }

    /// The text at a path; notes where something else stands there.
    fn plain(&mut self, path: &str, expected: &str) -> Option<&'a str> {
        if let Some((at, what)) = self.pairs.nested.get(path) {
            self.findings.leave_out(at, expected, *what);
        }
        self.text(path)
    }

    /// Notes that a default stands for what is not told.
    fn assume(&mut self, path: &str, stands: impl fmt::Display) {
        let meant = MAY_BE_ABSENT.contains(&path) || path.ends_with(".serial-by-key");
        if !meant && !self.pairs.nested.contains_key(path) {
            self.findings.assume(path, stands.to_string());
        }
    }

    fn number<T: fmt::Display>(
        &mut self,
        path: &str,
        default: T,
        expected: &str,
        read: impl Fn(&str) -> Option<T>,
    ) -> T {
        let Some(text) = self.plain(path, expected) else {
            self.assume(path, &default);
            return default;
        };
        read(text).unwrap_or_else(|| {
            self.findings.refuse(self.pairs.at(path), expected, quote(text));
            default
        })
    }

    fn flag(&mut self, path: &str) -> bool {
        let words = [("true", true), ("1", true), ("false", false), ("0", false)];
        self.word(path, &words).unwrap_or(false)
    }

    /// What the word at a path stands for. An unknown word is as good as none: a later version may know it.
    fn word<T: Clone>(&mut self, path: &str, words: &[(&str, T)]) -> Option<T> {
        let expected = || words.iter().map(|(word, _)| *word).collect::<Vec<_>>().join(" or ");
        let text = match self.pairs.nested.contains_key(path) {
            true => self.plain(path, &expected())?,
            false => self.text(path).or_else(|| {
                self.assume(path, "none");
                None
            })?,
        };
        let known = words.iter().find(|(word, _)| *word == text);
        if known.is_none() {
            self.findings.leave_out(self.pairs.at(path), expected(), quote(text));
        }
        known.map(|(_, meaning)| meaning.clone())
    }
}

/// Reads the settings, or says all that is wrong with them. Unknown paths and words are ignored.
pub fn read(pairs: &Pairs) -> Result<(Settings, Names), Findings> {
    let mut reader = Reader::new(pairs);
    let read = parse(&mut reader);
    match reader.findings.refused() {
        true => Err(reader.findings),
        false => Ok(read),
    }
}

/// Reads the settings as far as that goes; the reader notes what is wrong.
pub fn parse(p: &mut Reader<'_>) -> (Settings, Names) {
    let (classes, class_names) = list(p, "classes", class);
    let (tenants, tenant_names) = list(p, "tenants", tenant);
    let settings = Settings {
        group_size: p.whole("group-size", 1).clamp(1, 1 << 20) as u32,
        classes,
        tenants,
        over_quota_worth: p.real("over-share-worth", 1.0),
        worth_by: p
            .word("worth-by", &[("work", WorthBy::Work), ("request", WorthBy::Request)])
            .unwrap_or_default(),
        weight_source: p
            .word(
                "weight-source",
                &[
                    ("nominal", WeightSource::Nominal),
                    ("rough", WeightSource::Rough),
                    ("live", WeightSource::Live),
                    ("off", WeightSource::Off),
                ],
            )
            .unwrap_or_default(),
        discovery_mode: p
            .word("registry-mode", &[("ask", DiscoveryMode::Subscribe), ("push", DiscoveryMode::Push)])
            .unwrap_or_default(),
        servers_cache_keys: p.flag("domain.warm-keys"),
        can_cancel: p.flag("bounds.cancelling"),
        can_probe: p.flag("bounds.may-probe"),
        allows_concurrent_attempts: p.flag("bounds.second-copies"),
        max_attempts: p.whole("bounds.max-attempts", 1).min(u64::from(u32::MAX)) as u32,
        sends_retry_after: p.flag("bounds.retry-after"),
        max_retry_after: p.whole("bounds.max-retry-after", 0),
        handshake_deduction: p.real("deductions.handshake", 0.0),
        connection_deduction: p.real("deductions.connection", 0.0),
        start_capacity: p.real("rules.start-capacity", 1.0),
        ramp_time: p.whole("rules.ramp-time", 0),
        cold_overload_multiple: p.real("rules.fall-multiple", 1.0),
        max_unsubscribed_time: p.whole("rules.ask-within", 10_000_000),
        serial_key_cooldown: p.whole("rules.settle-after-doubt", 0),
        full_may_have_run: p.flag("rules.may-shed-begun"),
        utilization_index: p
            .text("report.fields")
            .and_then(|fields| fields.split(',').position(|f| f == "util")),
    };
    (settings, Names { classes: class_names, tenants: tenant_names })
}

/// The most items of a list in the settings.
const MOST_ITEMS: u64 = 10_000;

/// The items `path.0`, `path.1` and so on, with their names.
fn list<T>(p: &mut Reader<'_>, path: &str, item: fn(&mut Reader<'_>, &str) -> T) -> (Vec<T>, Vec<String>) {
    let count = format!("{path}.count");
    const EXPECTED: &str = "a list of objects";
    if p.text(&count).is_none() {
        if let Some(text) = p.plain(path, EXPECTED) {
            p.findings.leave_out(p.pairs.at(path), EXPECTED, quote(text));
        }
    }
    let mut items = p.whole(&count, 0);
    if items > MOST_ITEMS {
        p.findings.refuse(p.pairs.at(&count), format!("at most {MOST_ITEMS} items"), items.to_string());
        items = 0;
    }
    let read = |i| {
        let prefix = format!("{path}.{i}");
        let name = p.text(&format!("{prefix}.name")).unwrap_or("").to_owned();
        (item(p, &prefix), name)
    };
    (0..items).map(read).unzip()
}

fn class(p: &mut Reader<'_>, at: &str) -> Class {
    let deadline = p.whole(&format!("{at}.deadline"), 1_000_000);
    let words = ["safe", "keyed", "unsafe"].map(|word| (word, word));
    let semantics = match p.word(&format!("{at}.semantics"), &words) {
        Some("safe") => Semantics::Safe,
        Some("keyed") => {
            let scopes = [("all", DedupScope::All), ("zone", DedupScope::Zone), ("cell", DedupScope::Cell)];
            Semantics::Deduplicated {
                scope: p.word(&format!("{at}.key-scope"), &scopes).unwrap_or(DedupScope::Cell),
                ttl: p.whole(&format!("{at}.key-ttl"), 0),
            }
        }
        // What is not known to be repeatable is not repeated.
        _ => Semantics::Unsafe,
    };
    Class {
        aim: p.whole(&format!("{at}.aim"), deadline),
        deadline,
        points: p.real(&format!("{at}.points"), 1.0),
        late_share: p.real(&format!("{at}.late-share"), 0.0),
        semantics,
        is_serial_by_key: p.flag(&format!("{at}.serial-by-key")),
    }
}

fn tenant(p: &mut Reader<'_>, at: &str) -> Tenant {
    Tenant { quota_per_s: p.real(&format!("{at}.quota-per-s"), 0.0) }
}
