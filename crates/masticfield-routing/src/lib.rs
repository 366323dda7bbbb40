//! Admission, slots, retries and membership decisions of masticfield.

pub mod membership;
pub mod once;
