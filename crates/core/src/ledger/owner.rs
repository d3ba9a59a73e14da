mod answer;

use std::sync::Arc;

use super::batch::{self, Batch, Completed, Waiter};
use super::{Action, Digest, Event, Grant, Partition, Reply, Settings};
use crate::clock::Instant;
use crate::lease::{Lease, Observer, Record, Update};

#[derive(Clone, Debug)]
struct Attempt {
    expected: u64,
    partition: Arc<Partition>,
    sent: Instant,
    waiters: Vec<Waiter>,
    // An earlier write of the same value has no known outcome.
    unsettled: bool,
}

/// One entry's side of a ledger partition.
///
/// At most one platform call is outstanding. A process feeds events in,
/// carries the actions out in order, and sends [`Event::Tick`] at
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
/// let actions = owner.step(Event::Found(None), now);
/// assert!(matches!(actions[..], [Action::Write { expected: 0, .. }]));
/// owner.step(Event::Written(Update::Applied(1)), now);
/// assert!(owner.holds(now));
/// ```
#[derive(Clone, Debug)]
pub struct Owner {
    settings: Settings,
    wanted: bool,
    calling: bool,
    // The last platform call had no useful answer.
    closed: bool,
    stale: bool,
    nonce: u64,
    base: Option<(u64, Option<Arc<Partition>>)>,
    observer: Observer,
    tenure: Option<Lease>,
    attempt: Option<Attempt>,
    queue: Vec<Waiter>,
    completions: Vec<Completed>,
    completed_at: Option<Instant>,
    // Claims of this incarnation whose grant was never given out.
    ungranted: Vec<(Digest, u64)>,
    generation_start: Instant,
    next_call: Instant,
}

impl Owner {
    /// Makes an owner that wants its partition and does not hold it.
    pub fn new(settings: Settings) -> Self {
        Owner {
            settings,
            wanted: true,
            calling: false,
            closed: false,
            stale: true,
            nonce: 0,
            base: None,
            observer: Observer::default(),
            tenure: None,
            attempt: None,
            queue: Vec::new(),
            completions: Vec::new(),
            completed_at: None,
            ungranted: Vec::new(),
            generation_start: Instant::ORIGIN,
            next_call: Instant::ORIGIN,
        }
    }

    /// Whether the partition is held at `now`.
    pub fn holds(&self, now: Instant) -> bool {
        self.tenure.is_some_and(|tenure| tenure.is_valid(now))
    }

    /// Name of the entry that wrote the object last, as far as is known.
    pub fn holder(&self) -> Option<&Arc<str>> {
        let lease = &self.partition()?.lease;
        (!lease.released).then_some(&lease.holder.name)
    }

    /// When to send the next [`Event::Tick`], if no other event comes first.
    pub fn wake_at(&self) -> Option<Instant> {
        let waiters = self.attempt.iter().flat_map(|attempt| &attempt.waiters);
        let deadlines = waiters
            .chain(&self.queue)
            .map(|waiter| waiter.request.deadline);
        let lapse = self.tenure.map(|tenure| tenure.deadline());
        let call = self.call_at().filter(|_| !self.calling);
        deadlines.chain(lapse).chain(call).min()
    }

    /// Takes an event and returns what to do, in order.
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
            Event::Written(update) => self.written(update, now, &mut actions),
            Event::Found(found) => self.found(found, now, &mut actions),
            Event::ReadFailed => {
                self.calling = false;
                self.close(now, &mut actions);
            }
            Event::Want(wanted) => {
                self.wanted = wanted;
                self.next_call = now;
            }
        }
        self.call(now, &mut actions);
        actions
    }

    fn partition(&self) -> Option<&Arc<Partition>> {
        self.base.as_ref()?.1.as_ref()
    }

    fn expire(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.tenure.is_some_and(|tenure| !tenure.is_valid(now)) {
            self.stop(now, actions);
        }
        let late = |waiter: &mut Waiter| now >= waiter.request.deadline;
        let queued: Vec<Waiter> = self.queue.extract_if(.., late).collect();
        self.refuse(queued, now, actions);
        if let Some(attempt) = &mut self.attempt {
            let waiting = attempt.waiters.extract_if(.., late).collect();
            self.abandon(waiting, now, actions);
        }
    }

    fn stop(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.tenure.take().is_none() {
            return;
        }
        actions.push(Action::Stopped);
        let queued = std::mem::take(&mut self.queue);
        self.refuse(queued, now, actions);
        if let Some(attempt) = &mut self.attempt {
            let waiting = std::mem::take(&mut attempt.waiters);
            self.abandon(waiting, now, actions);
        }
    }

    fn close(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.closed = true;
        self.next_call = now + self.settings.pause;
        let queued = std::mem::take(&mut self.queue);
        self.refuse(queued, now, actions);
    }

    fn written(&mut self, update: Update, now: Instant, actions: &mut Vec<Action>) {
        self.calling = false;
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        // A refusal or conflict of a repeated write says nothing about the
        // earlier one, which may have taken effect or still do so.
        let settled = !attempt.unsettled;
        match update {
            Update::Applied(version) => self.applied(version, now, actions),
            Update::Refused if settled => {
                self.drop_attempt(now, actions);
                self.close(now, actions);
            }
            Update::Conflict if settled => {
                // Another owner wrote and may have granted the same keys.
                let dropped = self.attempt.take();
                self.stale = true;
                self.stop(now, actions);
                let waiters = dropped.map(|attempt| attempt.waiters);
                self.refuse(waiters.unwrap_or_default(), now, actions);
            }
            Update::Refused => self.close(now, actions),
            // Without an answer, waiting longer gives the claims no grant.
            Update::Conflict | Update::Unknown => {
                attempt.unsettled = true;
                self.stale = true;
                self.closed = true;
                let waiting = std::mem::take(&mut attempt.waiters);
                self.abandon(waiting, now, actions);
                let queued = std::mem::take(&mut self.queue);
                self.refuse(queued, now, actions);
            }
        }
    }

    fn drop_attempt(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if let Some(attempt) = self.attempt.take() {
            self.refuse(attempt.waiters, now, actions);
        }
    }

    fn applied(&mut self, version: u64, now: Instant, actions: &mut Vec<Action>) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        let lease = &attempt.partition.lease;
        let tenure = Lease::new(lease.token, attempt.sent, lease.term());
        self.set_base(version, Some(attempt.partition.clone()), now);
        if lease.released || !tenure.is_valid(now) {
            self.attempt = Some(attempt);
            self.lapse_attempt(now, actions);
            return;
        }
        if self.tenure.replace(tenure).is_none() {
            actions.push(Action::Started);
        }
        for waiter in &attempt.waiters {
            let grant = Grant {
                key: waiter.request.key,
                token: tenure.token,
            };
            let reply = Reply::Granted(grant);
            let id = waiter.request.id;
            actions.push(Action::Reply { id, reply });
        }
        self.answer_queue(now, actions);
    }

    fn lapse_attempt(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if let Some(attempt) = &mut self.attempt {
            let waiting = std::mem::take(&mut attempt.waiters);
            self.abandon(waiting, now, actions);
        }
        self.attempt = None;
    }

    fn set_base(&mut self, version: u64, partition: Option<Arc<Partition>>, now: Instant) {
        let changed = self.base.as_ref().map(|base| base.0) != Some(version);
        self.stale = false;
        self.closed = false;
        let Some(partition) = partition else {
            self.base = Some((version, None));
            return;
        };
        self.observer.observe(version, &partition.lease, now);
        if partition.lease.holder != self.settings.holder {
            // Its claims can have the token of an own update that failed.
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
            self.completed_at = None;
        }
        self.base = Some((version, Some(partition)));
    }

    fn found(
        &mut self,
        found: Option<(u64, Arc<Partition>)>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.calling = false;
        let (version, partition) = match found {
            Some((version, partition)) => (version, Some(partition)),
            None => (0, None),
        };
        let lease = partition.as_ref().map(|partition| partition.lease.clone());
        if let Some(attempt) = &self.attempt {
            if lease.is_some_and(|lease| lease.same_write(&attempt.partition.lease)) {
                self.applied(version, now, actions);
                return;
            }
            // The write may still take effect. Repeating the same value makes
            // the outcome the same whichever of the two arrives first.
            let repeats = self.holds(now) || attempt.partition.lease.released;
            if version == attempt.expected && repeats {
                self.set_base(version, partition, now);
                return;
            }
            let moved = version != attempt.expected;
            self.lapse_attempt(now, actions);
            self.set_base(version, partition, now);
            if moved {
                self.stop(now, actions);
            }
            return;
        }
        let holder = lease.map(|lease| lease.holder);
        self.set_base(version, partition, now);
        if holder.as_ref() != Some(&self.settings.holder) {
            self.stop(now, actions);
        }
    }

    fn is_due(&self, now: Instant) -> bool {
        self.due_at().is_some_and(|due| now >= due)
    }

    /// When the held partition needs its next write.
    fn due_at(&self) -> Option<Instant> {
        let renewal = self.tenure?.renew_at();
        let claims = self.queue.first().map(|w| w.since + self.settings.window);
        let completions = self
            .completed_at
            .map(|at| at + self.settings.completion_interval);
        let reopen = self.closed.then_some(self.next_call);
        let all = [Some(renewal), claims, completions, reopen];
        all.into_iter().flatten().min()
    }

    fn call_at(&self) -> Option<Instant> {
        if self.attempt.is_some() || self.stale {
            return Some(self.next_call);
        }
        match self.due_at() {
            Some(due) if self.wanted => Some(due.max(self.next_call)),
            Some(_) => Some(self.next_call),
            None => self.wanted.then_some(self.next_call),
        }
    }

    fn call(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.calling || now < self.next_call {
            return;
        }
        let Some((version, partition)) = self.base.clone().filter(|_| !self.stale) else {
            self.read(actions);
            return;
        };
        if self.attempt.is_some() {
            self.write(actions);
            return;
        }
        if let Some(tenure) = self.tenure {
            if !self.wanted {
                self.stop(now, actions);
                self.begin(version, partition, tenure.token, true, now, actions);
            } else if self.is_due(now) {
                self.begin(version, partition, tenure.token, false, now, actions);
            }
            return;
        }
        if !self.wanted {
            return;
        }
        let lease = partition.as_ref().map(|partition| &partition.lease);
        let token = lease.map_or(0, |lease| lease.token) + 1;
        // The end of this very process's own lease needs no waiting.
        let own = lease.is_some_and(|lease| lease.holder == self.settings.holder);
        if version == 0 || own || self.observer.expired(version, now) {
            self.generation_start = now;
            self.begin(version, partition, token, false, now, actions);
            return;
        }
        self.read(actions);
        self.next_call = now + self.settings.pause;
    }

    fn begin(
        &mut self,
        expected: u64,
        base: Option<Arc<Partition>>,
        token: u64,
        released: bool,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.nonce += 1;
        let lease = Record {
            holder: self.settings.holder.clone(),
            token,
            nonce: self.nonce,
            term_ms: u64::try_from(self.settings.term.as_millis()).unwrap_or(u64::MAX),
            released,
        };
        let mut partition = base.map_or_else(
            || Partition {
                lease: lease.clone(),
                generation: 0,
                claims: Vec::new(),
            },
            Arc::unwrap_or_clone,
        );
        partition.generation += self.generations(now);
        self.answer_queue(now, actions);
        let queue = std::mem::take(&mut self.queue);
        let Batch {
            partition,
            claimed,
            left,
            full,
        } = batch::build(partition, lease, &self.settings, &self.completions, queue);
        for waiter in full {
            actions.push(self.refusal(&waiter.request, "the ledger partition is full", now));
        }
        self.queue = left;
        self.attempt = Some(Attempt {
            expected,
            partition: Arc::new(partition),
            sent: now,
            waiters: claimed,
            unsettled: false,
        });
        self.write(actions);
    }

    /// Whole generations that passed since the last call of this function.
    fn generations(&mut self, now: Instant) -> u64 {
        let length = self.settings.generation.as_micros().max(1);
        let passed = now.since(self.generation_start).as_micros() / length;
        let passed = u32::try_from(passed).unwrap_or(u32::MAX);
        self.generation_start = self.generation_start + self.settings.generation * passed;
        u64::from(passed)
    }

    fn write(&mut self, actions: &mut Vec<Action>) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        self.calling = true;
        actions.push(Action::Write {
            expected: attempt.expected,
            partition: attempt.partition.clone(),
        });
    }

    fn read(&mut self, actions: &mut Vec<Action>) {
        self.calling = true;
        actions.push(Action::Read);
    }
}
