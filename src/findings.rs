//! What is wrong with an input: all of it at once, each with its place, what was expected and what stands there.

use std::fmt;

use serde_json::Value;

/// The longest text of an input that a finding repeats.
const LONGEST_QUOTE: usize = 60;

/// What a finding means for the node that reads the input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It does not start.
    Refused,
    /// It starts and goes on without it, or with what stands for it otherwise.
    LeftOut,
}

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Its place in the input, as `settings.classes[0].aim`; empty for the whole of it.
    pub path: String,
    /// What was expected there.
    pub expected: String,
    /// What stands there.
    pub found: String,
    /// What follows from it.
    pub effect: Effect,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = if self.path.is_empty() { "the file" } else { &self.path };
        write!(f, "{path}: expected {}, found {}", self.expected, self.found)
    }
}

/// The findings of one reading, in the order in which they were met.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    wrong: Vec<Finding>,
    assumed: Vec<(String, String)>,
}

impl Findings {
    /// Notes something that keeps a node from starting.
    pub fn refuse(&mut self, path: impl Into<String>, expected: impl Into<String>, found: impl Into<String>) {
        self.note(path.into(), expected.into(), found.into(), Effect::Refused);
    }

    /// Notes something that a node goes on without.
    pub fn leave_out(
        &mut self,
        path: impl Into<String>,
        expected: impl Into<String>,
        found: impl Into<String>,
    ) {
        self.note(path.into(), expected.into(), found.into(), Effect::LeftOut);
    }

    fn note(&mut self, path: String, expected: String, found: String, effect: Effect) {
        self.wrong.push(Finding { path, expected, found, effect });
    }

    /// Notes what stands for a setting that the input does not tell: nothing is wrong, and nothing is quiet.
    pub fn assume(&mut self, path: impl Into<String>, stands: impl Into<String>) {
        self.assumed.push((path.into(), stands.into()));
    }

    /// The settings that were not told, and what stands for each.
    pub fn assumed(&self) -> &[(String, String)] {
        &self.assumed
    }

    /// Adds those of another reading.
    pub fn append(&mut self, mut other: Findings) {
        self.wrong.append(&mut other.wrong);
        self.assumed.append(&mut other.assumed);
    }

    /// Whether a node that reads this does not start.
    pub fn refused(&self) -> bool {
        self.wrong.iter().any(|finding| finding.effect == Effect::Refused)
    }

    /// All of them.
    pub fn all(&self) -> &[Finding] {
        &self.wrong
    }
}

/// All findings, set apart by semicolons.
impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, finding) in self.wrong.iter().enumerate() {
            write!(f, "{}{finding}", if n > 0 { "; " } else { "" })?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}

/// A text as findings repeat it: in quotes, cut where it is long.
pub fn quote(text: &str) -> String {
    match text.char_indices().nth(LONGEST_QUOTE) {
        Some((end, _)) => format!("'{}…'", &text[..end]),
        None => format!("'{text}'"),
    }
}

/// A value as findings repeat it.
pub fn describe(value: Option<&Value>) -> String {
    match value {
        None => "nothing".to_owned(),
        Some(Value::Null) => "null".to_owned(),
        Some(Value::Bool(flag)) => flag.to_string(),
        Some(Value::Number(number)) => number.to_string(),
        Some(Value::String(text)) => quote(text),
        Some(Value::Array(items)) => format!("a list of {}", items.len()),
        Some(Value::Object(_)) => "an object".to_owned(),
    }
}
