//! Report lines in JSON.

use serde::Serialize;

/// One measured figure.
#[derive(Clone, Debug, Serialize)]
pub struct Line {
    pub name: String,
    /// Name of the deployment; `target` for the target size.
    pub deployment: &'static str,
    /// Figure measured for the policy.
    pub value: f64,
    /// Unit of `value`, `baseline` and `target`.
    pub unit: &'static str,
    /// Figure measured for the baseline in the same run.
    pub baseline: Option<f64>,
    /// Stated bound on the figure.
    pub target: Option<f64>,
    /// Whether the bound, or the comparison with the baseline, holds; `None` if there is no requirement.
    pub holds: Option<bool>,
}

impl Line {
    /// Prints the line as JSON.
    pub fn print(&self) {
        println!("{}", serde_json::to_string(self).expect("figures are JSON"));
    }
}
