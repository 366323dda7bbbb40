//! At-most-once requests under resends, lost messages and crashing entries.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use masticfield_core::claim::{Claim, ClaimEnd, ClaimKey, ClaimVerdict};
use masticfield_core::ids::{EntryId, RequestId};
use masticfield_core::outcome::{NotRunReason, UnknownReason};
use masticfield_routing::at_most_once::{
    AtMostOnceAction, AtMostOnceDefect, AtMostOnceInput, AtMostOnceRequest, FinalAnswer,
    IdempotencyKey, KEY_RETENTION_S, KeyError, LookupResult, MAX_KEY_AHEAD_S, ResponseStore,
    ResponseStoreLimits, fingerprint,
};
use masticfield_state::ClaimTable;
use proptest::prelude::{ProptestConfig, any, prop_assert, prop_assert_eq, proptest};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const ENTRIES: u16 = 3;
const KEYS: u8 = 3;
const NOW_S: u64 = 1_700_000_000;

/// A message in flight. Messages arrive in any order, and one in ten is lost.
#[derive(Debug, Clone, Copy)]
enum Message {
    Claim(Claim),
    Verdict(RequestId, ClaimVerdict),
    Dispatch(RequestId),
    ExchangeEnded(RequestId, ClaimEnd),
    EndClaim(ClaimKey, RequestId, ClaimEnd),
    LookUp { by: RequestId, requester: RequestId },
    LookupEnded(RequestId, LookupResult),
}

#[derive(Debug, Default)]
struct Entry {
    requests: BTreeMap<RequestId, AtMostOnceRequest>,
    ended: BTreeMap<RequestId, ClaimEnd>,
}

struct Simulation {
    rng: ChaCha8Rng,
    defect: AtMostOnceDefect,
    table: ClaimTable,
    entries: BTreeMap<EntryId, Entry>,
    messages: Vec<Message>,
    sequence: u64,
    key_of: BTreeMap<RequestId, ClaimKey>,
    /// Dispatches that reached an upstream, and whether they ran there.
    dispatched: BTreeMap<RequestId, bool>,
    answers: BTreeMap<RequestId, Vec<FinalAnswer>>,
    violations: Vec<String>,
}

impl Simulation {
    fn new(seed: u64, defect: AtMostOnceDefect) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            defect,
            table: ClaimTable::new(),
            entries: (0..ENTRIES)
                .map(|id| (EntryId::new(id), Entry::default()))
                .collect(),
            messages: Vec::new(),
            sequence: 0,
            key_of: BTreeMap::new(),
            dispatched: BTreeMap::new(),
            answers: BTreeMap::new(),
            violations: Vec::new(),
        }
    }

    fn run(mut self) -> Vec<String> {
        for _ in 0..150 {
            match self.rng.random_range(0..20) {
                0..3 => self.send_request(),
                3 => self.crash(),
                4 => self.give_up_one(),
                5 => self.resend_claim(),
                _ => self.deliver(),
            }
        }
        while !self.messages.is_empty() {
            self.deliver();
        }
        while self
            .entries
            .values()
            .any(|entry| !entry.requests.is_empty())
        {
            self.give_up_one();
            while !self.messages.is_empty() {
                self.deliver();
            }
        }
        self.check();
        self.violations
    }

    /// Sends a request, or resends one with the same key, through a random entry.
    fn send_request(&mut self) {
        let entry = EntryId::new(self.rng.random_range(0..ENTRIES));
        let key = ClaimKey::from_digest([self.rng.random_range(0..KEYS); 16], NOW_S);
        self.sequence += 1;
        let request = RequestId::new(entry, self.sequence);
        let claim = Claim {
            key,
            fingerprint: [1; 16],
            request,
        };
        let (state, action) = AtMostOnceRequest::new(claim);
        self.key_of.insert(request, key);
        let state = state.with_defect(self.defect);
        self.entries
            .get_mut(&entry)
            .unwrap()
            .requests
            .insert(request, state);
        self.carry_out(request, action);
    }

    /// Restarts an entry without its state; the claim table fences it half of the time.
    fn crash(&mut self) {
        let id = EntryId::new(self.rng.random_range(0..ENTRIES));
        self.entries.insert(id, Entry::default());
        if self.rng.random() {
            self.table.fence(id);
        }
    }

    /// Makes a random request give up its claim or lookup, or lose its connection.
    fn give_up_one(&mut self) {
        let requests = self
            .entries
            .values()
            .flat_map(|entry| entry.requests.keys());
        let requests: Vec<_> = requests.copied().collect();
        if let Some(request) = self.pick(&requests) {
            self.step(request, AtMostOnceInput::GiveUp);
            self.step(request, AtMostOnceInput::ExchangeEnded(ClaimEnd::Unknown));
        }
    }

    /// Sends a claim again, as after a reconnect.
    fn resend_claim(&mut self) {
        let requests = self
            .entries
            .values()
            .flat_map(|entry| entry.requests.values());
        let claims: Vec<_> = requests.map(|state| *state.claim()).collect();
        if let Some(claim) = self.pick(&claims) {
            self.messages.push(Message::Claim(claim));
        }
    }

    fn pick<T: Copy>(&mut self, among: &[T]) -> Option<T> {
        (!among.is_empty()).then(|| among[self.rng.random_range(0..among.len())])
    }

    fn deliver(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.messages.len());
        let msg = self.messages.swap_remove(at);
        if self.rng.random_range(0..10) == 0 {
            return;
        }
        match msg {
            Message::Claim(claim) => {
                let verdict = self.table.claim(NOW_S, &claim);
                self.messages.push(Message::Verdict(claim.request, verdict));
            }
            Message::Verdict(request, verdict) => {
                self.step(request, AtMostOnceInput::Verdict(verdict));
            }
            Message::Dispatch(request) => self.reach_upstream(request),
            Message::ExchangeEnded(request, end) => {
                self.step(request, AtMostOnceInput::ExchangeEnded(end));
            }
            Message::EndClaim(key, request, end) => self.table.end(key, request, end),
            Message::LookUp { by, requester } => {
                let ended = self.entries[&by.entry()].ended.get(&by);
                let result = match ended {
                    Some(ClaimEnd::Ran) => LookupResult::Stored,
                    Some(end) => LookupResult::Ended(*end),
                    None => LookupResult::NotFound,
                };
                self.messages.push(Message::LookupEnded(requester, result));
            }
            Message::LookupEnded(request, result) => {
                self.step(request, AtMostOnceInput::LookupEnded(result));
            }
        }
    }

    /// Delivers a dispatch to an upstream, which runs it or proves that it did not.
    fn reach_upstream(&mut self, request: RequestId) {
        let runs = self.rng.random_range(0..4) != 0;
        let end = if runs {
            ClaimEnd::Ran
        } else {
            ClaimEnd::NotRun
        };
        let key = self.key_of[&request];
        let ran = self
            .dispatched
            .iter()
            .filter(|(other, ran)| **ran && self.key_of[other] == key);
        if runs && ran.count() > 0 {
            self.violations
                .push(format!("{request} ran a key a second time"));
        }
        self.dispatched.insert(request, runs);
        self.messages.push(Message::ExchangeEnded(request, end));
    }

    fn step(&mut self, request: RequestId, input: AtMostOnceInput) {
        let entry = self.entries.get_mut(&request.entry()).unwrap();
        let Some(state) = entry.requests.get_mut(&request) else {
            return;
        };
        let action = state.step(input);
        self.carry_out(request, action);
    }

    fn carry_out(&mut self, request: RequestId, action: AtMostOnceAction) {
        let entry = self.entries.get_mut(&request.entry()).unwrap();
        match action {
            AtMostOnceAction::Claim => {
                let claim = *entry.requests[&request].claim();
                self.messages.push(Message::Claim(claim));
            }
            AtMostOnceAction::Dispatch => self.messages.push(Message::Dispatch(request)),
            AtMostOnceAction::LookUp { by } => {
                self.messages.push(Message::LookUp {
                    by,
                    requester: request,
                });
            }
            AtMostOnceAction::Finish { answer, end } => {
                // This defect shows only if the request outlives its answer.
                if self.defect != AtMostOnceDefect::RunAfterGivingUp
                    || end != Some(ClaimEnd::NotRun)
                {
                    entry.requests.remove(&request);
                }
                if let Some(end) = end {
                    entry.ended.insert(request, end);
                    let key = self.key_of[&request];
                    self.messages.push(Message::EndClaim(key, request, end));
                }
                self.answers.entry(request).or_default().push(answer);
            }
            AtMostOnceAction::Ignored => {
                if self.answers.contains_key(&request) {
                    entry.requests.remove(&request);
                }
            }
        }
    }

    fn check(&mut self) {
        for (request, answers) in &self.answers {
            if answers.len() != 1 {
                self.violations
                    .push(format!("{request} has {} answers", answers.len()));
            }
            let key = self.key_of[request];
            let ran = self
                .dispatched
                .iter()
                .any(|(other, ran)| *ran && self.key_of[other] == key);
            let untrue = match answers[0] {
                FinalAnswer::NotRun(_) => self.dispatched.get(request) == Some(&true),
                FinalAnswer::Stored | FinalAnswer::Unknown(UnknownReason::AlreadyRan) => !ran,
                _ => false,
            };
            if untrue {
                self.violations.push(format!(
                    "{request} was answered {:?}, which is untrue",
                    answers[0]
                ));
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3_000,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_key_runs_twice_and_all_answers_are_true(seed in any::<u64>()) {
        let violations = Simulation::new(seed, AtMostOnceDefect::None).run();
        prop_assert!(violations.is_empty(), "{violations:?}");
    }

    #[test]
    fn stored_responses_stay_within_the_limits(
        sizes in proptest::collection::vec(0_usize..400, 1..60),
    ) {
        let limits = ResponseStoreLimits::new()
            .total_bytes(1_000)
            .response_bytes(300)
            .max_age(Duration::from_secs(5));
        let mut store = ResponseStore::new(limits);
        let start = Instant::now();
        for (number, bytes) in (0_u32..).zip(sizes) {
            let now = start + Duration::from_secs(1) * number;
            let request = RequestId::new(EntryId::new(1), u64::from(number));
            store.insert(now, request, number, bytes);
            prop_assert!(store.bytes() <= 1_000);
            let stored = store.get(now, request).copied();
            prop_assert_eq!(stored, (bytes <= 300).then_some(number));
            let old = RequestId::new(EntryId::new(1), u64::from(number.saturating_sub(5)));
            prop_assert!(number < 5 || store.get(now, old).is_none());
        }
    }
}

/// Without the guard, the simulation reports a violation.
#[rstest]
#[case::run_when_held(AtMostOnceDefect::RunWhenHeld)]
#[case::run_after_giving_up(AtMostOnceDefect::RunAfterGivingUp)]
#[case::free_when_unknown(AtMostOnceDefect::FreeWhenUnknown)]
#[case::giving_up_reports_ran(AtMostOnceDefect::GivingUpReportsRan)]
fn a_seeded_defect_is_detected(#[case] defect: AtMostOnceDefect) {
    let detected = (0..200).any(|seed| !Simulation::new(seed, defect).run().is_empty());
    assert!(detected, "{defect:?} was not detected within 200 seeds");
}

#[rstest]
#[case::usable("1700000000-cut-17", Ok(NOW_S))]
#[case::just_in_time("1699996401-a", Ok(NOW_S - KEY_RETENTION_S + 1))]
#[case::too_old("1699996400-a", Err(KeyError::Expired))]
#[case::a_little_ahead("1700000060-a", Ok(NOW_S + MAX_KEY_AHEAD_S))]
#[case::too_far_ahead("1700000061-a", Err(KeyError::Ahead))]
#[case::no_time_of_issue("cut-17", Err(KeyError::Malformed))]
#[case::no_text("1700000000-", Err(KeyError::Malformed))]
#[case::signed_number("+1700000000-a", Err(KeyError::Malformed))]
#[case::no_separator("1700000000", Err(KeyError::Malformed))]
fn parse_checks_the_form_and_the_time_of_issue(
    #[case] text: &str,
    #[case] expected: Result<u64, KeyError>,
) {
    let parsed = IdempotencyKey::parse(text, NOW_S);
    assert_eq!(parsed.map(|key| key.issued_s()), expected);
}

#[test]
fn keys_expire_no_later_than_their_claims() {
    const { assert!(KEY_RETENTION_S <= ClaimTable::RETENTION_S) };
    const { assert!(MAX_KEY_AHEAD_S <= ClaimTable::MAX_AHEAD_S) };
}

#[test]
fn claim_keys_differ_by_service_and_fingerprints_by_request() {
    let key = IdempotencyKey::parse("1700000000-a", NOW_S).unwrap();
    assert_ne!(key.claim_key("invoicing"), key.claim_key("fabric-cutting"));
    assert_ne!(
        fingerprint("POST", "/a", "bc"),
        fingerprint("POST", "/ab", "c")
    );
}

#[rstest]
#[case::other_request(ClaimVerdict::OtherRequest, NotRunReason::KeyReused)]
#[case::expired(ClaimVerdict::Expired, NotRunReason::KeyExpired)]
fn a_refused_claim_ends_the_request(#[case] verdict: ClaimVerdict, #[case] reason: NotRunReason) {
    let claim = Claim {
        key: ClaimKey::from_digest([1; 16], NOW_S),
        fingerprint: [1; 16],
        request: RequestId::new(EntryId::new(1), 1),
    };
    let (mut state, _) = AtMostOnceRequest::new(claim);
    let action = state.step(AtMostOnceInput::Verdict(verdict));
    let answer = FinalAnswer::NotRun(reason);
    assert_eq!(action, AtMostOnceAction::Finish { answer, end: None });
}
