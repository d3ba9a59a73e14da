use super::state::{MAX_TOKEN, Mistake, Phase, Progress, Settings, State, Write};
use super::{Answer, Claim};

/// Adds the fault-free steps of the owners and the store.
pub fn steps(settings: &Settings, state: &State, next: &mut Vec<State>) {
    for owner in 0..2 {
        acquire_lease(settings, state, owner, next);
        answer_claims(settings, state, owner, next);
        deliver_update(settings, state, owner, next);
        receive_response(settings, state, owner, next);
        read_back(settings, state, owner, next);
    }
    for attempt in 0..settings.attempts {
        record_result(settings, state, attempt, next);
    }
}

fn acquire_lease(settings: &Settings, state: &State, owner: usize, next: &mut Vec<State>) {
    let held = state
        .store
        .holder
        .is_some_and(|holder| state.owners[usize::from(holder)].holds_lease);
    if !state.store.available || held || state.store.token >= MAX_TOKEN {
        return;
    }
    let mut new = *state;
    new.store.holder = Some(owner as u8);
    new.store.token += 1;
    new.store.version += 1;
    if settings.has(Mistake::TakeoverDiscardsClaims) {
        new.store.claims = [None; 2];
    }
    let owner_state = &mut new.owners[owner];
    owner_state.holds_lease = true;
    owner_state.token = new.store.token;
    owner_state.version = new.store.version;
    owner_state.claims = new.store.claims;
    owner_state.pending = None;
    owner_state.response_lost = false;
    owner_state.response = None;
    next.push(new);
}

fn answer_claims(settings: &Settings, state: &State, owner: usize, next: &mut Vec<State>) {
    for attempt in 0..settings.attempts {
        if state.attempts[attempt].phase != Phase::ClaimRequested(owner as u8) {
            continue;
        }
        let owner_state = &state.owners[owner];
        let update_pending = owner_state
            .pending
            .is_some_and(|write| usize::from(write.claim.attempt) == attempt);
        if update_pending {
            continue;
        }
        if !owner_state.holds_lease && !settings.has(Mistake::ExpiredOwnerNotFenced) {
            let mut new = *state;
            new.answer_unknown(settings, attempt);
            next.push(new);
            continue;
        }
        if owner_state.pending.is_some() || owner_state.token >= MAX_TOKEN {
            continue;
        }
        let mut new = *state;
        let key = settings.key(attempt);
        match owner_state.claims[key] {
            Some(claim) => match claim.progress {
                Progress::Done(account) => {
                    new.attempts[attempt].phase = Phase::Answered(Answer::Done(account));
                }
                Progress::Claimed if owner_state.ungranted[key] != Some(claim.token) => {
                    new.attempts[attempt].phase =
                        Phase::Sealing(claim.token, claim.incarnation, false);
                }
                Progress::Claimed | Progress::NotRun => {
                    send(settings, &mut new, owner, attempt, owner_state.token + 1);
                }
            },
            None => send(settings, &mut new, owner, attempt, owner_state.token),
        }
        next.push(new);
    }
}

fn send(settings: &Settings, new: &mut State, owner: usize, attempt: usize, token: u8) {
    let write = Write {
        expected: new.owners[owner].version,
        key: settings.key(attempt) as u8,
        claim: Claim {
            token,
            incarnation: new.incarnation,
            attempt: attempt as u8,
            progress: Progress::Claimed,
        },
    };
    let owner_state = &mut new.owners[owner];
    owner_state.pending = Some(write);
    owner_state.in_flight = Some(write);
    owner_state.response = None;
    owner_state.response_lost = false;
    if settings.has(Mistake::GrantBeforeApplied) {
        new.attempts[attempt].phase = Phase::Granted(token, new.incarnation);
    }
}

fn deliver_update(settings: &Settings, state: &State, owner: usize, next: &mut Vec<State>) {
    let Some(write) = state.owners[owner].in_flight else {
        return;
    };
    let mut new = *state;
    new.owners[owner].in_flight = None;
    let version_matches =
        write.expected == state.store.version || settings.has(Mistake::ExpiredOwnerNotFenced);
    let applied = state.store.available && version_matches;
    if applied {
        new.store.version += 1;
        new.store.token = new.store.token.max(write.claim.token);
        new.store.claims[usize::from(write.key)] = Some(write.claim);
    }
    let awaits_response =
        state.owners[owner].pending == Some(write) && !state.owners[owner].response_lost;
    if awaits_response {
        new.owners[owner].response = Some(applied);
    }
    next.push(new);
}

fn receive_response(settings: &Settings, state: &State, owner: usize, next: &mut Vec<State>) {
    let Some(applied) = state.owners[owner].response else {
        return;
    };
    let mut new = *state;
    new.owners[owner].response = None;
    resolve_update(settings, &mut new, owner, applied);
    next.push(new);
}

/// Resolves the owner's pending update once it is known whether it was applied.
fn resolve_update(settings: &Settings, new: &mut State, owner: usize, applied: bool) {
    let owner_state = &mut new.owners[owner];
    let Some(write) = owner_state.pending.take() else {
        return;
    };
    owner_state.response_lost = false;
    let attempt = usize::from(write.claim.attempt);
    let key = usize::from(write.key);
    if applied {
        owner_state.version = write.expected + 1;
        owner_state.token = write.claim.token;
        owner_state.claims[key] = Some(write.claim);
    } else if new.store.version != write.expected {
        // A conflict ends this owner's lease.
        owner_state.holds_lease &= settings.has(Mistake::LostResponseIsFailure);
    }
    let awaits_grant = new.attempts[attempt].phase == Phase::ClaimRequested(owner as u8);
    let may_grant = owner_state.holds_lease || settings.has(Mistake::ExpiredOwnerNotFenced);
    if applied && may_grant && awaits_grant {
        owner_state.ungranted[key] = None;
        new.attempts[attempt].phase = Phase::Granted(write.claim.token, write.claim.incarnation);
        return;
    }
    if !settings.has(Mistake::GrantBeforeApplied) {
        owner_state.ungranted[key] = Some(write.claim.token);
    }
    if awaits_grant && may_grant {
        new.answer_not_run(settings, attempt);
    } else if awaits_grant {
        new.answer_unknown(settings, attempt);
    }
}

fn read_back(settings: &Settings, state: &State, owner: usize, next: &mut Vec<State>) {
    let owner_state = &state.owners[owner];
    let Some(write) = owner_state.pending.filter(|_| owner_state.response_lost) else {
        return;
    };
    let mut new = *state;
    if settings.has(Mistake::LostResponseIsFailure) {
        resolve_update(settings, &mut new, owner, false);
        next.push(new);
        return;
    }
    if !state.store.available {
        return;
    }
    if state.store.version == write.expected {
        // Not applied yet: resend the same write.
        if owner_state.in_flight.is_none() && owner_state.holds_lease {
            new.owners[owner].in_flight = Some(write);
            new.owners[owner].response_lost = false;
            next.push(new);
        }
        return;
    }
    let applied = state.store.version == write.expected + 1
        && state.store.claims[usize::from(write.key)] == Some(write.claim);
    resolve_update(settings, &mut new, owner, applied);
    next.push(new);
}

fn record_result(settings: &Settings, state: &State, attempt: usize, next: &mut Vec<State>) {
    let Some((token, progress)) = state.attempts[attempt].report else {
        return;
    };
    let key = settings.key(attempt);
    for owner in 0..2 {
        let owner_state = &state.owners[owner];
        let current = owner_state.version == state.store.version && owner_state.pending.is_none();
        if !owner_state.holds_lease || !state.store.available || !current {
            continue;
        }
        let mut new = *state;
        new.attempts[attempt].report = None;
        if new.attempts[attempt].phase == Phase::Sealed {
            new.attempts[attempt].phase = Phase::Idle;
        }
        let reporting = new.attempts[attempt].phase == Phase::Reporting;
        let open = |claim: &&mut Claim| claim.token == token && claim.progress == Progress::Claimed;
        if let Some(claim) = new.store.claims[key].as_mut().filter(open) {
            claim.progress = progress;
            new.store.version += 1;
            new.owners[owner].version += 1;
            new.owners[owner].claims = new.store.claims;
            if reporting {
                new.answer_not_run(settings, attempt);
            }
        } else if reporting {
            new.answer_unknown(settings, attempt);
        }
        next.push(new);
    }
}

/// Adds outages, lease expiries and lost responses.
pub fn faults(settings: &Settings, state: &State, next: &mut Vec<State>) {
    let mut new = *state;
    if state.store.available && state.outages > 0 {
        new.store.available = false;
        new.outages -= 1;
        next.push(new);
    }
    for owner in 0..2 {
        expire_lease(settings, state, owner, next);
        lose_response(settings, state, owner, next);
    }
}

fn expire_lease(settings: &Settings, state: &State, owner: usize, next: &mut Vec<State>) {
    if !state.owners[owner].holds_lease || state.lease_expiries == 0 {
        return;
    }
    let mut new = *state;
    new.lease_expiries -= 1;
    new.owners[owner].holds_lease = false;
    next.push(new);
    // In the second successor the owner also gives up its pending update and
    // rejects that claim.
    let Some(write) = new.owners[owner].pending.take() else {
        return;
    };
    let attempt = usize::from(write.claim.attempt);
    new.owners[owner].response = None;
    new.owners[owner].response_lost = false;
    if new.attempts[attempt].phase == Phase::ClaimRequested(owner as u8) {
        new.owners[owner].ungranted[usize::from(write.key)] = Some(write.claim.token);
        new.answer_unknown(settings, attempt);
    }
    next.push(new);
}

/// Loses the response to the pending update, whose write may still be in flight.
fn lose_response(settings: &Settings, state: &State, owner: usize, next: &mut Vec<State>) {
    let owner_state = &state.owners[owner];
    if owner_state.pending.is_none() || owner_state.response_lost || state.lost_responses == 0 {
        return;
    }
    let mut new = *state;
    new.lost_responses -= 1;
    new.owners[owner].response_lost = true;
    new.owners[owner].response = None;
    let (Some(write), true) = (owner_state.pending, owner_state.holds_lease) else {
        next.push(new);
        return;
    };
    // The claim is rejected at once; the update may still store it, ungranted.
    let attempt = usize::from(write.claim.attempt);
    if new.attempts[attempt].phase == Phase::ClaimRequested(owner as u8) {
        new.owners[owner].ungranted[usize::from(write.key)] = Some(write.claim.token);
        new.answer_not_run(settings, attempt);
    }
    next.push(new);
}
