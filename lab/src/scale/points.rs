//! Rows of measured points: median and range of each size, the line through the medians, its value at the target.

use anyhow::{Context, ensure};
use clap::Args;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::PathBuf;

/// A line that is drawn farther than so many times the largest size is marked.
const FAR: f64 = 10.0;

/// What to make a row of.
#[derive(Debug, Args)]
pub struct Order {
    /// A file of lines as the other commands print them.
    points: PathBuf,
    /// The field that is the size.
    #[arg(long)]
    x: String,
    /// The field that was measured.
    #[arg(long)]
    y: String,
    /// Only lines whose field has this value, as `field=value`.
    #[arg(long)]
    only: Vec<String>,
    /// The size at the target.
    #[arg(long)]
    at: f64,
    /// What may be spent there.
    #[arg(long)]
    budget: Option<f64>,
}

/// A line through points, by least squares of the relative error.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Line {
    start: f64,
    slope: f64,
}

impl Line {
    fn through(points: &[(f64, f64)]) -> Option<Self> {
        let (mut weights, mut xs, mut ys, mut squares, mut products) = (0.0, 0.0, 0.0, 0.0, 0.0);
        for &(x, y) in points {
            let weight = 1.0 / (y * y).max(f64::MIN_POSITIVE);
            weights += weight;
            xs += weight * x;
            ys += weight * y;
            squares += weight * x * x;
            products += weight * x * y;
        }
        let spread = weights * squares - xs * xs;
        let slope = (weights * products - xs * ys) / spread;
        let line = Line {
            start: (ys - slope * xs) / weights,
            slope,
        };
        (slope.is_finite() && line.start.is_finite()).then_some(line)
    }

    fn at(self, x: f64) -> f64 {
        self.start + self.slope * x
    }

    /// The largest part by which a point lies off the line.
    fn error(self, points: &[(f64, f64)]) -> f64 {
        points
            .iter()
            .map(|&(x, y)| (self.at(x) / y - 1.0).abs())
            .fold(0.0, f64::max)
    }
}

/// The rows as text.
///
/// # Errors
/// The file can't be read, or holds too few points for a line.
pub fn row(order: &Order) -> anyhow::Result<String> {
    let text =
        std::fs::read_to_string(&order.points).context(order.points.display().to_string())?;
    let mut sizes: BTreeMap<u64, Vec<f64>> = BTreeMap::new();
    for line in text.lines().filter(|line| line.starts_with('{')) {
        let point: Value = serde_json::from_str(line).context("a line of the points")?;
        let same = |only: &String| {
            let (field, value) = only.split_once('=').unwrap_or((only, ""));
            point[field].to_string().trim_matches('"') == value
        };
        let (Some(x), Some(y)) = (point[&order.x].as_f64(), point[&order.y].as_f64()) else {
            continue;
        };
        if order.only.iter().all(same) {
            sizes.entry(x as u64).or_default().push(y);
        }
    }
    let mut rows = String::new();
    let mut medians = Vec::new();
    for (&size, values) in &mut sizes {
        values.sort_by(f64::total_cmp);
        let median = values[values.len() / 2];
        let (least, most) = (values[0], values[values.len() - 1]);
        writeln!(
            rows,
            "{} {size}: {median:.4} ({least:.4} to {most:.4}), {} runs",
            order.x,
            values.len()
        )?;
        medians.push((size as f64, median));
    }
    ensure!(
        medians.len() >= 2,
        "a line needs two sizes, there are {}",
        medians.len()
    );
    let line = Line::through(&medians).context("no line fits")?;
    let (value, largest) = (line.at(order.at), medians[medians.len() - 1].0);
    let far = if order.at > FAR * largest {
        ", extrapolated over 10 times"
    } else {
        ""
    };
    writeln!(
        rows,
        "{} = {:.6} + {:.6e} x {}, off by {:.0}% at most",
        order.y,
        line.start,
        line.slope,
        order.x,
        100.0 * line.error(&medians)
    )?;
    write!(rows, "at {}: {value:.4}{far}", order.at)?;
    if let Some(budget) = order.budget {
        write!(rows, ", budget {budget}, ratio {:.3}", value / budget)?;
    }
    rows.push('\n');
    Ok(rows)
}
