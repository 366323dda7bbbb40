//! Logging, metrics, health, tracing and shutdown for masticfield programs.
