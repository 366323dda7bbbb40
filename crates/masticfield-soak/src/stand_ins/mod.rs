//! Stand-ins for executors, callers and operators.

mod callers;
mod client;
mod executor_life;
mod executors;
mod operator;

pub(crate) use callers::{CallerOptions, run_callers};
pub(crate) use client::{ControlClient, Routes};
pub(crate) use executors::{ExecutorOptions, Executors};
pub(crate) use operator::{Operator, QUEUES, pool_of};
