//! Least squares over figures of several sizes: slope, its error, and the value at a target.

#[cfg(test)]
mod tests;

use anyhow::{Context, bail, ensure};
use clap::{Args, ValueEnum};
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::PathBuf;

/// What a figure grows with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Form {
    /// The size.
    Linear,
    /// Its logarithm to base 10.
    Logarithm,
    /// Its square.
    Square,
}

impl Form {
    fn of(self, size: f64) -> f64 {
        match self {
            Form::Linear => size,
            Form::Logarithm => size.log10(),
            Form::Square => size * size,
        }
    }
}

/// What is fitted.
#[derive(Debug, Clone, Args)]
pub struct Order {
    /// File of figures, one JSON object a line, as the other commands print them.
    figures: PathBuf,
    /// The field that holds the size.
    #[arg(long, default_value = "members")]
    size: String,
    /// The field that holds the figure; fields within fields are divided by dots.
    #[arg(long)]
    figure: String,
    /// What the figure grows with.
    #[arg(long, value_enum, default_value_t = Form::Linear)]
    form: Form,
    /// The size at which the value is wanted.
    #[arg(long)]
    at: f64,
    /// Only lines in which this field has this value: `fault=none`.
    #[arg(long)]
    only: Vec<String>,
}

/// The runs of one size.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Point {
    /// The size.
    pub size: f64,
    /// Runs.
    pub runs: usize,
    /// Their median.
    pub median: f64,
    /// The least and the largest.
    pub range: (f64, f64),
}

/// A line through the points: intercept + slope * form(size).
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Line {
    /// The value where the form is zero.
    pub intercept: f64,
    /// The growth with the form.
    pub slope: f64,
    /// The slope's standard error.
    pub slope_error: f64,
    /// The largest distance of a median from the line, as a part of the median.
    pub worst_residual: f64,
}

/// The fit as it is printed.
#[derive(Debug, Serialize)]
pub struct Fit {
    form: Form,
    points: Vec<Point>,
    #[serde(flatten)]
    line: Line,
    at: f64,
    value: f64,
    /// How far beyond the largest size the target lies.
    extrapolation: f64,
}

/// Reads figures and fits them.
///
/// # Errors
/// The file can't be read, or has too few sizes.
pub fn fit(order: &Order) -> anyhow::Result<Fit> {
    let text = std::fs::read_to_string(&order.figures)
        .with_context(|| format!("{}", order.figures.display()))?;
    let points = points(&text, order)?;
    let line = line(&points, order.form)?;
    let largest = points.iter().map(|point| point.size).fold(0.0, f64::max);
    let value = line.intercept + line.slope * order.form.of(order.at);
    let extrapolation = order.at / largest;
    Ok(Fit {
        form: order.form,
        points,
        line,
        at: order.at,
        value,
        extrapolation,
    })
}

fn field<'a>(line: &'a Value, path: &str) -> &'a Value {
    path.split('.').fold(line, |value, name| &value[name])
}

fn matches(line: &Value, only: &str) -> anyhow::Result<bool> {
    let (path, wanted) = only.split_once('=').context("--only is FIELD=VALUE")?;
    let text = match field(line, path) {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    Ok(text == wanted)
}

/// The runs of each size, in the order of the sizes. Lines without the figure do not count.
fn points(text: &str, order: &Order) -> anyhow::Result<Vec<Point>> {
    let mut runs: BTreeMap<u64, Vec<f64>> = BTreeMap::new();
    for (number, text) in text.lines().enumerate() {
        let line: Value =
            serde_json::from_str(text).with_context(|| format!("line {}", number + 1))?;
        let mut wanted = true;
        for only in &order.only {
            wanted &= matches(&line, only)?;
        }
        let size = field(&line, &order.size).as_u64();
        let figure = field(&line, &order.figure).as_f64();
        if let (true, Some(size), Some(figure)) = (wanted, size, figure) {
            runs.entry(size).or_default().push(figure);
        }
    }
    Ok(runs
        .into_iter()
        .map(|(size, runs)| point(size as f64, runs))
        .collect())
}

fn point(size: f64, mut runs: Vec<f64>) -> Point {
    runs.sort_by(f64::total_cmp);
    let at = |index: usize| runs.get(index).copied().unwrap_or(f64::NAN);
    let range = (at(0), at(runs.len().saturating_sub(1)));
    Point {
        size,
        runs: runs.len(),
        median: at(runs.len() / 2),
        range,
    }
}

/// Fits the medians. The squares are of the distances as parts of the medians, so that small sizes count as much as large
/// ones.
pub fn line(points: &[Point], form: Form) -> anyhow::Result<Line> {
    ensure!(
        points.len() >= 3,
        "{} sizes: a line and its error need three",
        points.len()
    );
    if points.iter().any(|point| point.median == 0.0) {
        bail!("a median is zero: parts of it mean nothing");
    }
    let weighted = |of: &dyn Fn(f64, f64) -> f64| -> f64 {
        let each = points.iter().map(|point| {
            let weight = point.median.powi(-2);
            weight * of(form.of(point.size), point.median)
        });
        each.sum()
    };
    let (weights, xs, ys) = (
        weighted(&|_, _| 1.0),
        weighted(&|x, _| x),
        weighted(&|_, y| y),
    );
    let (mean_x, mean_y) = (xs / weights, ys / weights);
    let spread_x = weighted(&|x, _| (x - mean_x).powi(2));
    ensure!(spread_x > 0.0, "all sizes are the same");
    let slope = weighted(&|x, y| (x - mean_x) * (y - mean_y)) / spread_x;
    let intercept = mean_y - slope * mean_x;
    let residuals = weighted(&|x, y| (y - intercept - slope * x).powi(2));
    let slope_error = (residuals / (points.len() - 2) as f64 / spread_x).sqrt();
    let residual = |point: &Point| {
        let value = intercept + slope * form.of(point.size);
        ((point.median - value) / point.median).abs()
    };
    let worst_residual = points.iter().map(residual).fold(0.0, f64::max);
    Ok(Line {
        intercept,
        slope,
        slope_error,
        worst_residual,
    })
}
