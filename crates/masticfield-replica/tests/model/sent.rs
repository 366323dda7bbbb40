//! Messages under way.

use std::cmp::Ordering;
use std::sync::Arc;

use masticfield_replica::consensus::Envelope;

/// A message under way, in the order of its encoding.
#[derive(Debug, Clone)]
pub struct Sent {
    pub key: Vec<u8>,
    pub envelope: Envelope,
}

impl Sent {
    pub fn new(envelope: Envelope) -> Arc<Self> {
        let key = postcard::to_stdvec(&envelope).unwrap();
        Arc::new(Self { key, envelope })
    }
}

impl PartialEq for Sent {
    fn eq(&self, other: &Self) -> bool {
        self.key == other.key
    }
}

impl Eq for Sent {}

impl PartialOrd for Sent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Sent {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key.cmp(&other.key)
    }
}
