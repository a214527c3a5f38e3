//! What each role costs by size: memory, processor time and bytes, measured on real processes, with a line fitted
//! to each and how far the points lie from it. `docs/CAPACITY.md` works the product's size out from these slopes.
//!
//! The machine is shared and its speed drifts: a floor, one process that does nothing but count, is timed before and
//! after each part.

mod node;
mod registry;

use std::time::{Duration, Instant};

use anyhow::Context;
use tokio::time::sleep;

use crate::process::{Process, Usage};
use crate::site::{Plan, Site};

/// Members, and watchers or reporters, that are measured.
pub(crate) const MEMBERS: [usize; 4] = [1_500, 3_000, 6_000, 12_000];
pub(crate) const NODES: [usize; 4] = [50, 100, 200, 350];

/// A figure by size.
pub(crate) struct Series {
    what: String,
    unit: &'static str,
    points: Vec<(f64, f64)>,
}

impl Series {
    pub fn new(what: impl Into<String>, unit: &'static str) -> Series {
        Series { what: what.into(), unit, points: Vec::new() }
    }

    pub fn add(&mut self, size: usize, figure: f64) {
        self.points.push((size as f64, figure));
    }

    /// The line of least squares: what is there at size 0, the slope, and the farthest point from it as a part of
    /// the largest figure.
    pub fn fit(&self) -> (f64, f64, f64) {
        let n = self.points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| self.points.iter().map(of).sum::<f64>() / n;
        let (x, y) = (mean(|p| p.0), mean(|p| p.1));
        let over: f64 = self.points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
        let under: f64 = self.points.iter().map(|p| (p.0 - x).powi(2)).sum();
        let slope = if under > 0.0 { over / under } else { 0.0 };
        let base = y - slope * x;
        let most = self.points.iter().map(|p| p.1.abs()).fold(f64::MIN_POSITIVE, f64::max);
        let off = self.points.iter().map(|p| (p.1 - base - slope * p.0).abs()).fold(0.0, f64::max) / most;
        (base, slope, off)
    }

    /// A row of the page's table.
    pub fn print(&self) {
        let (base, slope, off) = self.fit();
        let points: Vec<String> = self.points.iter().map(|(x, y)| format!("{x:.0}: {y:.4}")).collect();
        let (what, unit) = (&self.what, self.unit);
        println!(
            "| {what} | {} | {base:.4} + {slope:.3e} n {unit} | {:.0}% |",
            points.join(", "),
            off * 100.0
        );
    }
}

/// The time that counting to a fixed number takes here, now.
fn floor_ms() -> f64 {
    let start = Instant::now();
    let mut sum = 0u64;
    for n in 0..50_000_000u64 {
        sum = std::hint::black_box(sum.wrapping_add(n));
    }
    start.elapsed().as_secs_f64() * 1e3
}

/// Processor seconds that a process used while something went on.
pub(crate) async fn cpu_of<T>(
    processes: &[&Process],
    while_: impl AsyncFnOnce() -> anyhow::Result<T>,
) -> anyhow::Result<(Vec<f64>, T)> {
    let before: Vec<Usage> = processes.iter().map(|p| p.usage()).collect::<Result<_, _>>()?;
    let done = while_().await?;
    let after: Vec<Usage> = processes.iter().map(|p| p.usage()).collect::<Result<_, _>>()?;
    Ok((before.iter().zip(&after).map(|(b, a)| a.cpu_s - b.cpu_s).collect(), done))
}

/// Measures all roles and prints the tables.
///
/// # Errors
///
/// Where a process does not start or ends.
pub async fn measure() -> anyhow::Result<()> {
    let plan = Plan { replicas: 3, nodes: 0, servers: 0, load: 0.001, ..Plan::default() };
    let mut site = Site::start(plan, 1).await?;
    site.front.load_off();
    let leader = site.leader().await.context("no leader")?;
    println!("floor {:.0} ms\n\n| what | measured | line | off by |\n| --- | --- | --- | --- |", floor_ms());
    node::measure(&site).await?;
    registry::measure(&mut site, leader).await?;
    sleep(Duration::from_millis(100)).await;
    println!("\nfloor {:.0} ms", floor_ms());
    Ok(())
}

#[cfg(test)]
mod tests;
