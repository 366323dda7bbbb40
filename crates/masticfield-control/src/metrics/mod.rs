//! Metrics of a control process.

mod gauges;
mod plugin;
