//! A control process over loopback, with operators and entries.

mod entries;
mod operators;
mod support;
