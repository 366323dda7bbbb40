//! Messages in flight between replicas.

use std::cmp::Ordering;
use std::sync::Arc;

use masticfield_replica::consensus::Envelope;

/// A message in flight, compared and ordered by its encoding.
#[derive(Debug, Clone)]
pub struct InFlight {
    pub key: Vec<u8>,
    pub envelope: Envelope,
}

impl InFlight {
    pub fn new(envelope: Envelope) -> Arc<Self> {
        let key = postcard::to_stdvec(&envelope).unwrap();
        Arc::new(Self { key, envelope })
    }
}

impl PartialEq for InFlight {
    fn eq(&self, other: &Self) -> bool {
        self.key == other.key
    }
}

impl Eq for InFlight {}

impl PartialOrd for InFlight {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for InFlight {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key.cmp(&other.key)
    }
}
