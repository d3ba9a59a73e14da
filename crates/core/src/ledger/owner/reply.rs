use std::time::Duration;

use super::super::batch::{Completed, Waiter};
use super::super::{Action, Claim, Completion, Digest, Grant, Reply, Request, State};
use super::Owner;
use crate::clock::Instant;
use crate::outcome::{Reason, Refusal};

impl Owner {
    /// Refuses requests whose claim is not in the object and will not be.
    pub(super) fn refuse_all(&self, waiters: Vec<Waiter>, now: Instant, actions: &mut Vec<Action>) {
        for waiter in waiters {
            let message = "the ledger partition is not available";
            actions.push(self.refusal(&waiter.request, message, now));
        }
    }

    /// Refuses requests whose claim is in the object or may still be written to it.
    ///
    /// No entry dispatches without a grant. The claim is recorded as ungranted so
    /// that a resend can still be granted.
    pub(super) fn refuse_unsettled(
        &mut self,
        waiters: Vec<Waiter>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = &self.pending_write else {
            return;
        };
        let token = pending.partition.lease.token;
        let keys = waiters.iter().map(|waiter| (waiter.request.key, token));
        self.ungranted.extend(keys);
        self.refuse_all(waiters, now, actions);
    }

    pub(super) fn refusal(&self, request: &Request, message: &'static str, now: Instant) -> Action {
        let pause = self.settings.retry_interval;
        let refusal = if self.knows_not_run(&request.key, now) {
            Refusal::not_run(Reason::LedgerUnavailable, pause)
        } else {
            Refusal::unknown(Reason::LedgerUnavailable, pause)
        };
        Action::Reply {
            id: request.id,
            reply: Reply::Refused(refusal.with_message(message)),
        }
    }

    /// Returns whether no issued grant of the key has run or can still run.
    ///
    /// Returns `false` without the lease, since another owner may have granted the
    /// key.
    fn knows_not_run(&self, key: &Digest, now: Instant) -> bool {
        if !self.holds(now) {
            return false;
        }
        let claim = self.partition().and_then(|partition| partition.claim(key));
        claim.is_none_or(|claim| {
            self.ungranted.contains(&(claim.key, claim.token))
                || *self.known_state(claim) == State::NotRun
        })
    }

    /// Returns the state of a claim, including a result that is not written yet.
    fn known_state<'a>(&'a self, claim: &'a Claim) -> &'a State {
        let known = self
            .completions
            .iter()
            .find(|done| done.key == claim.key && done.token == claim.token);
        known.map_or(&claim.state, |done| &done.state)
    }

    pub(super) fn claim(&mut self, request: Request, now: Instant, actions: &mut Vec<Action>) {
        let id = request.id;
        if !self.wanted || !self.holds(now) || now >= request.deadline {
            let waiter = Waiter {
                request,
                since: now,
            };
            self.refuse_all(vec![waiter], now, actions);
            return;
        }
        if let Some(reply) = self.resolve(&request, now) {
            actions.push(Action::Reply { id, reply });
            return;
        }
        let waiter = Waiter {
            request,
            since: now,
        };
        if self.unavailable {
            self.refuse_all(vec![waiter], now, actions);
            return;
        }
        self.queue.push(waiter);
    }

    /// Returns the reply to a request if no further write is needed.
    fn resolve(&self, request: &Request, now: Instant) -> Option<Reply> {
        if self.is_in_flight(&request.key) {
            return None;
        }
        let claim = self.partition()?.claim(&request.key)?;
        if claim.body != request.body {
            // The outcome concerns the key, which may have run with its first body.
            let refusal = if self.knows_not_run(&claim.key, now) {
                Refusal::not_run(Reason::KeyReused, Duration::ZERO)
            } else {
                Refusal::unknown(Reason::KeyReused, Duration::ZERO)
            };
            return Some(Reply::Refused(refusal));
        }
        match self.known_state(claim) {
            State::Done(answer) => Some(Reply::Done(answer.clone())),
            State::NotRun => None,
            State::Claimed if self.ungranted.contains(&(claim.key, claim.token)) => None,
            State::Claimed => {
                let grant = Grant {
                    key: claim.key,
                    token: claim.token,
                };
                Some(Reply::Pending(grant, claim.target.clone()))
            }
        }
    }

    fn is_in_flight(&self, key: &Digest) -> bool {
        let Some(pending) = &self.pending_write else {
            return false;
        };
        let token = pending.partition.lease.token;
        pending
            .waiters
            .iter()
            .any(|waiter| waiter.request.key == *key)
            || self.ungranted.contains(&(*key, token))
    }

    pub(super) fn complete(&mut self, grant: Grant, completion: Completion, now: Instant) -> bool {
        if !self.holds(now) {
            return false;
        }
        let completed = Completed {
            key: grant.key,
            token: grant.token,
            state: completion.into(),
        };
        let Some(partition) = self.partition() else {
            return false;
        };
        if !completed.is_open_in(partition) || self.is_in_flight(&grant.key) {
            return false;
        }
        let same = |other: &Completed| other.key == grant.key && other.token == grant.token;
        if self.completions.iter().any(same) {
            return true;
        }
        self.completions.push(completed);
        self.oldest_completion.get_or_insert(now);
        true
    }

    pub(super) fn reply_to_queue(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for waiter in std::mem::take(&mut self.queue) {
            let id = waiter.request.id;
            match self.resolve(&waiter.request, now) {
                Some(reply) => actions.push(Action::Reply { id, reply }),
                None => self.queue.push(waiter),
            }
        }
    }
}
