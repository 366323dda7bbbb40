//! Durable state and planning process of masticfield.
