//! Measures on real processes what each role costs by size: memory, processor time and bytes. Fits a line to each
//! series of measurements and prints how far the points lie from it. `docs/CAPACITY.md` computes the size of a
//! deployment from these slopes.
//!
//! The machine is shared and its speed drifts. To show that, a reference loop in one process, which only counts, is
//! timed before and after the measurements.

mod node;
mod registry;

use std::time::{Duration, Instant};

use anyhow::Context;
use tokio::time::sleep;

use crate::process::{Process, Usage};
use crate::site::{Site, SiteConfig};

/// The numbers of members that are measured.
pub(crate) const MEMBER_COUNTS: [usize; 4] = [1_500, 3_000, 6_000, 12_000];
/// The numbers of nodes that are measured, as watchers and as reporters.
pub(crate) const NODE_COUNTS: [usize; 4] = [50, 100, 200, 350];
const REFERENCE_LOOP_COUNT: u64 = 50_000_000;

/// Measurements of one quantity by size.
pub(crate) struct Series {
    label: String,
    unit: &'static str,
    points: Vec<(f64, f64)>,
}

impl Series {
    pub fn new(label: impl Into<String>, unit: &'static str) -> Series {
        Series { label: label.into(), unit, points: Vec::new() }
    }

    pub fn add_point(&mut self, size: usize, value: f64) {
        self.points.push((size as f64, value));
    }

    /// Fits a line by least squares. Returns the value at size 0, the slope, and the largest distance of a point from
    /// the line as a part of the largest value.
    pub fn fit_line(&self) -> (f64, f64, f64) {
        let n = self.points.len() as f64;
        let mean = |coordinate: fn(&(f64, f64)) -> f64| self.points.iter().map(coordinate).sum::<f64>() / n;
        let (x, y) = (mean(|p| p.0), mean(|p| p.1));
        let covariance: f64 = self.points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
        let variance: f64 = self.points.iter().map(|p| (p.0 - x).powi(2)).sum();
        let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
        let base = y - slope * x;
        let largest = self.points.iter().map(|p| p.1.abs()).fold(f64::MIN_POSITIVE, f64::max);
        let residual = self.points.iter().map(|p| (p.1 - base - slope * p.0).abs()).fold(0.0, f64::max);
        (base, slope, residual / largest)
    }

    /// Prints the series as a row of the table.
    pub fn print_row(&self) {
        let (base, slope, residual_part) = self.fit_line();
        let points: Vec<String> = self.points.iter().map(|(x, y)| format!("{x:.0}: {y:.4}")).collect();
        let (label, unit) = (&self.label, self.unit);
        println!(
            "| {label} | {} | {base:.4} + {slope:.3e} n {unit} | {:.0}% |",
            points.join(", "),
            residual_part * 100.0
        );
    }
}

/// Returns how many milliseconds the reference loop takes at present. The output calls it the floor.
fn time_reference_loop_ms() -> f64 {
    let start = Instant::now();
    let mut sum = 0u64;
    for n in 0..REFERENCE_LOOP_COUNT {
        sum = std::hint::black_box(sum.wrapping_add(n));
    }
    start.elapsed().as_secs_f64() * 1e3
}

/// Returns the processor time in seconds that each process used during `operation`, and the operation's result.
pub(crate) async fn measure_cpu_s<T>(
    processes: &[&Process],
    operation: impl AsyncFnOnce() -> anyhow::Result<T>,
) -> anyhow::Result<(Vec<f64>, T)> {
    let before: Vec<Usage> = processes.iter().map(|p| p.usage()).collect::<Result<_, _>>()?;
    let result = operation().await?;
    let after: Vec<Usage> = processes.iter().map(|p| p.usage()).collect::<Result<_, _>>()?;
    Ok((before.iter().zip(&after).map(|(before, after)| after.cpu_s - before.cpu_s).collect(), result))
}

/// Measures all roles and prints the tables.
///
/// # Errors
///
/// Fails if a process does not start, or exits.
pub async fn measure() -> anyhow::Result<()> {
    let config =
        SiteConfig { replicas: 3, nodes: 0, servers: 0, requests_per_s: 0.001, ..SiteConfig::default() };
    let mut site = Site::start(config, 1).await?;
    site.load_generator.stop();
    let leader = site.find_leader().await.context("no leader")?;
    println!(
        "floor {:.0} ms\n\n| what | measured | line | off by |\n| --- | --- | --- | --- |",
        time_reference_loop_ms()
    );
    node::measure(&site).await?;
    registry::measure(&mut site, leader).await?;
    sleep(Duration::from_millis(100)).await;
    println!("\nfloor {:.0} ms", time_reference_loop_ms());
    Ok(())
}

#[cfg(test)]
mod tests;
