//! The programs of masticfield and their process tests.
