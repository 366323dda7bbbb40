//! A replica that runs: its step function with a disk, peers and a clock.

mod deliver;
mod disk;
mod formation;
mod link;
mod listen;
mod message;
mod request;
mod running;
mod start;
mod traffic;

pub(crate) use request::Request;
pub(crate) use running::TICK;
pub(crate) use start::start;
pub(crate) use traffic::TrafficCounter;
