//! Tests of control processes over loopback, with operators and entries.

mod entries;
mod jobs;
mod operators;
mod referral;
mod replaced_members;
mod support;
