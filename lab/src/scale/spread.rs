//! The spread of many values.

use serde::Serialize;

/// Median, 99th percentile and largest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Spread {
    /// The value that half lie below.
    pub median: f64,
    /// The value that 99 in 100 lie below.
    pub p99: f64,
    /// The largest.
    pub worst: f64,
}

impl Spread {
    /// Of these values; zeros if there are none.
    pub fn of(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        let at = |part: f64| {
            let index = (values.len().saturating_sub(1) as f64 * part).ceil() as usize;
            values.get(index).copied().unwrap_or(0.0)
        };
        Spread {
            median: at(0.5),
            p99: at(0.99),
            worst: at(1.0),
        }
    }
}
