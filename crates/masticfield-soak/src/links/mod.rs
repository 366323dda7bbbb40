//! Loopback proxies that disturb the connections between stand-ins and programs.

mod link_state;
mod proxy;

pub(crate) use link_state::LinkState;
pub(crate) use proxy::Proxy;
