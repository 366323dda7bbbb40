//! A complete request body.

use std::ops::Deref;
use std::sync::Arc;

use bytes::Bytes;

use super::BodyError;
use super::bodies::BodyCharge;

/// A complete request body, which counts against the budget until all of its clones are dropped.
#[derive(Debug, Clone)]
pub struct HeldBody {
    bytes: Bytes,
    charge: Option<Arc<BodyCharge>>,
}

impl HeldBody {
    pub(super) fn new(bytes: Bytes, charge: BodyCharge) -> Self {
        Self {
            bytes,
            charge: Some(Arc::new(charge)),
        }
    }

    pub(super) const fn empty() -> Self {
        Self {
            bytes: Bytes::new(),
            charge: None,
        }
    }

    /// Counts `decoded` bytes, which were decoded from the body, in addition to its own size.
    ///
    /// # Errors
    ///
    /// Fails if there is no memory for them.
    pub fn charge_decoded(&self, decoded: usize) -> Result<(), BodyError> {
        match &self.charge {
            Some(charge) => charge.raise(self.bytes.len().saturating_add(decoded)),
            None => Ok(()),
        }
    }
}

impl Deref for HeldBody {
    type Target = Bytes;

    fn deref(&self) -> &Bytes {
        &self.bytes
    }
}
