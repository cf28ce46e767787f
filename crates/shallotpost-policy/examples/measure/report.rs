//! Lines of the report.

use serde::Serialize;

/// One figure.
#[derive(Clone, Debug, Serialize)]
pub struct Line {
    /// What was measured.
    pub name: String,
    /// Deployment, or `target` for the target size.
    pub deployment: &'static str,
    /// Figure of the policy.
    pub value: f64,
    /// Unit of all figures.
    pub unit: &'static str,
    /// Figure of the baseline in the same run.
    pub baseline: Option<f64>,
    /// Stated bound.
    pub target: Option<f64>,
    /// Whether the bound (or the comparison with the baseline) holds; `None` where nothing is asked for.
    pub holds: Option<bool>,
}

impl Line {
    /// Prints the line as JSON.
    pub fn print(&self) {
        println!("{}", serde_json::to_string(self).expect("figures are JSON"));
    }
}
