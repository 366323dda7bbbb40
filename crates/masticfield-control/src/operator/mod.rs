//! The HTTP interface for operators.

mod plugin;
mod reports;
mod routes;
