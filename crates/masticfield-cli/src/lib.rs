//! Operator command line of masticfield.
