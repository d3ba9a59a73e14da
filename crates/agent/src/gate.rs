//! The decision core applied to the requests of all entries.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use berylgw_core::admission::{self, Action, Decision, Limits, Report};
use berylgw_core::clock::Instant;
use berylgw_core::config::{DOMAIN_PREFIX, Version};
use berylgw_core::drain;
use berylgw_core::fair::Queue;
use berylgw_core::outcome::{Reason, Refusal};
use berylgw_core::quarantine::{self, Verdict};
use berylgw_core::service::Kind;
use berylgw_core::ticket::Subject;
use berylgw_runtime::clock::Clock;
use berylgw_wire as wire;
use tokio::sync::{Notify, oneshot};

use crate::control::Published;
use crate::convert::millis;
use crate::once::{Once, key_of};
use crate::place::{Cohort, Place};
use crate::settings::Settings;

/// Retry time for refusals that another backend server can take at once.
const RETRY_ELSEWHERE: Duration = Duration::from_millis(100);

/// Shared state of all requests of one agent.
///
/// Every operation holds the lock for a short computation without input or
/// output.
pub struct Gate {
    name: Arc<str>,
    domain: Arc<str>,
    incarnation: u64,
    clock: Clock,
    state: Mutex<State>,
    idle: Notify,
}

pub(crate) struct State {
    published: Arc<Published>,
    confirmed_at: Instant,
    leaving: bool,
    pub(crate) admission: admission::Controller,
    pub(crate) quarantine: quarantine::Table,
    pub(crate) cohort: Cohort,
    pub(crate) waiters: Vec<Waiter>,
    next_id: u64,
    pub(crate) crashes: u64,
    pub(crate) once: Once,
}

pub(crate) struct Waiter {
    pub(crate) id: u64,
    grant: oneshot::Sender<Result<(), Refusal>>,
}

/// What the metrics show.
#[derive(Clone, Debug)]
pub struct Status {
    /// Load as entries see it.
    pub load: wire::Load,
    /// Configuration version in force.
    pub config_version: u64,
    /// Time since an entry last confirmed it.
    pub config_age: Duration,
    /// Crashes of the server noticed.
    pub crashes: u64,
    /// Suspected or convicted fingerprints.
    pub suspects: usize,
}

/// A request that was let in: its place, and word when it may be passed on.
#[derive(Debug)]
pub struct Admitted {
    /// The place in the queue, later at the server.
    pub place: Place,
    /// Resolves when the request may run or is given up.
    pub grant: oneshot::Receiver<Result<(), Refusal>>,
    /// Kind of the service.
    pub kind: Kind,
    /// Time of the caller's deadline.
    pub deadline: Instant,
}

impl fmt::Debug for Gate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gate")
            .field("name", &self.name)
            .field("incarnation", &self.incarnation)
            .finish_non_exhaustive()
    }
}

impl Gate {
    /// The gate of a new incarnation.
    pub fn new(settings: &Settings, incarnation: u64) -> Self {
        let queue = Queue::new(settings.queue.total, settings.queue.per_account)
            .with_discipline(settings.queue.order);
        let limits = Limits { warm: 0, cold: 0 };
        let lag = Duration::from_millis(settings.server.report_lag_ms);
        let longest = Duration::from_millis(settings.server.longest_ms);
        let conviction = Duration::from_millis(settings.quarantine.conviction_ms);
        Gate {
            name: settings.name.clone(),
            domain: settings.domain.clone(),
            incarnation,
            clock: Clock::start(),
            state: Mutex::new(State {
                published: Arc::default(),
                confirmed_at: Instant::ORIGIN,
                leaving: false,
                // The clock starts with the agent.
                admission: admission::Controller::new(limits, queue, lag)
                    .with_orphans_until(Instant::ORIGIN + longest),
                quarantine: quarantine::Table::new(conviction, settings.quarantine.capacity),
                cohort: Cohort::default(),
                waiters: Vec::new(),
                next_id: 0,
                crashes: 0,
                once: Once::new(settings, incarnation),
            }),
            idle: Notify::new(),
        }
    }

    /// The process clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Identity of this agent in messages.
    pub fn sender(&self, version: Version) -> wire::Sender {
        wire::Sender {
            name: self.name.to_string(),
            incarnation: self.incarnation,
            config_version: version.into(),
        }
    }

    /// Identity of this agent with the configuration version in force.
    pub fn current_sender(&self) -> wire::Sender {
        let version = self.lock().published.snapshot.version;
        self.sender(version)
    }

    /// Puts a configuration in force.
    pub fn configure(&self, published: Arc<Published>) {
        let mut state = self.lock();
        let was_open = self.drain_state(&state) == drain::State::Open;
        let moved = self.moves(&state.published) != self.moves(&published);
        state.published = published;
        let is_open = self.drain_state(&state) == drain::State::Open;
        // The caches of a server that got no work are cold. Both moves of a
        // failure domain may arrive at once.
        if is_open && (moved || !was_open) {
            state.admission.restart_slow_start(self.clock.now());
        }
        if let Some(server) = state.published.snapshot.server(&self.name) {
            let limits = Limits {
                warm: server.limit,
                cold: server.cold_limit,
            };
            state.admission.set_limits(limits);
        }
        self.settle(&mut state);
    }

    /// Notes that an entry has just sent its newest configuration.
    pub fn confirm(&self) {
        self.lock().confirmed_at = self.clock.now();
    }

    /// Takes in a load report of the server that was asked for at `asked`.
    pub fn report(&self, asked: Instant, report: Report) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.admission.report(asked, now, report);
        self.settle(&mut state);
    }

    /// Notes that the server cannot be reached: it comes back cold.
    pub fn lost(&self) {
        let now = self.clock.now();
        self.lock().admission.restart_slow_start(now);
    }

    /// Gives up queued requests whose deadline has passed.
    pub fn tick(&self) {
        self.settle(&mut self.lock());
    }

    /// Takes in suspects that other processes know.
    pub fn merge_suspects(&self, suspects: &[wire::Suspect]) {
        let now = self.clock.now();
        let mut state = self.lock();
        for suspect in suspects {
            let suspect = quarantine::Suspect {
                fingerprint: suspect.fingerprint,
                crashes: suspect.crashes,
                quarantined: Duration::from_millis(suspect.convicted_ms),
            };
            state.quarantine.merge(now, suspect);
        }
    }

    /// Suspected and convicted fingerprints.
    pub fn suspects(&self) -> Vec<wire::Suspect> {
        let suspects = self.lock().quarantine.suspects(self.clock.now());
        let wire = suspects.iter().map(|suspect| wire::Suspect {
            fingerprint: suspect.fingerprint,
            crashes: suspect.crashes,
            convicted_ms: millis(suspect.quarantined),
        });
        wire.collect()
    }

    /// Load as entries see it.
    pub fn load(&self) -> wire::Load {
        self.load_of(&self.lock())
    }

    /// What the metrics show.
    pub fn status(&self) -> Status {
        let now = self.clock.now();
        let state = self.lock();
        Status {
            load: self.load_of(&state),
            config_version: state.published.snapshot.version.into(),
            config_age: now.since(state.confirmed_at),
            crashes: state.crashes,
            suspects: state.quarantine.suspects(now).len(),
        }
    }

    /// Refuses new work and everything that is queued.
    pub fn leave(&self) {
        let mut state = self.lock();
        state.leaving = true;
        self.settle(&mut state);
    }

    /// Waits until no request is held or queued.
    pub async fn idle(&self) {
        loop {
            let notified = self.idle.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            {
                let state = self.lock();
                if state.admission.in_flight() == 0 && state.admission.queued() == 0 {
                    return;
                }
            }
            notified.await;
        }
    }

    /// Lets a request in or refuses it.
    ///
    /// # Errors
    ///
    /// Fails with a refusal that is `not run`.
    pub fn admit(self: &Arc<Self>, request: &wire::DispatchRequest) -> Result<Admitted, Refusal> {
        let now = self.clock.now();
        let mut state = self.lock();
        self.check_version(&state, request)?;
        self.check_open(&state)?;
        let kind = self.check_service(&state, &request.account, &request.service)?;
        self.check_claim(request.claim.as_ref())?;
        if request.isolate {
            // Its sender knows of a crash that has not been reported here yet.
            let suspect = quarantine::Suspect {
                fingerprint: request.fingerprint,
                crashes: 1,
                quarantined: Duration::ZERO,
            };
            state.quarantine.merge(now, suspect);
        }
        let verdict = state.quarantine.verdict(now, request.fingerprint);
        if let Verdict::Quarantined(rest) = verdict {
            return Err(Refusal::not_run(Reason::Quarantined, rest));
        }
        let id = state.next_id;
        state.next_id += 1;
        let deadline = now + Duration::from_millis(request.timeout_ms);
        let alone = verdict == Verdict::Suspected;
        let account: Arc<str> = request.account.as_str().into();
        let known = state.published.snapshot.account(&account);
        let Some((weight, concurrency)) = known.map(|known| (known.weight, known.concurrency))
        else {
            return Err(Refusal::not_run(Reason::UnknownService, RETRY_ELSEWHERE));
        };
        let offered = admission::Request {
            id,
            account,
            weight,
            concurrency,
            deadline,
            alone,
        };
        let subject = self.subject(&request.account, &request.service);
        let permit = state.once.reserve(now, &subject, request)?;
        if let Decision::Refused(refusal) = state.admission.offer(now, offered) {
            state.once.give_back(now, &permit);
            return Err(refusal);
        }
        let (sender, grant) = oneshot::channel();
        state.waiters.push(Waiter { id, grant: sender });
        self.settle(&mut state);
        Ok(Admitted {
            place: Place::new(self.clone(), id, request.fingerprint, alone, permit),
            grant,
            kind,
            deadline,
        })
    }

    /// Reports what happened to a claim, or promises never to run it.
    pub fn seal(&self, claim: &wire::Claim) -> wire::SealReply {
        let now = self.clock.now();
        let mut state = self.lock();
        // An earlier incarnation may have run its claims.
        let (outcome, result) = if self.is_own(claim) {
            state.once.claims.seal(now, &key_of(claim), claim.token)
        } else {
            (wire::Outcome::Unknown, None)
        };
        wire::SealReply {
            sender: Some(self.sender(state.published.snapshot.version)),
            outcome: outcome as i32,
            result,
        }
    }

    /// Issues a ticket and returns it with its lifetime.
    ///
    /// # Errors
    ///
    /// Fails if the server takes no work of the account and service.
    pub fn issue_ticket(
        &self,
        request: &wire::TicketRequest,
    ) -> Result<(Arc<str>, Duration), Refusal> {
        let now = self.clock.now();
        let mut state = self.lock();
        self.check_open(&state)?;
        self.check_service(&state, &request.account, &request.service)?;
        let subject = self.subject(&request.account, &request.service);
        let token = state.once.tickets.issue(now, &subject, &request.key)?;
        Ok((token, state.once.tickets.lifetime()))
    }

    fn subject(&self, account: &str, service: &str) -> Subject {
        Subject {
            server: self.name.clone(),
            account: account.into(),
            service: service.into(),
        }
    }

    fn check_version(&self, state: &State, request: &wire::DispatchRequest) -> Result<(), Refusal> {
        let theirs = request
            .sender
            .as_ref()
            .map_or(0, |sender| sender.config_version);
        // A newer version that has not arrived here in time is refused as well.
        if Version::from(theirs) == state.published.snapshot.version {
            return Ok(());
        }
        Err(Refusal::not_run(Reason::StaleConfig, RETRY_ELSEWHERE))
    }

    fn check_open(&self, state: &State) -> Result<(), Refusal> {
        if self.drain_state(state) == drain::State::Open {
            return Ok(());
        }
        Err(Refusal::not_run(Reason::Draining, RETRY_ELSEWHERE))
    }

    fn is_own(&self, claim: &wire::Claim) -> bool {
        claim.incarnation == self.incarnation && *claim.server == *self.name
    }

    fn check_claim(&self, claim: Option<&wire::Claim>) -> Result<(), Refusal> {
        if claim.is_none_or(|claim| self.is_own(claim)) {
            return Ok(());
        }
        let refusal = Refusal::not_run(Reason::StaleToken, RETRY_ELSEWHERE);
        Err(refusal.with_message("the claim was granted for another incarnation"))
    }

    fn check_service(&self, state: &State, account: &str, service: &str) -> Result<Kind, Refusal> {
        let snapshot = &state.published.snapshot;
        let own = snapshot.server(&self.name).map(|server| &server.service);
        let same = own.is_some_and(|own| **own == *service);
        let granted = snapshot.is_granted(account, service);
        match snapshot.service(service) {
            Some(service) if same && granted => Ok(service.kind),
            _ => Err(Refusal::not_run(Reason::UnknownService, RETRY_ELSEWHERE)),
        }
    }

    /// Versions of the last moves of this server's failure domains.
    fn moves(&self, published: &Published) -> [Option<Version>; 2] {
        let server = published.snapshot.server(&self.name);
        let listed = server.map(|server| &server.domain);
        [Some(&self.domain), listed].map(|domain| {
            let object = format!("{DOMAIN_PREFIX}{}", domain?);
            published.view.get(&object).map(|object| object.version)
        })
    }

    fn drain_state(&self, state: &State) -> drain::State {
        let snapshot = &state.published.snapshot;
        drain::state(snapshot, &self.name, &self.domain, state.leaving)
    }

    fn load_of(&self, state: &State) -> wire::Load {
        wire::Load {
            in_flight: state.admission.in_flight(),
            queued: state.admission.queued(),
            limit: state.admission.limit(),
            service_time_us: state.admission.service_time().as_micros() as u64,
            cold: state.admission.is_cold(),
            draining: self.drain_state(state) != drain::State::Open,
        }
    }

    /// Carries out what the decision core asks for after a change.
    pub(crate) fn settle(&self, state: &mut State) {
        let mut actions = Vec::new();
        if self.drain_state(state) != drain::State::Open {
            actions = state.admission.refuse_queued(Reason::Draining);
        }
        actions.extend(state.admission.advance(self.clock.now()));
        for action in actions {
            let (id, word) = match action {
                Action::Run(id) => (id, Ok(())),
                Action::Refuse(id, refusal) => (id, Err(refusal)),
            };
            let Some(index) = state.waiters.iter().position(|waiter| waiter.id == id) else {
                continue;
            };
            // A receiver that is gone gives its place back when it is dropped.
            let _ = state.waiters.swap_remove(index).grant.send(word);
        }
        if state.admission.in_flight() == 0 && state.admission.queued() == 0 {
            self.idle.notify_waiters();
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
