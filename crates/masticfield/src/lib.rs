//! Facade of the masticfield library crates.
