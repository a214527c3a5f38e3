//! Parsing of the policy's settings, and of numbers, zones, server states and class and tenant names. The
//! node and the simulator adapter share it.
//!
//! Settings are pairs of a dotted path and a value, with times in microseconds: the form of the simulator's
//! `SPAWN` line. The node flattens the `settings` object of its configuration file into the same pairs.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;

use crate::api::*;
use crate::findings::{quote, Findings};

/// An error in an input, as a message for the user.
#[derive(Debug)]
pub struct InputError(String);

impl InputError {
    /// An error with this message.
    pub fn new(message: String) -> Self {
        InputError(message)
    }
}

impl fmt::Display for InputError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for InputError {}

impl From<std::io::Error> for InputError {
    fn from(error: std::io::Error) -> Self {
        InputError(error.to_string())
    }
}

impl From<Findings> for InputError {
    fn from(findings: Findings) -> Self {
        InputError(findings.to_string())
    }
}

/// Parses a number; the error names the field.
pub fn parse_number<T: FromStr>(text: &str, field: &str) -> Result<T, InputError> {
    text.parse().map_err(|_| InputError(format!("field '{field}': '{text}' is not a number in range")))
}

/// Parses a finite number; the error names the field.
pub fn parse_finite(text: &str, field: &str) -> Result<f64, InputError> {
    let value: f64 = parse_number(text, field)?;
    if !value.is_finite() {
        return Err(InputError(format!("field '{field}': '{text}' is not finite")));
    }
    Ok(value)
}

/// Zone ids by zone name, numbered in the order in which the names are first used.
#[derive(Default)]
pub struct ZoneIds(HashMap<String, u32>);

impl ZoneIds {
    /// The id of the zone; an unknown name gets the next free id.
    pub fn get_or_assign(&mut self, name: &str) -> ZoneId {
        if let Some(&id) = self.0.get(name) {
            return ZoneId(id);
        }
        let id = self.0.len() as u32;
        self.0.insert(name.to_owned(), id);
        ZoneId(id)
    }
}

/// Parses a server state as discovery and the simulator write it.
pub fn parse_server_state(name: &str) -> Option<ServerState> {
    match name {
        "in_service" => Some(ServerState::InService),
        "terminating" => Some(ServerState::Terminating),
        "terminated" => Some(ServerState::Terminated),
        _ => None,
    }
}

/// The names by which requests refer to the classes and tenants of the settings.
pub struct RequestNames {
    classes: Vec<String>,
    tenants: Vec<String>,
}

impl RequestNames {
    /// Index of the class in [`Settings::classes`].
    pub fn class_index(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class == name)
    }

    /// Index of the tenant in [`Settings::tenants`].
    pub fn tenant_index(&self, name: &str) -> Option<usize> {
        self.tenants.iter().position(|tenant| tenant == name)
    }

    /// Warns about empty and repeated names: no request can refer to such a class or tenant.
    pub(crate) fn check_names(&self, findings: &mut Findings) {
        for (list, names) in [("classes", &self.classes), ("tenants", &self.tenants)] {
            for (n, name) in names.iter().enumerate() {
                let path = format!("settings.{list}[{n}].name");
                if name.is_empty() {
                    findings.add_warning(path, "a name", "nothing");
                } else if names[..n].contains(name) {
                    findings.add_warning(path, "a unique name", format!("{} again", quote(name)));
                }
            }
        }
    }
}

/// The value of a setting, and its path in the JSON file if it comes from one.
struct SettingValue {
    text: String,
    json_path: Option<String>,
}

/// Settings by dotted path.
#[derive(Default)]
pub struct SettingPairs {
    values: HashMap<String, SettingValue>,
    /// Paths that hold an object or a list of objects: the path in the JSON file and a description.
    nested: HashMap<String, (String, &'static str)>,
}

impl SettingPairs {
    /// Parses a line of `path=value` pairs that are separated by spaces.
    pub fn parse_line(line: &str) -> Result<Self, InputError> {
        let mut pairs = SettingPairs::default();
        for pair in line.split(' ').filter(|pair| !pair.is_empty()) {
            let (path, value) = pair
                .split_once('=')
                .ok_or_else(|| InputError::new(format!("'{pair}' is not a path=value pair")))?;
            pairs.set(path.to_owned(), value.to_owned(), None);
        }
        Ok(pairs)
    }

    /// Sets the value of a path. `json_path` is the path in the JSON file, which findings name instead.
    pub fn set(&mut self, path: String, text: String, json_path: Option<String>) {
        self.values.insert(path, SettingValue { text, json_path });
    }

    /// Records that a path holds an object or a list of objects, which `description` names.
    pub fn set_nested(&mut self, path: String, json_path: String, description: &'static str) {
        self.nested.insert(path, (json_path, description));
    }

    /// The value of a path; an empty value and `-` count as absent.
    pub fn get(&self, path: &str) -> Option<&str> {
        self.values.get(path).map(|value| value.text.as_str()).filter(|text| !text.is_empty() && *text != "-")
    }

    /// The path that a finding names: the one in the JSON file, or the dotted path.
    fn finding_path(&self, path: &str) -> String {
        self.values.get(path).and_then(|value| value.json_path.clone()).unwrap_or_else(|| path.to_owned())
    }
}

/// Settings that the simulator's protocol lets a deployment omit, and settings that later deployments may
/// add. Their absence means the default and is not reported.
const OPTIONAL_SETTINGS: [&str; 5] = [
    "classes.count",
    "tenants.count",
    "domain.warm-keys",
    "rules.settle-after-doubt",
    "rules.may-shed-begun",
];

/// Reads typed values from pairs. An absent or invalid value is replaced by the caller's default; both cases
/// are recorded in the findings.
pub struct SettingsReader<'a> {
    pairs: &'a SettingPairs,
    /// The findings so far.
    pub findings: Findings,
}

impl<'a> SettingsReader<'a> {
    /// A reader of these pairs without findings.
    pub fn new(pairs: &'a SettingPairs) -> Self {
        SettingsReader { pairs, findings: Findings::default() }
    }

    /// Reads the text of a path; an absent one is not recorded in the findings.
    pub fn read_text(&self, path: &str) -> Option<&'a str> {
        self.pairs.get(path)
    }

    /// Reads a whole number.
    pub fn read_whole(&mut self, path: &str, default: u64) -> u64 {
        self.read_number(path, default, "a whole number, 0 or more", |text| text.parse().ok())
    }

    fn read_finite(&mut self, path: &str, default: f64) -> f64 {
        let parse = |text: &str| text.parse().ok().filter(|value: &f64| value.is_finite());
        self.read_number(path, default, "a finite number", parse)
    }

    /// Reads the text of a path; adds a warning if the path holds an object or a list of objects.
    fn read_scalar(&mut self, path: &str, expected: &str) -> Option<&'a str> {
        if let Some((json_path, description)) = self.pairs.nested.get(path) {
            self.findings.add_warning(json_path, expected, *description);
        }
        self.read_text(path)
    }

    /// Records that `default` is used for an absent setting, unless the setting is optional.
    fn record_default(&mut self, path: &str, default: impl fmt::Display) {
        let is_optional = OPTIONAL_SETTINGS.contains(&path) || path.ends_with(".serial-by-key");
        if !is_optional && !self.pairs.nested.contains_key(path) {
            self.findings.add_default(path, default.to_string());
        }
    }

    fn read_number<T: fmt::Display>(
        &mut self,
        path: &str,
        default: T,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> T {
        let Some(text) = self.read_scalar(path, expected) else {
            self.record_default(path, &default);
            return default;
        };
        parse(text).unwrap_or_else(|| {
            self.findings.add_error(self.pairs.finding_path(path), expected, quote(text));
            default
        })
    }

    /// Reads a boolean; the default is false.
    fn read_bool(&mut self, path: &str) -> bool {
        let choices = [("true", true), ("1", true), ("false", false), ("0", false)];
        self.read_choice(path, &choices).unwrap_or(false)
    }

    /// Reads one of several keywords and returns the value that belongs to it. An unknown keyword counts as
    /// absent and gets only a warning: a later version may know it.
    fn read_choice<T: Clone>(&mut self, path: &str, choices: &[(&str, T)]) -> Option<T> {
        let expected = || choices.iter().map(|(keyword, _)| *keyword).collect::<Vec<_>>().join(" or ");
        let text = match self.pairs.nested.contains_key(path) {
            true => self.read_scalar(path, &expected())?,
            false => self.read_text(path).or_else(|| {
                self.record_default(path, "none");
                None
            })?,
        };
        let choice = choices.iter().find(|(keyword, _)| *keyword == text);
        if choice.is_none() {
            self.findings.add_warning(self.pairs.finding_path(path), expected(), quote(text));
        }
        choice.map(|(_, value)| value.clone())
    }
}

/// Parses the settings; fails with all findings if any of them is an error. Unknown paths and keywords are
/// ignored.
pub fn parse_settings(pairs: &SettingPairs) -> Result<(Settings, RequestNames), Findings> {
    let mut reader = SettingsReader::new(pairs);
    let parsed = read_settings(&mut reader);
    match reader.findings.has_errors() {
        true => Err(reader.findings),
        false => Ok(parsed),
    }
}

/// Reads the settings and uses defaults for absent and invalid ones; the findings are left in the reader.
pub fn read_settings(reader: &mut SettingsReader<'_>) -> (Settings, RequestNames) {
    let (classes, class_names) = read_items(reader, "classes", read_class);
    let (tenants, tenant_names) = read_items(reader, "tenants", read_tenant);
    let settings = Settings {
        group_size: reader.read_whole("group-size", 1).clamp(1, 1 << 20) as u32,
        classes,
        tenants,
        over_quota_worth: reader.read_finite("over-share-worth", 1.0),
        worth_by: reader
            .read_choice("worth-by", &[("work", WorthBy::Work), ("request", WorthBy::Request)])
            .unwrap_or_default(),
        weight_source: reader
            .read_choice(
                "weight-source",
                &[
                    ("nominal", WeightSource::Nominal),
                    ("rough", WeightSource::Rough),
                    ("live", WeightSource::Live),
                    ("off", WeightSource::Off),
                ],
            )
            .unwrap_or_default(),
        discovery_mode: reader
            .read_choice("registry-mode", &[("ask", DiscoveryMode::Subscribe), ("push", DiscoveryMode::Push)])
            .unwrap_or_default(),
        servers_cache_keys: reader.read_bool("domain.warm-keys"),
        can_cancel: reader.read_bool("bounds.cancelling"),
        can_probe: reader.read_bool("bounds.may-probe"),
        allows_concurrent_attempts: reader.read_bool("bounds.second-copies"),
        max_attempts: reader.read_whole("bounds.max-attempts", 1).min(u64::from(u32::MAX)) as u32,
        sends_retry_after: reader.read_bool("bounds.retry-after"),
        max_retry_after: reader.read_whole("bounds.max-retry-after", 0),
        handshake_deduction: reader.read_finite("deductions.handshake", 0.0),
        connection_deduction: reader.read_finite("deductions.connection", 0.0),
        start_capacity: reader.read_finite("rules.start-capacity", 1.0),
        ramp_time: reader.read_whole("rules.ramp-time", 0),
        cold_overload_multiple: reader.read_finite("rules.fall-multiple", 1.0),
        max_unsubscribed_time: reader.read_whole("rules.ask-within", 10_000_000),
        serial_key_cooldown: reader.read_whole("rules.settle-after-doubt", 0),
        full_may_have_run: reader.read_bool("rules.may-shed-begun"),
        utilization_index: reader
            .read_text("report.fields")
            .and_then(|fields| fields.split(',').position(|field| field == "util")),
    };
    (settings, RequestNames { classes: class_names, tenants: tenant_names })
}

/// The largest number of classes, and of tenants, that the settings may have.
const MAX_ITEMS: u64 = 10_000;

/// Reads the items `path.0`, `path.1` and so on, up to the number at `path.count`, with their names.
fn read_items<T>(
    reader: &mut SettingsReader<'_>,
    path: &str,
    read_item: fn(&mut SettingsReader<'_>, &str) -> T,
) -> (Vec<T>, Vec<String>) {
    let count_path = format!("{path}.count");
    const EXPECTED: &str = "a list of objects";
    if reader.read_text(&count_path).is_none() {
        if let Some(text) = reader.read_scalar(path, EXPECTED) {
            reader.findings.add_warning(reader.pairs.finding_path(path), EXPECTED, quote(text));
        }
    }
    let mut count = reader.read_whole(&count_path, 0);
    if count > MAX_ITEMS {
        let json_path = reader.pairs.finding_path(&count_path);
        reader.findings.add_error(json_path, format!("at most {MAX_ITEMS} items"), count.to_string());
        count = 0;
    }
    let read_with_name = |i| {
        let item_path = format!("{path}.{i}");
        let name = reader.read_text(&format!("{item_path}.name")).unwrap_or("").to_owned();
        (read_item(reader, &item_path), name)
    };
    (0..count).map(read_with_name).unzip()
}

fn read_class(reader: &mut SettingsReader<'_>, path: &str) -> Class {
    let deadline = reader.read_whole(&format!("{path}.deadline"), 1_000_000);
    let keywords = ["safe", "keyed", "unsafe"].map(|keyword| (keyword, keyword));
    let semantics = match reader.read_choice(&format!("{path}.semantics"), &keywords) {
        Some("safe") => Semantics::Safe,
        Some("keyed") => {
            let scopes = [("all", DedupScope::All), ("zone", DedupScope::Zone), ("cell", DedupScope::Cell)];
            Semantics::Deduplicated {
                scope: reader.read_choice(&format!("{path}.key-scope"), &scopes).unwrap_or(DedupScope::Cell),
                ttl: reader.read_whole(&format!("{path}.key-ttl"), 0),
            }
        }
        // A request that is not known to be repeatable must not be repeated.
        _ => Semantics::Unsafe,
    };
    Class {
        aim: reader.read_whole(&format!("{path}.aim"), deadline),
        deadline,
        points: reader.read_finite(&format!("{path}.points"), 1.0),
        late_share: reader.read_finite(&format!("{path}.late-share"), 0.0),
        semantics,
        is_serial_by_key: reader.read_bool(&format!("{path}.serial-by-key")),
    }
}

fn read_tenant(reader: &mut SettingsReader<'_>, path: &str) -> Tenant {
    Tenant { quota_per_s: reader.read_finite(&format!("{path}.quota-per-s"), 0.0) }
}
