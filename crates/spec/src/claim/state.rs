/// Highest number of times that the request is sent.
pub const ATTEMPTS: usize = 3;

/// Highest fencing token that is explored, which keeps the state space finite.
pub const MAX_TOKEN: u8 = 6;

/// A protocol bug, added on purpose, that exploration must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mistake {
    /// An entry dispatches the request before claiming its key.
    ClaimAfterDispatch,
    /// An owner keeps granting past its lease, the store applies updates
    /// unconditionally, and the agent does not check tokens.
    ExpiredOwnerNotFenced,
    /// An owner treats an update whose response was lost as failed.
    LostResponseIsFailure,
    /// The ledger key does not include the client account.
    KeyWithoutAccount,
    /// An entry dispatches again after a connection breaks.
    RetryAfterBrokenConnection,
    /// An owner grants a claim before it knows that the update was applied.
    GrantBeforeApplied,
    /// An agent does not record the token of a sealed claim.
    SealIgnored,
    /// A new owner discards the claims of the partition.
    TakeoverDiscardsClaims,
    /// A rejection that is not based on the claims of the key answers `not run`.
    RejectionIgnoresKey,
}

/// Bounds of the exploration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Number of times that the request is sent, at most [`ATTEMPTS`].
    pub attempts: usize,
    /// Whether the second attempt is a request of another client account with the
    /// same idempotency key.
    pub two_accounts: bool,
    /// Number of platform responses that may be lost.
    pub lost_responses: u8,
    /// Number of platform outages.
    pub outages: u8,
    /// Number of agent replacements.
    pub replacements: u8,
    /// Number of leases that may expire while their owner is paused.
    pub lease_expiries: u8,
    /// Protocol bug added on purpose.
    pub mistake: Option<Mistake>,
}

/// Recorded result of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Progress {
    /// No result yet.
    Claimed,
    /// The request ran for this client account.
    Done(u8),
    /// The claim's dispatch did not run and never will.
    NotRun,
}

/// A claim in the partition object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    /// Fencing token of the claim.
    pub token: u8,
    /// Incarnation of the agent that the claim is for.
    pub incarnation: u8,
    /// Attempt that requested the claim; also serves as the nonce of the write.
    pub attempt: u8,
    /// Result.
    pub progress: Progress,
}

/// The partition object, one claim per key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Store {
    /// Whether the store is available.
    pub available: bool,
    /// Version of the object.
    pub version: u8,
    /// Entry that holds the lease.
    pub holder: Option<u8>,
    /// Fencing token of the lease.
    pub token: u8,
    /// Claims by key index.
    pub claims: [Option<Claim>; 2],
}

/// A conditional update that adds a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Write {
    /// Version the object must have.
    pub expected: u8,
    /// Index of the key.
    pub key: u8,
    /// The new claim; its token becomes the token of the lease.
    pub claim: Claim,
}

/// An entry's state as owner of the partition.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Owner {
    /// Whether the entry holds the lease by its own clock.
    pub holds_lease: bool,
    /// Fencing token of its lease.
    pub token: u8,
    /// Object version of its copy of the claims.
    pub version: u8,
    /// Copy of the claims by key index.
    pub claims: [Option<Claim>; 2],
    /// Update with unknown outcome.
    pub pending: Option<Write>,
    /// Whether the response to the pending update was lost.
    pub response_lost: bool,
    /// Update in flight to the store.
    pub in_flight: Option<Write>,
    /// Response of the store: whether the update was applied.
    pub response: Option<bool>,
    /// Tokens of claims that are known to be ungranted, by key index.
    pub ungranted: [Option<u8>; 2],
}

/// Response to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// The result of a request of this client account.
    Done(u8),
    /// No attempt that was claimed so far has run or will run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Stage of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Not sent yet.
    Unsent,
    /// At the entry, with no claim requested.
    Idle,
    /// A claim was requested from this owner.
    ClaimRequested(u8),
    /// The entry may dispatch with this token to this agent incarnation.
    Granted(u8, u8),
    /// Dispatched with this token to this agent incarnation.
    Dispatched(u8, u8),
    /// The entry asks this agent incarnation to seal the token; the flag is set if
    /// the token is that of this attempt's dispatch.
    Sealing(u8, u8, bool),
    /// The earlier claim is sealed; its result must be reported to the owner
    /// before a new claim is requested.
    Sealed,
    /// This attempt's grant will not run; the owner decides whether another claim
    /// of the key may have run.
    Reporting,
    /// The caller has a response.
    Answered(Answer),
}

/// One attempt: the first sending of the request or a resend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Attempt {
    /// Stage at its entry.
    pub phase: Phase,
    /// Dispatch in flight to the agent: token and incarnation.
    pub in_flight: Option<(u8, u8)>,
    /// Token and result that are not yet reported to the owner.
    pub report: Option<(u8, Progress)>,
    /// Number of times that the backend server ran this dispatch.
    pub runs: u8,
    /// Whether a caller received `not run` when this attempt had run or could
    /// still run.
    pub answered_not_run: bool,
}

/// The agent's record of a key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Record {
    /// Highest token that was run or sealed.
    pub token: u8,
    /// Client account that the request ran for, and whether the run finished.
    pub run: Option<(u8, bool)>,
}

/// State of the whole system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// The platform object.
    pub store: Store,
    /// State of each entry as owner.
    pub owners: [Owner; 2],
    /// Attempts in the order of their sending.
    pub attempts: [Attempt; ATTEMPTS],
    /// Current incarnation of the agent.
    pub incarnation: u8,
    /// Records of the agent by key index.
    pub records: [Record; 2],
    /// Responses that may still be lost.
    pub lost_responses: u8,
    /// Outages that may still occur.
    pub outages: u8,
    /// Lease expiries that may still occur.
    pub lease_expiries: u8,
}

impl State {
    /// Answers an attempt with `not run`, which covers every attempt of the same
    /// client account.
    pub fn answer_not_run(&mut self, settings: &Settings, attempt: usize) {
        self.attempts[attempt].phase = Phase::Answered(Answer::NotRun);
        for other in 0..settings.attempts {
            let same = settings.account(other) == settings.account(attempt);
            let other = &mut self.attempts[other];
            let granted = matches!(other.phase, Phase::Granted(..) | Phase::Dispatched(..));
            let may_run = granted || other.in_flight.is_some() || other.runs > 0;
            other.answered_not_run |= same && may_run;
        }
    }

    /// Answers an attempt with `unknown`.
    pub fn answer_unknown(&mut self, settings: &Settings, attempt: usize) {
        self.attempts[attempt].phase = Phase::Answered(Answer::Unknown);
        if settings.has(Mistake::RejectionIgnoresKey) {
            self.answer_not_run(settings, attempt);
        }
    }

    /// Returns the initial state.
    pub fn new(settings: &Settings) -> Self {
        let attempt = Attempt {
            phase: Phase::Unsent,
            in_flight: None,
            report: None,
            runs: 0,
            answered_not_run: false,
        };
        State {
            store: Store {
                available: true,
                version: 0,
                holder: None,
                token: 0,
                claims: [None; 2],
            },
            owners: [Owner::default(); 2],
            attempts: [attempt; ATTEMPTS],
            incarnation: 0,
            records: [Record::default(); 2],
            lost_responses: settings.lost_responses,
            outages: settings.outages,
            lease_expiries: settings.lease_expiries,
        }
    }
}

impl Settings {
    /// Returns the client account of an attempt.
    pub fn account(&self, attempt: usize) -> u8 {
        u8::from(self.two_accounts && attempt == 1)
    }

    /// Returns the index of an attempt's ledger key.
    pub fn key(&self, attempt: usize) -> usize {
        if self.has(Mistake::KeyWithoutAccount) {
            return 0;
        }
        usize::from(self.account(attempt))
    }

    /// Returns whether `mistake` is the one added on purpose.
    pub fn has(&self, mistake: Mistake) -> bool {
        self.mistake == Some(mistake)
    }
}
