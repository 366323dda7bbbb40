//! Planner of pools, placement and maintenance for masticfield.
