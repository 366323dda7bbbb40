//! Encoding of the state as a snapshot.

use super::State;
use super::gang_failures::GangFailures;
use crate::job::JobId;

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
        let supplement = (self.access_record(), &self.claim_times);
        let encoded = postcard::to_extend(&supplement, encoded).expect("the state is plain data");
        let begun = self.jobs.iter().filter(|(_, job)| job.begun);
        let begun: Vec<_> = begun.map(|(id, _)| *id).collect();
        let supplement = (begun, &self.located, &self.former_leases);
        let encoded = postcard::to_extend(&supplement, encoded).expect("the state is plain data");
        let encoded = postcard::to_extend(&self.removed, encoded).expect("the state is plain data");
        let latest = &self.crashes.latest;
        let encoded = postcard::to_extend(latest, encoded).expect("the state is plain data");
        let jobs = self.jobs.iter();
        let gang_failures = jobs.map(|(id, job)| (*id, &job.gang_failures));
        let gang_failures = gang_failures.filter(|(_, failures)| !failures.is_empty());
        let gang_failures: Vec<_> = gang_failures.collect();
        postcard::to_extend(&gang_failures, encoded).expect("the state is plain data")
    }

    /// Decodes a snapshot.
    ///
    /// Snapshots of earlier versions end before the parts that were added since, which are empty
    /// then.
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
            let supplement;
            (supplement, rest) = postcard::take_from_bytes(rest)?;
            let access;
            (access, state.claim_times) = supplement;
            state.restore_access(access);
        }
        if !rest.is_empty() {
            let supplement;
            (supplement, rest) = postcard::take_from_bytes(rest)?;
            let begun: Vec<JobId>;
            (begun, state.located, state.former_leases) = supplement;
            for id in begun {
                if let Some(job) = state.jobs.get_mut(&id) {
                    job.begun = true;
                }
            }
        }
        if !rest.is_empty() {
            (state.removed, rest) = postcard::take_from_bytes(rest)?;
        }
        if !rest.is_empty() {
            (state.crashes.latest, rest) = postcard::take_from_bytes(rest)?;
        }
        if !rest.is_empty() {
            let gang_failures: Vec<(JobId, GangFailures)> = postcard::from_bytes(rest)?;
            for (id, failures) in gang_failures {
                if let Some(job) = state.jobs.get_mut(&id) {
                    job.gang_failures = failures;
                }
            }
        }
        Ok(state)
    }
}
