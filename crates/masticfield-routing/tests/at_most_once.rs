//! Requests that run at most once, over several entries that crash, and resends.

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

/// A message on its way; any of them may be the next to arrive, or be lost.
#[derive(Debug, Clone, Copy)]
enum Message {
    Claim(Claim),
    Verdict(RequestId, ClaimVerdict),
    Dispatch(RequestId),
    Exchanged(RequestId, ClaimEnd),
    End(ClaimKey, RequestId, ClaimEnd),
    Ask { by: RequestId, asker: RequestId },
    First(RequestId, LookupResult),
}

#[derive(Debug, Default)]
struct Entry {
    requests: BTreeMap<RequestId, AtMostOnceRequest>,
    ended: BTreeMap<RequestId, ClaimEnd>,
}

struct World {
    rng: ChaCha8Rng,
    defect: AtMostOnceDefect,
    table: ClaimTable,
    entries: BTreeMap<EntryId, Entry>,
    messages: Vec<Message>,
    sequence: u64,
    key_of: BTreeMap<RequestId, ClaimKey>,
    /// What upstreams did with each dispatch that reached one; true if it ran.
    seen: BTreeMap<RequestId, bool>,
    answers: BTreeMap<RequestId, Vec<FinalAnswer>>,
    violations: Vec<String>,
}

impl World {
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
            seen: BTreeMap::new(),
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

    /// A caller sends or resends a request through any entry.
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
        let (once, next) = AtMostOnceRequest::new(claim);
        self.key_of.insert(request, key);
        let once = once.with_defect(self.defect);
        self.entries
            .get_mut(&entry)
            .unwrap()
            .requests
            .insert(request, once);
        self.carry_out(request, next);
    }

    /// An entry loses all that it knew; the control replicas learn of it when it is back.
    fn crash(&mut self) {
        let id = EntryId::new(self.rng.random_range(0..ENTRIES));
        self.entries.insert(id, Entry::default());
        if self.rng.random() {
            self.table.fence(id);
        }
    }

    /// A request gives up, or all requests at upstreams lose their connection.
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

    /// A claim is sent again, as after a new connection.
    fn resend_claim(&mut self) {
        let requests = self
            .entries
            .values()
            .flat_map(|entry| entry.requests.values());
        let claims: Vec<_> = requests.map(|once| *once.claim()).collect();
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
            Message::Dispatch(request) => self.arrive(request),
            Message::Exchanged(request, end) => {
                self.step(request, AtMostOnceInput::ExchangeEnded(end));
            }
            Message::End(key, request, end) => self.table.end(key, request, end),
            Message::Ask { by, asker } => {
                let ended = self.entries[&by.entry()].ended.get(&by);
                let first = match ended {
                    Some(ClaimEnd::Ran) => LookupResult::Stored,
                    Some(end) => LookupResult::Ended(*end),
                    None => LookupResult::NotFound,
                };
                self.messages.push(Message::First(asker, first));
            }
            Message::First(request, first) => {
                self.step(request, AtMostOnceInput::LookupEnded(first));
            }
        }
    }

    /// A dispatch reaches an upstream, which runs it or proves that it did not.
    fn arrive(&mut self, request: RequestId) {
        let runs = self.rng.random_range(0..4) != 0;
        let end = if runs {
            ClaimEnd::Ran
        } else {
            ClaimEnd::NotRun
        };
        let key = self.key_of[&request];
        let ran = self
            .seen
            .iter()
            .filter(|(other, ran)| **ran && self.key_of[other] == key);
        if runs && ran.count() > 0 {
            self.violations
                .push(format!("{request} ran a key for the second time"));
        }
        self.seen.insert(request, runs);
        self.messages.push(Message::Exchanged(request, end));
    }

    fn step(&mut self, request: RequestId, input: AtMostOnceInput) {
        let entry = self.entries.get_mut(&request.entry()).unwrap();
        let Some(once) = entry.requests.get_mut(&request) else {
            return;
        };
        let next = once.step(input);
        self.carry_out(request, next);
    }

    fn carry_out(&mut self, request: RequestId, next: AtMostOnceAction) {
        let entry = self.entries.get_mut(&request.entry()).unwrap();
        match next {
            AtMostOnceAction::Claim => {
                let claim = *entry.requests[&request].claim();
                self.messages.push(Message::Claim(claim));
            }
            AtMostOnceAction::Dispatch => self.messages.push(Message::Dispatch(request)),
            AtMostOnceAction::LookUp { by } => {
                self.messages.push(Message::Ask { by, asker: request });
            }
            AtMostOnceAction::Finish { answer, end } => {
                // The seeded defect needs the request after its answer.
                if self.defect != AtMostOnceDefect::RunAfterGivingUp
                    || end != Some(ClaimEnd::NotRun)
                {
                    entry.requests.remove(&request);
                }
                if let Some(end) = end {
                    entry.ended.insert(request, end);
                    let key = self.key_of[&request];
                    self.messages.push(Message::End(key, request, end));
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
                .seen
                .iter()
                .any(|(other, ran)| *ran && self.key_of[other] == key);
            let untrue = match answers[0] {
                FinalAnswer::NotRun(_) => self.seen.get(request) == Some(&true),
                FinalAnswer::Stored | FinalAnswer::Unknown(UnknownReason::AlreadyRan) => !ran,
                _ => false,
            };
            if untrue {
                self.violations
                    .push(format!("{request} was told {:?}", answers[0]));
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_key_runs_twice_and_every_answer_is_true(seed in any::<u64>()) {
        let violations = World::new(seed, AtMostOnceDefect::None).run();
        prop_assert!(violations.is_empty(), "{violations:?}");
    }

    #[test]
    fn held_answers_stay_within_their_bounds(sizes in proptest::collection::vec(0_usize..400, 1..60)) {
        let limits = ResponseStoreLimits::new().total_bytes(1_000).response_bytes(300).max_age(Duration::from_secs(5));
        let mut held = ResponseStore::new(limits);
        let start = Instant::now();
        for (number, bytes) in (0_u32..).zip(sizes) {
            let now = start + Duration::from_secs(1) * number;
            let request = RequestId::new(EntryId::new(1), u64::from(number));
            held.insert(now, request, number, bytes);
            prop_assert!(held.bytes() <= 1_000);
            let kept = held.get(now, request).copied();
            prop_assert_eq!(kept, (bytes <= 300).then_some(number));
            let old = RequestId::new(EntryId::new(1), u64::from(number.saturating_sub(5)));
            prop_assert!(number < 5 || held.get(now, old).is_none());
        }
    }
}

/// Without its guard, the same world finds a violation.
#[rstest]
#[case::run_when_held(AtMostOnceDefect::RunWhenHeld)]
#[case::run_after_giving_up(AtMostOnceDefect::RunAfterGivingUp)]
#[case::free_when_unknown(AtMostOnceDefect::FreeWhenUnknown)]
#[case::claim_means_ran(AtMostOnceDefect::ClaimMeansRan)]
fn a_seeded_defect_is_found(#[case] defect: AtMostOnceDefect) {
    let found = (0..200).any(|seed| !World::new(seed, defect).run().is_empty());
    assert!(found, "{defect:?} was not found");
}

#[rstest]
#[case::usable("1700000000-cut-17", Ok(NOW_S))]
#[case::just_kept("1699996401-a", Ok(NOW_S - KEY_RETENTION_S + 1))]
#[case::too_old("1699996400-a", Err(KeyError::Expired))]
#[case::a_little_ahead("1700000060-a", Ok(NOW_S + MAX_KEY_AHEAD_S))]
#[case::too_far_ahead("1700000061-a", Err(KeyError::Ahead))]
#[case::no_time("cut-17", Err(KeyError::Malformed))]
#[case::no_text("1700000000-", Err(KeyError::Malformed))]
#[case::a_sign("+1700000000-a", Err(KeyError::Malformed))]
#[case::no_separator("1700000000", Err(KeyError::Malformed))]
fn a_key_carries_its_time(#[case] text: &str, #[case] expected: Result<u64, KeyError>) {
    let parsed = IdempotencyKey::parse(text, NOW_S);
    assert_eq!(parsed.map(|key| key.issued_s()), expected);
}

#[test]
fn keys_are_refused_no_later_than_their_claims_are_forgotten() {
    const { assert!(KEY_RETENTION_S <= ClaimTable::RETENTION_S) };
    const { assert!(MAX_KEY_AHEAD_S <= ClaimTable::MAX_AHEAD_S) };
}

#[test]
fn services_and_requests_have_keys_and_fingerprints_of_their_own() {
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
fn a_refused_claim_is_answered_at_once(
    #[case] verdict: ClaimVerdict,
    #[case] reason: NotRunReason,
) {
    let claim = Claim {
        key: ClaimKey::from_digest([1; 16], NOW_S),
        fingerprint: [1; 16],
        request: RequestId::new(EntryId::new(1), 1),
    };
    let (mut once, _) = AtMostOnceRequest::new(claim);
    let next = once.step(AtMostOnceInput::Verdict(verdict));
    let answer = FinalAnswer::NotRun(reason);
    assert_eq!(next, AtMostOnceAction::Finish { answer, end: None });
}
