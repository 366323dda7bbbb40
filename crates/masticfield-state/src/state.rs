//! The replicated state machine.

use std::sync::Arc;

use masticfield_core::claim::ClaimVerdict;
use masticfield_core::config::FleetConfig;
use masticfield_core::ids::{EntryId, Incarnation};
use masticfield_core::note::ReleaseNote;
use masticfield_core::operator::{HistoryRow, NoteAccepted, Problem};
use serde::{Deserialize, Serialize};

use crate::{
    ClaimTable, Command, EntryRoster, Envelope, Guards, History, HostTable, LeaderAddresses,
    NoteLog, Refusal, Reply, Subject, TaskTable, Verdict,
};

/// The replicated state, identical on every control replica at the same log index.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    applied: u64,
    term: u64,
    leader: LeaderAddresses,
    pub(crate) notes: NoteLog,
    pub(crate) hosts: HostTable,
    pub(crate) tasks: TaskTable,
    entries: EntryRoster,
    claims: ClaimTable,
    history: History,
}

impl State {
    /// Creates the initial state, before the first command.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates the initial state with a subset of the safety rules; for tests only.
    pub fn with_guards(guards: Guards) -> Self {
        Self {
            notes: NoteLog::with_guards(guards),
            hosts: HostTable::with_guards(guards),
            claims: ClaimTable::with_guards(guards),
            ..Self::default()
        }
    }

    /// Log index of the last applied command; 0 before the first.
    pub const fn applied(&self) -> u64 {
        self.applied
    }

    /// Latest term announced by [`Command::Lead`]; 0 before the first.
    pub const fn term(&self) -> u64 {
        self.term
    }

    /// Addresses of the leader of the latest term; all `None` before the first.
    pub const fn leader(&self) -> LeaderAddresses {
        self.leader
    }

    /// The configuration after the latest accepted release note.
    pub const fn config(&self) -> &FleetConfig {
        self.notes.config()
    }

    /// The accepted release notes.
    pub const fn notes(&self) -> &NoteLog {
        &self.notes
    }

    /// Ownership, maintenance and quarantine of the hosts.
    pub const fn hosts(&self) -> &HostTable {
        &self.hosts
    }

    /// Placements of the tasks of jobs.
    pub const fn tasks(&self) -> &TaskTable {
        &self.tasks
    }

    /// The entries that may hold a configuration lease.
    pub const fn entries(&self) -> &EntryRoster {
        &self.entries
    }

    /// Claims of idempotency keys.
    pub const fn claims(&self) -> &ClaimTable {
        &self.claims
    }

    /// Log of changes with their reasons, for operators.
    pub const fn history(&self) -> &History {
        &self.history
    }

    /// The history rows about a named subject, oldest first.
    pub fn explain(&self, subject: Subject, name: &str) -> Vec<HistoryRow> {
        self.history.rows_about(subject, name).cloned().collect()
    }

    /// Applies the command at `index`.
    ///
    /// A command at an index that was already applied changes nothing.
    pub fn apply(&mut self, index: u64, envelope: &Envelope) -> Reply {
        if index <= self.applied {
            return Reply::Nothing;
        }
        self.applied = index;
        let at_ms = envelope.proposed_at_ms();
        match envelope.command() {
            Command::Nothing => Reply::Nothing,
            Command::Note(note) => Reply::Note(self.accept_note(at_ms, note)),
            Command::Claims(claims) => Reply::Claims(self.claim(at_ms, claims)),
            Command::ClaimEnds(ends) => {
                for (key, request, end) in ends {
                    self.claims.end(*key, *request, *end);
                }
                Reply::Nothing
            }
            Command::Actions(actions) => {
                let verdicts = actions
                    .iter()
                    .map(|action| self.apply_action(at_ms, action));
                Reply::Actions(verdicts.collect())
            }
            Command::HostReport { host, drained } => {
                Reply::Verdict(self.host_drained(at_ms, host, *drained))
            }
            Command::LeasesEnded {
                host,
                generation,
                term,
            } => Reply::Verdict(self.leases_ended(at_ms, host, *generation, *term)),
            Command::TasksEnded(ends) => {
                self.end_tasks(at_ms, ends);
                Reply::Nothing
            }
            Command::Drain { host } => Reply::Drain(self.drain_host(at_ms, host)),
            Command::Undrain { host } => Reply::Verdict(self.undrain_host(at_ms, host)),
            Command::Lead { term, addresses } => Reply::Verdict(self.lead(*term, *addresses)),
            Command::EntryUp { entry, incarnation } => {
                Reply::Verdict(self.register_entry(at_ms, *entry, *incarnation))
            }
            Command::EntryGone {
                entry,
                incarnation,
                term,
            } => Reply::Verdict(self.remove_entry(at_ms, *entry, *incarnation, *term)),
            Command::InForce { version } => Reply::Verdict(self.record_in_force(at_ms, *version)),
        }
    }

    /// Adds a row to the history.
    pub(crate) fn record(
        &mut self,
        at_ms: u64,
        event: impl Into<Arc<str>>,
        reason: impl Into<Arc<str>>,
        subjects: Vec<(Subject, Arc<str>)>,
    ) {
        let row = HistoryRow {
            index: self.applied,
            at_ms,
            event: event.into(),
            reason: reason.into(),
        };
        self.history.record(row, subjects);
    }

    /// Refuses a command that is not from the leader of the current term.
    pub(crate) const fn check_term(&self, term: u64) -> Result<(), Refusal> {
        if term == self.term {
            Ok(())
        } else {
            Err(Refusal::OtherTerm { term: self.term })
        }
    }

    fn accept_note(&mut self, at_ms: u64, note: &ReleaseNote) -> Result<NoteAccepted, Problem> {
        let accepted = self.notes.accept(at_ms, note)?;
        if accepted.repeated {
            return Ok(accepted);
        }
        let config = self.notes.config();
        self.tasks
            .retain_jobs(|job| config.jobs().contains_key(job));
        for job in note.added.jobs.iter().chain(&note.changed.jobs) {
            self.tasks.resume_job(&job.name);
        }
        let event = format!("note {} accepted", note.number);
        let subjects = note_subjects(note);
        self.record(at_ms, event, Arc::clone(&note.summary), subjects);
        Ok(accepted)
    }

    fn claim(
        &mut self,
        at_ms: u64,
        claims: &[masticfield_core::claim::Claim],
    ) -> Vec<ClaimVerdict> {
        let now_s = at_ms / 1_000;
        let verdicts = claims.iter().map(|claim| self.claims.claim(now_s, claim));
        verdicts.collect()
    }

    fn lead(&mut self, term: u64, addresses: LeaderAddresses) -> Verdict {
        if term < self.term {
            let term = self.term;
            return Verdict::Refused(Refusal::OtherTerm { term });
        }
        if term == self.term {
            return Verdict::Repeated;
        }
        self.term = term;
        self.leader = addresses;
        Verdict::Done
    }

    fn register_entry(&mut self, at_ms: u64, entry: EntryId, incarnation: Incarnation) -> Verdict {
        if !self.entries.register(entry, incarnation) {
            return Verdict::Repeated;
        }
        self.claims.fence(entry);
        let reason = format!("incarnation {incarnation} asked for a lease");
        self.record(at_ms, format!("entry {entry} joined"), reason, Vec::new());
        Verdict::Done
    }

    fn remove_entry(
        &mut self,
        at_ms: u64,
        entry: EntryId,
        incarnation: Incarnation,
        term: u64,
    ) -> Verdict {
        if let Err(refusal) = self.check_term(term) {
            return Verdict::Refused(refusal);
        }
        if !self.entries.remove(entry, incarnation) {
            return Verdict::Repeated;
        }
        if self.entries.latest(entry).is_none() {
            self.claims.fence(entry);
        }
        let event = format!("entry {entry} gone");
        self.record(at_ms, event, "its lease has run out", Vec::new());
        Verdict::Done
    }

    fn record_in_force(&mut self, at_ms: u64, version: u64) -> Verdict {
        let buffer_hosts = self.buffer_hosts();
        if !self.notes.record_in_force(at_ms, version, buffer_hosts) {
            return Verdict::Repeated;
        }
        let event = format!("note {version} in force");
        let reason = "every entry serves it or holds no lease";
        let name = version.to_string().into();
        self.record(at_ms, event, reason, vec![(Subject::Note, name)]);
        Verdict::Done
    }
}

/// The note itself, and the hosts, pools and jobs that it changes.
fn note_subjects(note: &ReleaseNote) -> Vec<(Subject, Arc<str>)> {
    let mut subjects = vec![(Subject::Note, note.number.to_string().into())];
    let mut add = |kind, name: &Arc<str>| subjects.push((kind, Arc::clone(name)));
    for section in [&note.added, &note.changed] {
        section
            .hosts
            .iter()
            .for_each(|host| add(Subject::Host, &host.name));
        section
            .pools
            .iter()
            .for_each(|pool| add(Subject::Pool, &pool.name));
        section
            .jobs
            .iter()
            .for_each(|job| add(Subject::Job, &job.name));
    }
    let withdrawn = &note.withdrawn;
    withdrawn
        .hosts
        .iter()
        .for_each(|name| add(Subject::Host, name));
    withdrawn
        .pools
        .iter()
        .for_each(|name| add(Subject::Pool, name));
    withdrawn
        .jobs
        .iter()
        .for_each(|name| add(Subject::Job, name));
    subjects
}
