//! Admission, slots, retries and membership decisions of masticfield.

pub mod membership;
