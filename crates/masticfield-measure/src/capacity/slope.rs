//! Least-squares fit of a line through measured points.

use serde::Serialize;

/// Least-squares line through measured points.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Slope {
    /// Increase of the value per unit of size.
    pub per_unit: f64,
    /// Value at size zero.
    pub at_zero: f64,
}

impl Slope {
    /// Fits a line through `(size, value)` points.
    ///
    /// The line is flat if all points have the same size, and zero if there are none.
    pub fn fit(points: impl IntoIterator<Item = (f64, f64)>) -> Self {
        let (mut n, mut sx, mut sy, mut sxx, mut sxy) = (0.0, 0.0, 0.0, 0.0, 0.0);
        for (x, y) in points {
            n += 1.0;
            sx += x;
            sy += y;
            sxx += x * x;
            sxy += x * y;
        }
        let denominator = n * sxx - sx * sx;
        if denominator == 0.0 {
            let at_zero = if n > 0.0 { sy / n } else { 0.0 };
            return Self {
                per_unit: 0.0,
                at_zero,
            };
        }
        let per_unit = (n * sxy - sx * sy) / denominator;
        Self {
            per_unit,
            at_zero: (sy - per_unit * sx) / n,
        }
    }
}
