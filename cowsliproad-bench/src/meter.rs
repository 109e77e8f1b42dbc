//! What a node uses: processor time of its thread, memory of the process.

use std::{fs, time::Duration};

/// The processor time of all threads of this process.
pub fn cpu_of_process() -> Duration {
    sum(|_| true)
}

/// The processor time of all threads of this process with a name.
pub fn cpu(name: &str) -> Duration {
    // The kernel keeps 15 characters of a thread's name.
    let wanted: String = name.chars().take(15).collect();
    sum(|comm| comm == wanted)
}

fn sum(wanted: impl Fn(&str) -> bool) -> Duration {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    let mut sum = Duration::ZERO;
    for task in tasks.flatten() {
        let read = |file| fs::read_to_string(task.path().join(file));
        let Ok(comm) = read("comm") else { continue };
        if !wanted(comm.trim()) {
            continue;
        }
        let Ok(stat) = read("schedstat") else { continue };
        let run = stat.split_whitespace().next();
        let run = run.and_then(|it| it.parse().ok());
        sum += Duration::from_nanos(run.unwrap_or(0));
    }
    sum
}

/// The resident memory of this process in bytes.
pub fn memory() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    let pages: u64 = pages.and_then(|it| it.parse().ok()).unwrap_or(0);
    pages * PAGE
}

/// The size of a page in bytes on the machines that the bench runs on.
const PAGE: u64 = 4096;

/// The line through points by least squares: its slope, its value at zero,
/// and the share of the variance that it explains.
pub fn line(points: &[(f64, f64)]) -> Line {
    let count = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| {
        points.iter().map(of).sum::<f64>() / count
    };
    let (x, y) = (mean(|it| it.0), mean(|it| it.1));
    let sum =
        |of: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>();
    let xx = sum(&|it| (it.0 - x).powi(2));
    let xy = sum(&|it| (it.0 - x) * (it.1 - y));
    let yy = sum(&|it| (it.1 - y).powi(2));
    let slope = if xx > 0.0 { xy / xx } else { 0.0 };
    let fit = if yy > 0.0 { xy * xy / (xx * yy) } else { 1.0 };
    Line { slope, base: y - slope * x, fit }
}

/// A fitted line.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    /// What one more costs.
    pub slope: f64,
    /// What none cost.
    pub base: f64,
    /// The share of the variance that the line explains.
    pub fit: f64,
}

impl Line {
    /// The line as JSON, with the range that it was measured over.
    pub fn json(
        &self,
        unit: &str,
        points: &[(f64, f64)],
    ) -> serde_json::Value {
        let xs = points.iter().map(|it| it.0);
        serde_json::json!({
            "slope": self.slope,
            "base": self.base,
            "fit_r2": self.fit,
            "unit": unit,
            "from": xs.clone().fold(f64::INFINITY, f64::min),
            "to": xs.fold(0.0, f64::max),
            "points": points.len(),
        })
    }
}
