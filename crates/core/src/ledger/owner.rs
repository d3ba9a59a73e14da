mod reply;

use std::sync::Arc;

use super::batch::{self, Batch, Completed, Waiter};
use super::{Action, Digest, Event, Grant, Partition, Reply, Settings};
use crate::clock::Instant;
use crate::lease::{Lease, Observer, Record, Update};

/// A write of the partition whose outcome is not settled yet.
#[derive(Clone, Debug)]
struct PendingWrite {
    expected: u64,
    partition: Arc<Partition>,
    sent: Instant,
    waiters: Vec<Waiter>,
    // An earlier write of the same value has an unknown outcome.
    outcome_unknown: bool,
}

/// State machine with which one entry acquires and serves a ledger partition.
///
/// At most one platform call is outstanding. The process passes in events,
/// carries out the returned actions in order, and sends [`Event::Tick`] at
/// [`Owner::wake_at`].
///
/// ```
/// use berylgw_core::clock::Instant;
/// use berylgw_core::lease::{Holder, Update};
/// use berylgw_core::ledger::{Action, Event, Owner, Settings};
///
/// let holder = Holder { name: "e1".into(), incarnation: 1 };
/// let mut owner = Owner::new(Settings::new(holder));
/// let now = Instant::ORIGIN;
/// assert!(matches!(owner.step(Event::Tick, now)[..], [Action::Read]));
/// let actions = owner.step(Event::ReadDone(None), now);
/// assert!(matches!(actions[..], [Action::Write { expected: 0, .. }]));
/// owner.step(Event::Written(Update::Applied(1)), now);
/// assert!(owner.holds(now));
/// ```
#[derive(Clone, Debug)]
pub struct Owner {
    settings: Settings,
    wanted: bool,
    call_outstanding: bool,
    // The last platform call failed or had an unknown outcome.
    unavailable: bool,
    // `base` must be read again before the next write.
    base_stale: bool,
    nonce: u64,
    // Version and value of the object as last read or written; version 0 if it does
    // not exist.
    base: Option<(u64, Option<Arc<Partition>>)>,
    observer: Observer,
    lease: Option<Lease>,
    pending_write: Option<PendingWrite>,
    queue: Vec<Waiter>,
    completions: Vec<Completed>,
    // When the oldest of `completions` was accepted.
    oldest_completion: Option<Instant>,
    // Claims of this incarnation whose grant was never issued, with their tokens.
    ungranted: Vec<(Digest, u64)>,
    generation_start: Instant,
    next_call: Instant,
}

impl Owner {
    /// Creates an owner that wants its partition and does not hold it yet.
    pub fn new(settings: Settings) -> Self {
        Owner {
            settings,
            wanted: true,
            call_outstanding: false,
            unavailable: false,
            base_stale: true,
            nonce: 0,
            base: None,
            observer: Observer::default(),
            lease: None,
            pending_write: None,
            queue: Vec::new(),
            completions: Vec::new(),
            oldest_completion: None,
            ungranted: Vec::new(),
            generation_start: Instant::ORIGIN,
            next_call: Instant::ORIGIN,
        }
    }

    /// Returns whether this owner holds the partition at `now`.
    pub fn holds(&self, now: Instant) -> bool {
        self.lease.is_some_and(|lease| lease.is_valid(now))
    }

    /// Returns the name of the entry that wrote the object last, unless it released
    /// the lease, as of the last read or write.
    pub fn holder(&self) -> Option<&Arc<str>> {
        let record = &self.partition()?.lease;
        (!record.released).then_some(&record.holder.name)
    }

    /// Returns when to send the next [`Event::Tick`] if no other event comes first.
    pub fn wake_at(&self) -> Option<Instant> {
        let waiters = self
            .pending_write
            .iter()
            .flat_map(|pending| &pending.waiters);
        let deadlines = waiters
            .chain(&self.queue)
            .map(|waiter| waiter.request.deadline);
        let lease_end = self.lease.map(|lease| lease.deadline());
        let call = self.call_at().filter(|_| !self.call_outstanding);
        deadlines.chain(lease_end).chain(call).min()
    }

    /// Handles an event and returns the actions to carry out, in order.
    pub fn step(&mut self, event: Event, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        match event {
            Event::Tick => {}
            Event::Claim(request) => self.claim(request, now, &mut actions),
            Event::Complete {
                id,
                grant,
                completion,
            } => {
                let accepted = self.complete(grant, completion, now);
                actions.push(Action::Completed { id, accepted });
            }
            Event::Written(update) => self.write_done(update, now, &mut actions),
            Event::ReadDone(object) => self.read_done(object, now, &mut actions),
            Event::ReadFailed => {
                self.call_outstanding = false;
                self.mark_unavailable(now, &mut actions);
            }
            Event::SetWanted(wanted) => {
                self.wanted = wanted;
                self.next_call = now;
            }
        }
        self.start_call(now, &mut actions);
        actions
    }

    fn partition(&self) -> Option<&Arc<Partition>> {
        self.base.as_ref()?.1.as_ref()
    }

    fn expire(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.lease.is_some_and(|lease| !lease.is_valid(now)) {
            self.stop(now, actions);
        }
        let late = |waiter: &mut Waiter| now >= waiter.request.deadline;
        let queued: Vec<Waiter> = self.queue.extract_if(.., late).collect();
        self.refuse_all(queued, now, actions);
        if let Some(pending) = &mut self.pending_write {
            let waiting = pending.waiters.extract_if(.., late).collect();
            self.refuse_unsettled(waiting, now, actions);
        }
    }

    fn stop(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.lease.take().is_none() {
            return;
        }
        actions.push(Action::LeaseEnded);
        let queued = std::mem::take(&mut self.queue);
        self.refuse_all(queued, now, actions);
        if let Some(pending) = &mut self.pending_write {
            let waiting = std::mem::take(&mut pending.waiters);
            self.refuse_unsettled(waiting, now, actions);
        }
    }

    fn mark_unavailable(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.unavailable = true;
        self.next_call = now + self.settings.retry_interval;
        let queued = std::mem::take(&mut self.queue);
        self.refuse_all(queued, now, actions);
    }

    fn write_done(&mut self, update: Update, now: Instant, actions: &mut Vec<Action>) {
        self.call_outstanding = false;
        let Some(pending) = &mut self.pending_write else {
            return;
        };
        // A refusal or conflict of a repeated write does not settle the earlier
        // one, which may have taken effect or may still do so.
        let settled = !pending.outcome_unknown;
        match update {
            Update::Applied(version) => self.applied(version, now, actions),
            Update::Refused if settled => {
                self.refuse_write(now, actions);
                self.mark_unavailable(now, actions);
            }
            Update::Conflict if settled => {
                // Another owner wrote the object and may have granted the same keys.
                let dropped = self.pending_write.take();
                self.base_stale = true;
                self.stop(now, actions);
                let waiters = dropped.map(|pending| pending.waiters);
                self.refuse_all(waiters.unwrap_or_default(), now, actions);
            }
            Update::Refused => self.mark_unavailable(now, actions),
            // Whether these claims are stored is unknown; they are answered now rather
            // than kept waiting. Queued claims are refused.
            Update::Conflict | Update::Unknown => {
                pending.outcome_unknown = true;
                self.base_stale = true;
                self.unavailable = true;
                let waiting = std::mem::take(&mut pending.waiters);
                self.refuse_unsettled(waiting, now, actions);
                let queued = std::mem::take(&mut self.queue);
                self.refuse_all(queued, now, actions);
            }
        }
    }

    fn refuse_write(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if let Some(pending) = self.pending_write.take() {
            self.refuse_all(pending.waiters, now, actions);
        }
    }

    fn applied(&mut self, version: u64, now: Instant, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending_write.take() else {
            return;
        };
        let record = &pending.partition.lease;
        let lease = Lease::new(record.token, pending.sent, record.term());
        self.set_base(version, Some(pending.partition.clone()), now);
        if record.released || !lease.is_valid(now) {
            self.pending_write = Some(pending);
            self.discard_write(now, actions);
            return;
        }
        if self.lease.replace(lease).is_none() {
            actions.push(Action::LeaseAcquired);
        }
        for waiter in &pending.waiters {
            let grant = Grant {
                key: waiter.request.key,
                token: lease.token,
            };
            let reply = Reply::Granted(grant);
            let id = waiter.request.id;
            actions.push(Action::Reply { id, reply });
        }
        self.reply_to_queue(now, actions);
    }

    /// Refuses the requests of the pending write as unsettled and stops repeating it.
    fn discard_write(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if let Some(pending) = &mut self.pending_write {
            let waiting = std::mem::take(&mut pending.waiters);
            self.refuse_unsettled(waiting, now, actions);
        }
        self.pending_write = None;
    }

    fn set_base(&mut self, version: u64, partition: Option<Arc<Partition>>, now: Instant) {
        let changed = self.base.as_ref().map(|base| base.0) != Some(version);
        self.base_stale = false;
        self.unavailable = false;
        let Some(partition) = partition else {
            self.base = Some((version, None));
            return;
        };
        self.observer.observe(version, &partition.lease, 0, now);
        if partition.lease.holder != self.settings.holder {
            // A claim by another holder can carry the same token as a failed write of this
            // owner, so the tokens no longer identify the claims of this owner.
            self.ungranted.clear();
        }
        if changed {
            self.completions
                .retain(|completed| completed.is_open_in(&partition));
            self.ungranted.retain(|(key, token)| {
                partition
                    .claim(key)
                    .is_some_and(|claim| claim.token == *token)
            });
        }
        if self.completions.is_empty() {
            self.oldest_completion = None;
        }
        self.base = Some((version, Some(partition)));
    }

    fn read_done(
        &mut self,
        object: Option<(u64, Arc<Partition>)>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.call_outstanding = false;
        let (version, partition) = match object {
            Some((version, partition)) => (version, Some(partition)),
            None => (0, None),
        };
        let record = partition.as_ref().map(|partition| partition.lease.clone());
        if let Some(pending) = &self.pending_write {
            if record.is_some_and(|record| record.same_write(&pending.partition.lease)) {
                self.applied(version, now, actions);
                return;
            }
            // The write may still take effect. Repeating the same value gives the
            // same result whichever of the two arrives first.
            let repeats = self.holds(now) || pending.partition.lease.released;
            if version == pending.expected && repeats {
                self.set_base(version, partition, now);
                return;
            }
            let moved = version != pending.expected;
            self.discard_write(now, actions);
            self.set_base(version, partition, now);
            if moved {
                self.stop(now, actions);
            }
            return;
        }
        let holder = record.map(|record| record.holder);
        self.set_base(version, partition, now);
        if holder.as_ref() != Some(&self.settings.holder) {
            self.stop(now, actions);
        }
    }

    fn is_due(&self, now: Instant) -> bool {
        self.due_at().is_some_and(|due| now >= due)
    }

    /// Returns when the held partition needs its next write.
    fn due_at(&self) -> Option<Instant> {
        let renewal = self.lease?.renew_at();
        let claims = self
            .queue
            .first()
            .map(|w| w.since + self.settings.batch_window);
        let completions = self
            .oldest_completion
            .map(|at| at + self.settings.completion_interval);
        let reopen = self.unavailable.then_some(self.next_call);
        let all = [Some(renewal), claims, completions, reopen];
        all.into_iter().flatten().min()
    }

    fn call_at(&self) -> Option<Instant> {
        if self.pending_write.is_some() || self.base_stale {
            return Some(self.next_call);
        }
        match self.due_at() {
            Some(due) if self.wanted => Some(due.max(self.next_call)),
            Some(_) => Some(self.next_call),
            None => self.wanted.then_some(self.next_call),
        }
    }

    /// Starts the platform call that is due, if any.
    fn start_call(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.call_outstanding || now < self.next_call {
            return;
        }
        let Some((version, partition)) = self.base.clone().filter(|_| !self.base_stale) else {
            self.read(actions);
            return;
        };
        if self.pending_write.is_some() {
            self.write(actions);
            return;
        }
        if let Some(lease) = self.lease {
            if !self.wanted {
                self.stop(now, actions);
                self.start_write(version, partition, lease.token, true, now, actions);
            } else if self.is_due(now) {
                self.start_write(version, partition, lease.token, false, now, actions);
            }
            return;
        }
        if !self.wanted {
            return;
        }
        let record = partition.as_ref().map(|partition| &partition.lease);
        let token = record.map_or(0, |record| record.token) + 1;
        // A lease of this process itself need not expire first.
        let is_own = record.is_some_and(|record| record.holder == self.settings.holder);
        if version == 0 || is_own || self.observer.expired(version, now) {
            self.generation_start = now;
            self.start_write(version, partition, token, false, now, actions);
            return;
        }
        self.read(actions);
        self.next_call = now + self.settings.retry_interval;
    }

    fn start_write(
        &mut self,
        expected: u64,
        base: Option<Arc<Partition>>,
        token: u64,
        released: bool,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.nonce += 1;
        let record = Record {
            holder: self.settings.holder.clone(),
            token,
            nonce: self.nonce,
            term_ms: u64::try_from(self.settings.term.as_millis()).unwrap_or(u64::MAX),
            released,
            era: 0,
        };
        let mut partition = base.map_or_else(
            || Partition {
                lease: record.clone(),
                generation: 0,
                claims: Vec::new(),
            },
            Arc::unwrap_or_clone,
        );
        partition.generation += self.take_passed_generations(now);
        self.reply_to_queue(now, actions);
        let queue = std::mem::take(&mut self.queue);
        let Batch {
            partition,
            claimed,
            deferred,
            rejected,
        } = batch::build(partition, record, &self.settings, &self.completions, queue);
        for waiter in rejected {
            actions.push(self.refusal(&waiter.request, "the ledger partition is full", now));
        }
        self.queue = deferred;
        self.pending_write = Some(PendingWrite {
            expected,
            partition: Arc::new(partition),
            sent: now,
            waiters: claimed,
            outcome_unknown: false,
        });
        self.write(actions);
    }

    /// Returns the number of whole generations since `generation_start` and advances
    /// it by them, so that the remainder counts towards the next call.
    fn take_passed_generations(&mut self, now: Instant) -> u64 {
        let length = self.settings.generation.as_micros().max(1);
        let passed = now.since(self.generation_start).as_micros() / length;
        let passed = u32::try_from(passed).unwrap_or(u32::MAX);
        self.generation_start = self.generation_start + self.settings.generation * passed;
        u64::from(passed)
    }

    fn write(&mut self, actions: &mut Vec<Action>) {
        let Some(pending) = &self.pending_write else {
            return;
        };
        self.call_outstanding = true;
        actions.push(Action::Write {
            expected: pending.expected,
            partition: pending.partition.clone(),
        });
    }

    fn read(&mut self, actions: &mut Vec<Action>) {
        self.call_outstanding = true;
        actions.push(Action::Read);
    }
}
