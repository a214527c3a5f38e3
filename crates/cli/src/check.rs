//! `fircroft check`: what the node's own reading finds wrong.

use std::collections::HashMap;
use std::io::Write;

use anyhow::Context;
use serde::Serialize;
use woodgap::config::Config;
use woodgap::findings::{Effect, Finding};

use crate::args::CheckConfig;
use crate::{print_json, Verdict};

/// A finding, as `--json` prints it.
#[derive(Serialize)]
struct Row<'a> {
    path: &'a str,
    expected: &'a str,
    found: &'a str,
    severity: &'static str,
}

fn severity(finding: &Finding) -> &'static str {
    match finding.effect {
        Effect::Refused => "error",
        Effect::LeftOut => "warning",
    }
}

/// Checks a node's configuration.
pub fn config(check: &CheckConfig, out: &mut impl Write) -> anyhow::Result<Verdict> {
    let file = check.file.display();
    let text = std::fs::read_to_string(&check.file).with_context(|| file.to_string())?;
    let env: HashMap<String, String> = match check.env {
        true => std::env::vars_os()
            .filter_map(|(name, value)| Some((name.into_string().ok()?, value.into_string().ok()?)))
            .collect(),
        false => HashMap::new(),
    };
    let (config, findings) = Config::read(&text, &env);
    // What stands for the rest matters once a node starts.
    let assumed = if config.is_some() { findings.assumed() } else { &[] };
    tracing::debug!(%file, findings = findings.all().len(), "read");
    if check.json {
        let rows = findings.all().iter().map(|finding| Row {
            path: &finding.path,
            expected: &finding.expected,
            found: &finding.found,
            severity: severity(finding),
        });
        let assumed = assumed.iter().map(|(path, stands)| Row {
            path,
            expected: "a setting",
            found: stands,
            severity: "note",
        });
        let rows = rows.chain(assumed);
        print_json(out, &rows.collect::<Vec<_>>())?;
    } else {
        for finding in findings.all() {
            writeln!(out, "{}: {finding}", severity(finding))?;
        }
        for (path, stands) in assumed {
            writeln!(out, "note: settings.{path}: not told, {stands} stands for it")?;
        }
        let errors = findings.all().iter().filter(|finding| finding.effect == Effect::Refused).count();
        let warnings = findings.all().len() - errors;
        match &config {
            Some(config) if warnings == 0 => {
                let (classes, servers) = (config.settings.classes.len(), config.known.entries.len());
                writeln!(out, "{file}: good, {classes} classes, {servers} known servers")?;
            }
            Some(_) => writeln!(out, "{file}: a node starts with this, {warnings} warnings")?,
            None => writeln!(
                out,
                "{file}: a node does not start with this, {errors} errors, {warnings} warnings"
            )?,
        }
    }
    Ok(if findings.all().is_empty() { Verdict::Done } else { Verdict::WrongInput })
}
