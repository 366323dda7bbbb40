//! The routes of the HTTP interface for operators.

use std::net::SocketAddr;
use std::time::Duration;

use http::{Method, Request, StatusCode};
use masticfield_core::ids::ReplicaId;
use masticfield_core::note::ReleaseNote;
use masticfield_core::operator::{
    DrainAccepted, FleetStatus, NoteAccepted, Problem, RolloutStatus,
};
use masticfield_node::http::{BodyError, Reply as HttpReply, RequestBody, json_reply};
use masticfield_node::program::error_chain;
use masticfield_node::token::Token;
use masticfield_replica::ProposeError;
use masticfield_state::{Command, Reply, State};
use serde::Serialize;

use super::reports;
use crate::entries::{LeaseHandle, UpstreamReports};
use crate::planner::HealthTable;
use crate::{ControlHandle, ProposalError};

/// Interval at which the applied index is polled while a read waits for it.
const CATCH_UP_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Time limit for a leader to apply all committed entries before a read.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves the requests of operators.
#[derive(Debug, Clone)]
pub(super) struct Routes {
    pub control: ControlHandle,
    pub reports: UpstreamReports,
    pub health: HealthTable,
    pub leases: LeaseHandle,
    pub token: Token,
    pub body_timeout: Duration,
}

impl Routes {
    /// Serves one request; errors are returned as the body of a [`Problem`].
    pub(super) async fn serve(&self, req: Request<RequestBody>, peer: SocketAddr) -> HttpReply {
        if !self.token.authorizes(req.headers()) {
            log::warn!(peer:%, path = req.uri().path(); "request refused: missing or wrong operator token");
            return problem_reply(&Problem::BadToken);
        }
        match self.route(req).await {
            Ok(reply) => reply,
            Err(problem) => problem_reply(&problem),
        }
    }

    async fn route(&self, req: Request<RequestBody>) -> Result<HttpReply, Problem> {
        let method = req.method().clone();
        let path = req.uri().path().to_owned();
        let query = req.uri().query().unwrap_or_default().to_owned();
        let segments: Vec<_> = path.split('/').skip(1).collect();
        if !matches!(segments.as_slice(), ["v1", "status"]) && method == Method::GET {
            self.catch_up().await?;
        }
        let reply = match (&method, segments.as_slice()) {
            (&Method::POST, ["v1", "notes"]) => ok(&self.apply_note(req).await?),
            (&Method::POST, ["v1", "plan"]) => {
                let note = self.read_note(req).await?;
                ok(&self
                    .query(move |state| reports::preview(state, &note))
                    .await??)
            }
            (&Method::GET, ["v1", "notes", number]) => ok(&self.rollout(number).await?),
            (&Method::GET, ["v1", "status"]) => ok(&self.status().await?),
            (&Method::GET, ["v1", "config"]) => {
                ok(&self.query(|state| state.config().clone()).await?)
            }
            (&Method::GET, ["v1", "hosts"]) => {
                let health = self.health.clone();
                ok(&self
                    .query(move |state| reports::hosts(state, &health))
                    .await?)
            }
            (&Method::GET, ["v1", "upstreams"]) => ok(&self.reports.upstream_rows()),
            (&Method::GET, ["v1", "jobs"]) => ok(&self.query(reports::jobs).await?),
            (&Method::GET, ["v1", "history"]) => {
                let since = reports::since(&query);
                ok(&self
                    .query(move |state| reports::history(state, since))
                    .await?)
            }
            (&Method::GET, ["v1", "explain", kind, name]) => {
                let (kind, name) = ((*kind).to_owned(), (*name).to_owned());
                ok(&self
                    .query(move |state| reports::explain(state, &kind, &name))
                    .await??)
            }
            (&Method::POST, ["v1", "hosts", host, "drain"]) => ok(&self.drain(host).await?),
            _ => return Err(Problem::NoSuchOperation),
        };
        Ok(reply)
    }

    async fn apply_note(&self, req: Request<RequestBody>) -> Result<NoteAccepted, Problem> {
        let note = self.read_note(req).await?;
        let number = note.number;
        self.control.await_leader().await;
        let reply = self.control.propose(Command::Note(Box::new(note))).await;
        match self.check_proposal(reply).await? {
            Reply::Note(result) => {
                let accepted = result?;
                log::info!(number, repeated = accepted.repeated; "a release note was accepted");
                Ok(accepted)
            }
            _ => Err(Problem::Undecided),
        }
    }

    async fn drain(&self, host: &str) -> Result<DrainAccepted, Problem> {
        let command = Command::Drain { host: host.into() };
        self.control.await_leader().await;
        let reply = self.control.propose(command).await;
        match self.check_proposal(reply).await? {
            Reply::Drain(result) => result,
            _ => Err(Problem::Undecided),
        }
    }

    async fn read_note(&self, req: Request<RequestBody>) -> Result<ReleaseNote, Problem> {
        let body = req.into_body();
        let body = body.read(ReleaseNote::MAX_BYTES, self.body_timeout).await;
        let body = body.map_err(|error| match error {
            BodyError::TooLarge { limit } => Problem::TooLarge {
                limit: limit as u64,
            },
            BodyError::NoRoom | BodyError::GivenUp => Problem::Overloaded,
            other => Problem::UnreadableNote {
                message: error_chain(&other).into(),
            },
        })?;
        ReleaseNote::from_bytes(&body).map_err(|error| Problem::UnreadableNote {
            message: error.to_string().into(),
        })
    }

    async fn rollout(&self, number: &str) -> Result<RolloutStatus, Problem> {
        let not_found = || Problem::NotFound {
            kind: "note".into(),
            name: number.into(),
        };
        let note: u64 = number.parse().map_err(|_not_a_number| not_found())?;
        let latest = self.query(|state| state.config().version()).await?;
        if note == 0 || note > latest {
            return Err(not_found());
        }
        let rollout = self.leases.rollout(note).await;
        rollout.map_err(|error| Self::proposal_problem(&error))
    }

    /// Reports the status; without a quorum, from the state that this replica has applied.
    async fn status(&self) -> Result<FleetStatus, Problem> {
        let is_leader = match self.catch_up().await {
            Ok(()) => true,
            Err(problem @ Problem::NotLeader { .. }) => return Err(problem),
            Err(_no_quorum) => false,
        };
        let replica = self.control.replica_status();
        let (upstreams, health) = (self.reports.upstream_rows(), self.health.clone());
        let mut status = self
            .query(move |state| reports::status(state, replica, &upstreams, &health))
            .await?;
        if !is_leader {
            return Ok(status);
        }
        let entries = self.leases.entry_rows().await;
        status.entries = entries.map_err(|error| Self::proposal_problem(&error))?;
        let rollout = self.leases.rollout(status.version).await;
        status.in_force = rollout
            .map_err(|error| Self::proposal_problem(&error))?
            .in_force;
        Ok(status)
    }

    async fn query<R: Send + 'static>(
        &self,
        read: impl FnOnce(&State) -> R + Send + 'static,
    ) -> Result<R, Problem> {
        self.control
            .query(read)
            .await
            .map_err(|error| Self::proposal_problem(&error))
    }

    /// Fails unless this replica holds the leader lease.
    async fn require_leader(&self) -> Result<(), Problem> {
        let status = self.control.replica_status();
        if status.holds_lease() {
            return Ok(());
        }
        Err(self
            .not_leader(status.leader.filter(|id| *id != status.id))
            .await)
    }

    /// Waits until this replica has applied all committed entries; fails unless it leads.
    async fn catch_up(&self) -> Result<(), Problem> {
        self.control.await_leader().await;
        self.require_leader().await?;
        let committed = self.control.replica_status().committed;
        let caught_up = async {
            while self.query(State::applied).await? < committed {
                tokio::time::sleep(CATCH_UP_POLL_INTERVAL).await;
            }
            Ok(())
        };
        let waited = tokio::time::timeout(CATCH_UP_TIMEOUT, caught_up).await;
        waited.map_err(|_elapsed| Problem::NoQuorum)?
    }

    /// Returns the reply to a proposal, or the problem why there is none.
    async fn check_proposal(&self, reply: Result<Reply, ProposalError>) -> Result<Reply, Problem> {
        match reply {
            Ok(reply) => Ok(reply),
            Err(ProposalError::Propose {
                source: ProposeError::NotLeader { leader },
            }) => Err(self.not_leader(leader).await),
            Err(error) => Err(Self::proposal_problem(&error)),
        }
    }

    /// The problem that names the leader, or [`Problem::NoQuorum`] if none is known.
    async fn not_leader(&self, leader: Option<ReplicaId>) -> Problem {
        if leader.is_none() {
            return Problem::NoQuorum;
        }
        let addresses = self.control.leader_addresses().await.unwrap_or_default();
        Problem::NotLeader {
            leader: addresses.operator,
        }
    }

    /// Logs an error of the control actor and converts it.
    fn proposal_problem(error: &ProposalError) -> Problem {
        let error_chain = error_chain(error);
        log::info!(error = error_chain; "operator request failed");
        match error {
            ProposalError::Propose {
                source: ProposeError::Stopped,
            } => Problem::NoQuorum,
            _ => Problem::Undecided,
        }
    }
}

fn ok(body: &impl Serialize) -> HttpReply {
    json_reply(StatusCode::OK, body)
}

fn problem_reply(problem: &Problem) -> HttpReply {
    let status = StatusCode::from_u16(problem.status()).unwrap_or(StatusCode::BAD_REQUEST);
    let mut reply = json_reply(status, problem);
    let problem_json = http::HeaderValue::from_static("application/problem+json");
    reply
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, problem_json);
    reply
}
