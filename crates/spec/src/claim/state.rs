/// Number of sendings of the request, each with its own slot.
pub const ATTEMPTS: usize = 3;

/// Tokens above this end a path, which keeps the state space finite.
pub const MAX_TOKEN: u8 = 6;

/// A fault in the protocol that exploration has to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mistake {
    /// An entry dispatches first and claims afterwards.
    ClaimAfterDispatch,
    /// An owner acts past its lease, with unconditional updates and without
    /// a token check at the agent.
    LapsedOwnerNotFenced,
    /// An owner takes an update with a lost answer as failed.
    LostUpdateTakenAsFailed,
    /// The ledger key does not include the client account.
    KeyWithoutAccount,
    /// An entry dispatches again after a broken connection.
    RetryAfterBrokenConnection,
    /// An owner grants when it sends the update.
    GrantBeforeKnown,
    /// An agent forgets that it sealed a claim.
    SealIgnored,
    /// A new owner starts with an empty partition.
    TakeoverForgetsClaims,
    /// A refusal without knowledge of the key says `not run`.
    RefusalIgnoresKey,
}

/// Bounds of the exploration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Setup {
    /// Sendings of the request, at most [`ATTEMPTS`].
    pub attempts: usize,
    /// The second sending belongs to another account with the same key.
    pub two_accounts: bool,
    /// Platform answers that may be lost.
    pub lost: u8,
    /// Platform outages.
    pub outages: u8,
    /// Replacements of the agent.
    pub replacements: u8,
    /// Leases that may lapse while their owner is paused.
    pub lapses: u8,
    /// Seeded mistake.
    pub mistake: Option<Mistake>,
}

/// What is known about the result of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Progress {
    /// Claimed, no result.
    Claimed,
    /// Ran for this account.
    Done(u8),
    /// Will not run.
    NotRun,
}

/// A claim in the partition object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    /// Token it was committed with.
    pub token: u8,
    /// Incarnation of the agent it is for.
    pub incarnation: u8,
    /// Sending that asked for it; plays the part of the write's nonce.
    pub attempt: u8,
    /// Result.
    pub progress: Progress,
}

/// The partition object, one claim per key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Store {
    /// Answers calls.
    pub up: bool,
    /// Version of the object.
    pub version: u8,
    /// Owner in the lease.
    pub holder: Option<u8>,
    /// Token in the lease.
    pub token: u8,
    /// Claims by key.
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

/// An entry in its part as owner of the partition.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Owner {
    /// Holds the lease by its own clock.
    pub acting: bool,
    /// Token of its lease.
    pub token: u8,
    /// Version its copy stands for.
    pub version: u8,
    /// Copy of the claims.
    pub claims: [Option<Claim>; 2],
    /// Update without a known outcome.
    pub pending: Option<Write>,
    /// The answer to the pending update was lost.
    pub unknown: bool,
    /// Update on its way to the store.
    pub net: Option<Write>,
    /// Answer of the store: whether the update was applied.
    pub answer: Option<bool>,
    /// Claims known to have no grant: key and token.
    pub ungranted: [Option<u8>; 2],
}

/// What a caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// The result of this account's request.
    Done(u8),
    /// No sending of the request that was claimed so far was or will be run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Where one sending of the request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Not sent yet.
    Unsent,
    /// At the entry, no claim asked for.
    Idle,
    /// The owner has the claim request.
    Asked(u8),
    /// The entry may dispatch.
    Granted(u8, u8),
    /// Dispatched with this token and agent incarnation.
    Dispatched(u8, u8),
    /// The entry asks the agent to seal; whether it is the own dispatch.
    Sealing(u8, u8, bool),
    /// Sealed; the result has to be reported before a new claim.
    Sealed,
    /// The own grant does not run; the owner knows whether the key may have.
    Reporting,
    /// The caller has its answer.
    Answered(Answer),
}

/// One sending of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Attempt {
    /// Progress at its entry.
    pub phase: Phase,
    /// Dispatch on its way to the agent: token and incarnation.
    pub message: Option<(u8, u8)>,
    /// Result not yet reported to the owner: token and result.
    pub report: Option<(u8, Progress)>,
    /// Times the backend server ran this dispatch.
    pub runs: u8,
    /// A caller was told `not run` when this sending had run or could still run.
    pub barred: bool,
}

/// What the agent remembers about a key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Memory {
    /// Highest token run or sealed.
    pub token: u8,
    /// Account it ran for and whether it finished.
    pub run: Option<(u8, bool)>,
}

/// A state of the whole system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// Platform.
    pub store: Store,
    /// Entries as owners.
    pub owners: [Owner; 2],
    /// Sendings.
    pub attempts: [Attempt; ATTEMPTS],
    /// Incarnation of the agent.
    pub incarnation: u8,
    /// Memory of the agent by key.
    pub memory: [Memory; 2],
    /// Answers that may still be lost.
    pub lost: u8,
    /// Outages that may still come.
    pub outages: u8,
    /// Lapses that may still come.
    pub lapses: u8,
}

impl State {
    /// Answers a sending with `not run`, which is about the key.
    pub fn tell_not_run(&mut self, setup: &Setup, attempt: usize) {
        self.attempts[attempt].phase = Phase::Answered(Answer::NotRun);
        for other in 0..setup.attempts {
            let same = setup.account(other) == setup.account(attempt);
            let other = &mut self.attempts[other];
            let granted = matches!(other.phase, Phase::Granted(..) | Phase::Dispatched(..));
            let may_run = granted || other.message.is_some() || other.runs > 0;
            other.barred |= same && may_run;
        }
    }

    /// Answers a sending whose refusal is not based on the claims of the key.
    pub fn tell_unknown(&mut self, setup: &Setup, attempt: usize) {
        self.attempts[attempt].phase = Phase::Answered(Answer::Unknown);
        if setup.has(Mistake::RefusalIgnoresKey) {
            self.tell_not_run(setup, attempt);
        }
    }

    /// The initial state.
    pub fn new(setup: &Setup) -> Self {
        let attempt = Attempt {
            phase: Phase::Unsent,
            message: None,
            report: None,
            runs: 0,
            barred: false,
        };
        State {
            store: Store {
                up: true,
                version: 0,
                holder: None,
                token: 0,
                claims: [None; 2],
            },
            owners: [Owner::default(); 2],
            attempts: [attempt; ATTEMPTS],
            incarnation: 0,
            memory: [Memory::default(); 2],
            lost: setup.lost,
            outages: setup.outages,
            lapses: setup.lapses,
        }
    }
}

impl Setup {
    /// Account of a sending.
    pub fn account(&self, attempt: usize) -> u8 {
        u8::from(self.two_accounts && attempt == 1)
    }

    /// Ledger key of a sending.
    pub fn key(&self, attempt: usize) -> usize {
        if self.has(Mistake::KeyWithoutAccount) {
            return 0;
        }
        usize::from(self.account(attempt))
    }

    /// Whether the mistake is switched on.
    pub fn has(&self, mistake: Mistake) -> bool {
        self.mistake == Some(mistake)
    }
}
