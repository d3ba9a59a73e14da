//! Admission control for the requests of all entries.

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
use crate::idempotency::{AtMostOnce, claim_key};
use crate::permit::{CrashDetector, Permit};
use crate::settings::Settings;

/// Retry delay in refusals.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// Admission state shared by all requests of one agent.
///
/// No operation performs I/O while it holds the lock.
pub struct Controller {
    name: Arc<str>,
    domain: Arc<str>,
    incarnation: u64,
    clock: Clock,
    state: Mutex<State>,
    idle: Notify,
}

pub(crate) struct State {
    published: Arc<Published>,
    entry_message_at: Instant,
    leaving: bool,
    pub(crate) admission: admission::Controller,
    pub(crate) quarantine: quarantine::Table,
    pub(crate) crash_detector: CrashDetector,
    pub(crate) waiters: Vec<Waiter>,
    next_id: u64,
    pub(crate) crashes: u64,
    pub(crate) idempotency: AtMostOnce,
}

pub(crate) struct Waiter {
    pub(crate) id: u64,
    grant: oneshot::Sender<Result<(), Refusal>>,
}

/// Values for the metrics.
#[derive(Clone, Debug)]
pub struct Status {
    /// Load as reported to entries.
    pub load: wire::Load,
    /// Configuration version in force.
    pub config_version: u64,
    /// Time since the last message of an entry that states its configuration
    /// version.
    pub config_age: Duration,
    /// Crashes of the server detected.
    pub crashes: u64,
    /// Fingerprints that are suspected of crashing the server or quarantined.
    pub suspects: usize,
}

/// An admitted request: its permit, and a channel that grants or refuses its
/// run.
#[derive(Debug)]
pub struct Admitted {
    /// Permit that holds a position in the queue, later at the server.
    pub permit: Permit,
    /// Resolves when the request may run or is refused.
    pub grant: oneshot::Receiver<Result<(), Refusal>>,
    /// Kind of the service.
    pub kind: Kind,
    /// Deadline of the caller.
    pub deadline: Instant,
}

impl fmt::Debug for Controller {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Controller")
            .field("name", &self.name)
            .field("incarnation", &self.incarnation)
            .finish_non_exhaustive()
    }
}

impl Controller {
    /// Creates the admission state of a new incarnation.
    pub fn new(settings: &Settings, incarnation: u64) -> Self {
        let queue = Queue::new(settings.queue.total, settings.queue.per_account)
            .with_discipline(settings.queue.order);
        let limits = Limits { warm: 0, cold: 0 };
        let lag = Duration::from_millis(settings.server.report_lag_ms);
        let longest = Duration::from_millis(settings.server.longest_ms);
        let conviction = Duration::from_millis(settings.quarantine.conviction_ms);
        Controller {
            name: settings.name.clone(),
            domain: settings.domain.clone(),
            incarnation,
            clock: Clock::start(),
            state: Mutex::new(State {
                published: Arc::default(),
                entry_message_at: Instant::ORIGIN,
                leaving: false,
                // `ORIGIN` is the start of the agent: the clock starts with it.
                admission: admission::Controller::new(limits, queue, lag)
                    .with_orphans_until(Instant::ORIGIN + longest),
                quarantine: quarantine::Table::new(conviction, settings.quarantine.capacity),
                crash_detector: CrashDetector::default(),
                waiters: Vec::new(),
                next_id: 0,
                crashes: 0,
                idempotency: AtMostOnce::new(settings, incarnation),
            }),
            idle: Notify::new(),
        }
    }

    /// Returns the process clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Returns this agent's identity for messages, with `version` as its
    /// configuration version.
    pub fn sender(&self, version: Version) -> wire::Sender {
        wire::Sender {
            name: self.name.to_string(),
            incarnation: self.incarnation,
            config_version: version.into(),
        }
    }

    /// Returns this agent's identity with the configuration version in force.
    pub fn current_sender(&self) -> wire::Sender {
        let version = self.lock().published.snapshot.version;
        self.sender(version)
    }

    /// Puts a configuration in force.
    pub fn configure(&self, published: Arc<Published>) {
        let mut state = self.lock();
        let was_open = self.drain_state(&state) == drain::State::Open;
        let domains_changed =
            self.domain_versions(&state.published) != self.domain_versions(&published);
        state.published = published;
        let is_open = self.drain_state(&state) == drain::State::Open;
        // A server that received no work has cold caches. A failure domain may
        // go out of service and back within one update, so that the server
        // looks open before and after.
        if is_open && (domains_changed || !was_open) {
            state.admission.restart_slow_start(self.clock.now());
        }
        if let Some(server) = state.published.snapshot.server(&self.name) {
            let limits = Limits {
                warm: server.limit,
                cold: server.cold_limit,
            };
            state.admission.set_limits(limits);
        }
        self.advance(&mut state);
    }

    /// Records a message of an entry that states its configuration version.
    pub fn record_entry_message(&self) {
        self.lock().entry_message_at = self.clock.now();
    }

    /// Applies a load report that was requested from the server at `asked`.
    pub fn record_load(&self, asked: Instant, report: Report) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.admission.report(asked, now, report);
        self.advance(&mut state);
    }

    /// Returns to the cold limit because the server cannot be reached: it is
    /// cold after a restart.
    pub fn server_unreachable(&self) {
        let now = self.clock.now();
        self.lock().admission.restart_slow_start(now);
    }

    /// Refuses queued requests whose deadline has passed.
    pub fn refuse_expired(&self) {
        self.advance(&mut self.lock());
    }

    /// Merges suspects that other processes report.
    pub fn merge_suspects(&self, suspects: &[wire::Suspect]) {
        let now = self.clock.now();
        let mut state = self.lock();
        for suspect in suspects {
            state.quarantine.merge(now, suspect.into());
        }
    }

    /// Returns the suspected and convicted fingerprints.
    pub fn suspects(&self) -> Vec<wire::Suspect> {
        let suspects = self.lock().quarantine.suspects(self.clock.now());
        suspects.into_iter().map(wire::Suspect::from).collect()
    }

    /// Returns the load as reported to entries.
    pub fn load(&self) -> wire::Load {
        self.load_of(&self.lock())
    }

    /// Returns the values for the metrics.
    pub fn status(&self) -> Status {
        let now = self.clock.now();
        let state = self.lock();
        Status {
            load: self.load_of(&state),
            config_version: state.published.snapshot.version.into(),
            config_age: now.since(state.entry_message_at),
            crashes: state.crashes,
            suspects: state.quarantine.suspects(now).len(),
        }
    }

    /// Refuses new requests and all queued ones from now on.
    pub fn start_drain(&self) {
        let mut state = self.lock();
        state.leaving = true;
        self.advance(&mut state);
    }

    /// Waits until no request is in flight or queued.
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

    /// Admits a request or refuses it.
    ///
    /// # Errors
    ///
    /// Fails with a refusal whose outcome is `not run`.
    pub fn admit(self: &Arc<Self>, request: &wire::DispatchRequest) -> Result<Admitted, Refusal> {
        let now = self.clock.now();
        let mut state = self.lock();
        self.check_version(&state, request)?;
        self.check_open(&state)?;
        let kind = self.check_service(&state, &request.account, &request.service)?;
        self.check_claim(request.claim.as_ref())?;
        if request.isolate {
            // The sender knows of a crash that this agent may not know of.
            let remaining_ms = request.suspected_ms;
            let suspect = quarantine::Suspect {
                fingerprint: request.fingerprint,
                crashes: 1,
                remaining: remaining_ms.map_or(Duration::MAX, Duration::from_millis),
            };
            state.quarantine.merge(now, suspect);
        }
        let verdict = state.quarantine.verdict(now, request.fingerprint);
        if let Verdict::Quarantined(remaining) = verdict {
            return Err(Refusal::not_run(Reason::Quarantined, remaining));
        }
        let id = state.next_id;
        state.next_id += 1;
        let deadline = now + Duration::from_millis(request.timeout_ms);
        let alone = request.isolate || verdict != Verdict::Clear;
        let account: Arc<str> = request.account.as_str().into();
        let known = state.published.snapshot.account(&account);
        let Some((weight, concurrency)) = known.map(|known| (known.weight, known.concurrency))
        else {
            return Err(Refusal::not_run(Reason::UnknownService, RETRY_AFTER));
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
        let reservation = state.idempotency.reserve(now, &subject, request)?;
        if let Decision::Refused(refusal) = state.admission.offer(now, offered) {
            state.idempotency.release(now, &reservation);
            return Err(refusal);
        }
        let (sender, grant) = oneshot::channel();
        state.waiters.push(Waiter { id, grant: sender });
        self.advance(&mut state);
        Ok(Admitted {
            permit: Permit::new(self.clone(), id, request.fingerprint, alone, reservation),
            grant,
            kind,
            deadline,
        })
    }

    /// Returns the outcome of a claim, or seals it so that it never runs.
    pub fn seal(&self, claim: &wire::Claim) -> wire::SealReply {
        let now = self.clock.now();
        let mut state = self.lock();
        // An earlier incarnation may have run its claims.
        let (outcome, result) = if self.is_own_claim(claim) {
            state
                .idempotency
                .claims
                .seal(now, &claim_key(claim), claim.token)
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
    /// Fails if the server accepts no requests of the account for the service.
    pub fn issue_ticket(
        &self,
        request: &wire::TicketRequest,
    ) -> Result<(Arc<str>, Duration), Refusal> {
        let now = self.clock.now();
        let mut state = self.lock();
        self.check_open(&state)?;
        self.check_service(&state, &request.account, &request.service)?;
        let subject = self.subject(&request.account, &request.service);
        let token = state
            .idempotency
            .tickets
            .issue(now, &subject, &request.key)?;
        Ok((token, state.idempotency.tickets.lifetime()))
    }

    fn subject(&self, account: &str, service: &str) -> Subject {
        Subject {
            server: self.name.clone(),
            account: account.into(),
            service: service.into(),
        }
    }

    fn check_version(&self, state: &State, request: &wire::DispatchRequest) -> Result<(), Refusal> {
        let sender_version = request
            .sender
            .as_ref()
            .map_or(0, |sender| sender.config_version);
        // The request is also refused if the sender's version is newer and has not
        // reached this agent in time.
        if Version::from(sender_version) == state.published.snapshot.version {
            return Ok(());
        }
        Err(Refusal::not_run(Reason::StaleConfig, RETRY_AFTER))
    }

    fn check_open(&self, state: &State) -> Result<(), Refusal> {
        if self.drain_state(state) == drain::State::Open {
            return Ok(());
        }
        Err(Refusal::not_run(Reason::Draining, RETRY_AFTER))
    }

    fn is_own_claim(&self, claim: &wire::Claim) -> bool {
        claim.incarnation == self.incarnation && *claim.server == *self.name
    }

    fn check_claim(&self, claim: Option<&wire::Claim>) -> Result<(), Refusal> {
        if claim.is_none_or(|claim| self.is_own_claim(claim)) {
            return Ok(());
        }
        let refusal = Refusal::not_run(Reason::StaleToken, RETRY_AFTER);
        Err(refusal.with_message("the claim was granted for another incarnation"))
    }

    fn check_service(&self, state: &State, account: &str, service: &str) -> Result<Kind, Refusal> {
        let snapshot = &state.published.snapshot;
        let local = snapshot.server(&self.name).map(|server| &server.service);
        let same = local.is_some_and(|local| **local == *service);
        let granted = snapshot.is_granted(account, service);
        match snapshot.service(service) {
            Some(service) if same && granted => Ok(service.kind),
            _ => Err(Refusal::not_run(Reason::UnknownService, RETRY_AFTER)),
        }
    }

    /// Returns the versions of the state objects of two domains: the one in the
    /// settings and the one that the sheet gives this server.
    fn domain_versions(&self, published: &Published) -> [Option<Version>; 2] {
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

    /// Sends the grants and refusals that are due after a change of state.
    pub(crate) fn advance(&self, state: &mut State) {
        let mut actions = Vec::new();
        if self.drain_state(state) != drain::State::Open {
            actions = state.admission.refuse_queued(Reason::Draining);
        }
        actions.extend(state.admission.advance(self.clock.now()));
        for action in actions {
            let (id, grant) = match action {
                Action::Run(id) => (id, Ok(())),
                Action::Refuse(id, refusal) => (id, Err(refusal)),
            };
            let Some(index) = state.waiters.iter().position(|waiter| waiter.id == id) else {
                continue;
            };
            // If the receiver is gone, its permit is released on drop.
            let _ = state.waiters.swap_remove(index).grant.send(grant);
        }
        if state.admission.in_flight() == 0 && state.admission.queued() == 0 {
            self.idle.notify_waiters();
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
