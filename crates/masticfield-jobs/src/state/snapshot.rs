//! Encoding of the state as a snapshot.

use super::State;

impl State {
    /// Encodes the state as a snapshot.
    ///
    /// # Panics
    ///
    /// Panics if the state cannot be encoded, which is a bug in its type.
    pub fn to_snapshot(&self) -> Vec<u8> {
        let encoded = postcard::to_stdvec(self).expect("the state is plain data");
        let supplement = (&self.crashes, &self.overdue);
        let encoded = postcard::to_extend(&supplement, encoded).expect("the state is plain data");
        postcard::to_extend(&self.access_record(), encoded).expect("the state is plain data")
    }

    /// Decodes a snapshot.
    ///
    /// Snapshots that were written before crashes were counted end without them and without
    /// overdue announcements; those that were written before there were workspaces end without
    /// these.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not an encoded state.
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let (mut state, mut rest) = postcard::take_from_bytes::<Self>(bytes)?;
        if !rest.is_empty() {
            let supplement;
            (supplement, rest) = postcard::take_from_bytes(rest)?;
            (state.crashes, state.overdue) = supplement;
        }
        if !rest.is_empty() {
            state.restore_access(postcard::from_bytes(rest)?);
        }
        Ok(state)
    }
}
