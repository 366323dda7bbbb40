//! Runtime of a replica: drives the consensus with a disk, connections to peers and a clock.

mod deliver;
mod disk_writer;
mod full_disk;
mod known_peers;
mod link;
mod listen;
mod message;
mod request;
mod running;
mod start;
mod traffic;

pub(crate) use request::Request;
pub(crate) use running::TICK_INTERVAL;
pub(crate) use start::start;
pub(crate) use traffic::TrafficCounter;
