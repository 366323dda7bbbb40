//! The HTTP face for operators.

mod plugin;
mod reports;
mod routes;
