//! `fircroft check`: parses an input with the node's own code and prints the findings.

use std::collections::HashMap;
use std::io::Write;

use anyhow::Context;
use serde::Serialize;
use woodgap::config::Config;
use woodgap::findings::{Finding, Severity};

use crate::args::CheckConfig;
use crate::{print_json, ExitStatus};

/// A finding as `--json` prints it.
#[derive(Serialize)]
struct Row<'a> {
    path: &'a str,
    expected: &'a str,
    found: &'a str,
    severity: &'static str,
}

fn severity_label(finding: &Finding) -> &'static str {
    match finding.severity {
        Severity::Error => "error",
        Severity::Warning => "warning",
    }
}

/// Checks the configuration file of a node.
pub fn check_config(args: &CheckConfig, out: &mut impl Write) -> anyhow::Result<ExitStatus> {
    let file = args.file.display();
    let text = std::fs::read_to_string(&args.file).with_context(|| file.to_string())?;
    let env: HashMap<String, String> = match args.env {
        true => std::env::vars_os()
            .filter_map(|(name, value)| Some((name.into_string().ok()?, value.into_string().ok()?)))
            .collect(),
        false => HashMap::new(),
    };
    let (config, findings) = Config::parse(&text, &env);
    // The defaults matter only for a node that starts.
    let defaults = if config.is_some() { findings.defaults() } else { &[] };
    tracing::debug!(%file, findings = findings.all().len(), "node configuration parsed");
    if args.json {
        let finding_rows = findings.all().iter().map(|finding| Row {
            path: &finding.path,
            expected: &finding.expected,
            found: &finding.found,
            severity: severity_label(finding),
        });
        let default_rows = defaults.iter().map(|(path, default)| Row {
            path,
            expected: "a setting",
            found: default,
            severity: "note",
        });
        let rows = finding_rows.chain(default_rows);
        print_json(out, &rows.collect::<Vec<_>>())?;
    } else {
        for finding in findings.all() {
            writeln!(out, "{}: {finding}", severity_label(finding))?;
        }
        for (path, default) in defaults {
            writeln!(out, "note: settings.{path}: not set, the default is {default}")?;
        }
        let errors = findings.all().iter().filter(|finding| finding.severity == Severity::Error).count();
        let warnings = findings.all().len() - errors;
        match &config {
            Some(config) if warnings == 0 => {
                let (classes, servers) = (config.settings.classes.len(), config.cached_list.entries.len());
                writeln!(out, "{file}: valid, {classes} classes, {servers} known servers")?;
            }
            Some(_) => writeln!(out, "{file}: a node starts with this, {warnings} warnings")?,
            None => writeln!(
                out,
                "{file}: a node does not start with this, {errors} errors, {warnings} warnings"
            )?,
        }
    }
    Ok(if findings.all().is_empty() { ExitStatus::Success } else { ExitStatus::InvalidInput })
}
