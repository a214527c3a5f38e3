//! Problems found while parsing an input. A parser collects all of them, each with its path, what was
//! expected and what was found, so that one run reports everything that has to be corrected.

use std::fmt;

use serde_json::Value;

/// Characters of an input string that a finding repeats at most.
const MAX_QUOTED_CHARS: usize = 60;

/// What a finding means for a node that starts with the input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// The node does not start.
    Error,
    /// The node starts. It ignores a value that it can't read, or uses the default; it keeps an implausible
    /// value.
    Warning,
}

/// One problem in an input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Path of the value in the input, such as `settings.classes[0].aim`; empty for the whole input.
    pub path: String,
    /// Description of a valid value.
    pub expected: String,
    /// Description of the value that was found.
    pub found: String,
    /// What the problem means for a node.
    pub severity: Severity,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = if self.path.is_empty() { "the file" } else { &self.path };
        write!(f, "{path}: expected {}, found {}", self.expected, self.found)
    }
}

/// All findings of one input in the order in which the parser added them, and the defaults that it used.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    findings: Vec<Finding>,
    defaults: Vec<(String, String)>,
}

impl Findings {
    /// Adds a problem that keeps a node from starting.
    pub fn add_error(
        &mut self,
        path: impl Into<String>,
        expected: impl Into<String>,
        found: impl Into<String>,
    ) {
        self.add(path.into(), expected.into(), found.into(), Severity::Error);
    }

    /// Adds a problem in spite of which a node starts.
    pub fn add_warning(
        &mut self,
        path: impl Into<String>,
        expected: impl Into<String>,
        found: impl Into<String>,
    ) {
        self.add(path.into(), expected.into(), found.into(), Severity::Warning);
    }

    fn add(&mut self, path: String, expected: String, found: String, severity: Severity) {
        self.findings.push(Finding { path, expected, found, severity });
    }

    /// Records that a setting is absent and that `default` is used for it. This is not a problem, but it is
    /// reported, so that no default applies unnoticed.
    pub fn add_default(&mut self, path: impl Into<String>, default: impl Into<String>) {
        self.defaults.push((path.into(), default.into()));
    }

    /// The absent settings, each with its path and the default that is used.
    pub fn defaults(&self) -> &[(String, String)] {
        &self.defaults
    }

    /// Appends the findings and defaults of `other`.
    pub fn append(&mut self, mut other: Findings) {
        self.findings.append(&mut other.findings);
        self.defaults.append(&mut other.defaults);
    }

    /// Whether any finding keeps a node from starting.
    pub fn has_errors(&self) -> bool {
        self.findings.iter().any(|finding| finding.severity == Severity::Error)
    }

    /// All errors and warnings.
    pub fn all(&self) -> &[Finding] {
        &self.findings
    }
}

/// All errors and warnings, separated by semicolons.
impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, finding) in self.findings.iter().enumerate() {
            write!(f, "{}{finding}", if n > 0 { "; " } else { "" })?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}

/// Quotes a string for a finding and truncates it after 60 characters.
pub fn quote(text: &str) -> String {
    match text.char_indices().nth(MAX_QUOTED_CHARS) {
        Some((end, _)) => format!("'{}…'", &text[..end]),
        None => format!("'{text}'"),
    }
}

/// Describes a JSON value for a finding; the value of an absent key is "nothing".
pub fn describe_value(value: Option<&Value>) -> String {
    match value {
        None => "nothing".to_owned(),
        Some(Value::Null) => "null".to_owned(),
        Some(Value::Bool(flag)) => flag.to_string(),
        Some(Value::Number(number)) => number.to_string(),
        Some(Value::String(text)) => quote(text),
        Some(Value::Array(items)) => format!("a list of {} items", items.len()),
        Some(Value::Object(_)) => "an object".to_owned(),
    }
}
