use super::state::{MAX_TOKEN, Mistake, Phase, Progress, Setup, State, Write};
use super::{Answer, Claim};

/// Adds the fault-free steps of the owners and the store.
pub fn steps(setup: &Setup, state: &State, next: &mut Vec<State>) {
    for owner in 0..2 {
        acquire(setup, state, owner, next);
        answer_claims(setup, state, owner, next);
        store_takes(setup, state, owner, next);
        store_answers(setup, state, owner, next);
        read_back(setup, state, owner, next);
    }
    for attempt in 0..setup.attempts {
        report(setup, state, attempt, next);
    }
}

fn acquire(setup: &Setup, state: &State, owner: usize, next: &mut Vec<State>) {
    let held = state
        .store
        .holder
        .is_some_and(|holder| state.owners[usize::from(holder)].acting);
    if !state.store.up || held || state.store.token >= MAX_TOKEN {
        return;
    }
    let mut new = *state;
    new.store.holder = Some(owner as u8);
    new.store.token += 1;
    new.store.version += 1;
    if setup.has(Mistake::TakeoverForgetsClaims) {
        new.store.claims = [None; 2];
    }
    let mine = &mut new.owners[owner];
    mine.acting = true;
    mine.token = new.store.token;
    mine.version = new.store.version;
    mine.claims = new.store.claims;
    mine.pending = None;
    mine.unknown = false;
    mine.answer = None;
    next.push(new);
}

fn answer_claims(setup: &Setup, state: &State, owner: usize, next: &mut Vec<State>) {
    for attempt in 0..setup.attempts {
        if state.attempts[attempt].phase != Phase::Asked(owner as u8) {
            continue;
        }
        let mine = &state.owners[owner];
        let waits = mine
            .pending
            .is_some_and(|w| usize::from(w.claim.attempt) == attempt);
        if waits {
            continue;
        }
        if !mine.acting && !setup.has(Mistake::LapsedOwnerNotFenced) {
            let mut new = *state;
            new.tell_unknown(setup, attempt);
            next.push(new);
            continue;
        }
        if mine.pending.is_some() || mine.token >= MAX_TOKEN {
            continue;
        }
        let mut new = *state;
        let key = setup.key(attempt);
        match mine.claims[key] {
            Some(claim) => match claim.progress {
                Progress::Done(account) => {
                    new.attempts[attempt].phase = Phase::Answered(Answer::Done(account));
                }
                Progress::Claimed if mine.ungranted[key] != Some(claim.token) => {
                    new.attempts[attempt].phase =
                        Phase::Sealing(claim.token, claim.incarnation, false);
                }
                Progress::Claimed | Progress::NotRun => {
                    send(setup, &mut new, owner, attempt, mine.token + 1);
                }
            },
            None => send(setup, &mut new, owner, attempt, mine.token),
        }
        next.push(new);
    }
}

fn send(setup: &Setup, new: &mut State, owner: usize, attempt: usize, token: u8) {
    let write = Write {
        expected: new.owners[owner].version,
        key: setup.key(attempt) as u8,
        claim: Claim {
            token,
            incarnation: new.incarnation,
            attempt: attempt as u8,
            progress: Progress::Claimed,
        },
    };
    let mine = &mut new.owners[owner];
    mine.pending = Some(write);
    mine.net = Some(write);
    mine.answer = None;
    mine.unknown = false;
    if setup.has(Mistake::GrantBeforeKnown) {
        new.attempts[attempt].phase = Phase::Granted(token, new.incarnation);
    }
}

fn store_takes(setup: &Setup, state: &State, owner: usize, next: &mut Vec<State>) {
    let Some(write) = state.owners[owner].net else {
        return;
    };
    let mut new = *state;
    new.owners[owner].net = None;
    let fits = write.expected == state.store.version || setup.has(Mistake::LapsedOwnerNotFenced);
    let applied = state.store.up && fits;
    if applied {
        new.store.version += 1;
        new.store.token = new.store.token.max(write.claim.token);
        new.store.claims[usize::from(write.key)] = Some(write.claim);
    }
    let waits = state.owners[owner].pending == Some(write) && !state.owners[owner].unknown;
    if waits {
        new.owners[owner].answer = Some(applied);
    }
    next.push(new);
}

fn store_answers(setup: &Setup, state: &State, owner: usize, next: &mut Vec<State>) {
    let Some(applied) = state.owners[owner].answer else {
        return;
    };
    let mut new = *state;
    new.owners[owner].answer = None;
    settle(setup, &mut new, owner, applied);
    next.push(new);
}

/// Resolves the owner's pending update once it is known whether it was applied.
fn settle(setup: &Setup, new: &mut State, owner: usize, applied: bool) {
    let mine = &mut new.owners[owner];
    let Some(write) = mine.pending.take() else {
        return;
    };
    mine.unknown = false;
    let attempt = usize::from(write.claim.attempt);
    let key = usize::from(write.key);
    if applied {
        mine.version = write.expected + 1;
        mine.token = write.claim.token;
        mine.claims[key] = Some(write.claim);
    } else if new.store.version != write.expected {
        // A conflict ends this owner's lease.
        mine.acting &= setup.has(Mistake::LostUpdateTakenAsFailed);
    }
    let waits = new.attempts[attempt].phase == Phase::Asked(owner as u8);
    let acts = mine.acting || setup.has(Mistake::LapsedOwnerNotFenced);
    if applied && acts && waits {
        mine.ungranted[key] = None;
        new.attempts[attempt].phase = Phase::Granted(write.claim.token, write.claim.incarnation);
        return;
    }
    if !setup.has(Mistake::GrantBeforeKnown) {
        mine.ungranted[key] = Some(write.claim.token);
    }
    if waits && acts {
        new.tell_not_run(setup, attempt);
    } else if waits {
        new.tell_unknown(setup, attempt);
    }
}

fn read_back(setup: &Setup, state: &State, owner: usize, next: &mut Vec<State>) {
    let mine = &state.owners[owner];
    let Some(write) = mine.pending.filter(|_| mine.unknown) else {
        return;
    };
    let mut new = *state;
    if setup.has(Mistake::LostUpdateTakenAsFailed) {
        settle(setup, &mut new, owner, false);
        next.push(new);
        return;
    }
    if !state.store.up {
        return;
    }
    if state.store.version == write.expected {
        // Not applied yet: resend the same write.
        if mine.net.is_none() && mine.acting {
            new.owners[owner].net = Some(write);
            new.owners[owner].unknown = false;
            next.push(new);
        }
        return;
    }
    let own = state.store.version == write.expected + 1
        && state.store.claims[usize::from(write.key)] == Some(write.claim);
    settle(setup, &mut new, owner, own);
    next.push(new);
}

fn report(setup: &Setup, state: &State, attempt: usize, next: &mut Vec<State>) {
    let Some((token, progress)) = state.attempts[attempt].report else {
        return;
    };
    let key = setup.key(attempt);
    for owner in 0..2 {
        let mine = &state.owners[owner];
        let current = mine.version == state.store.version && mine.pending.is_none();
        if !mine.acting || !state.store.up || !current {
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
                new.tell_not_run(setup, attempt);
            }
        } else if reporting {
            new.tell_unknown(setup, attempt);
        }
        next.push(new);
    }
}

/// Adds platform faults and owner pauses.
pub fn faults(setup: &Setup, state: &State, next: &mut Vec<State>) {
    let mut new = *state;
    if state.store.up && state.outages > 0 {
        new.store.up = false;
        new.outages -= 1;
        next.push(new);
    }
    for owner in 0..2 {
        lapse(setup, state, owner, next);
        lose(setup, state, owner, next);
    }
}

fn lapse(setup: &Setup, state: &State, owner: usize, next: &mut Vec<State>) {
    if !state.owners[owner].acting || state.lapses == 0 {
        return;
    }
    let mut new = *state;
    new.lapses -= 1;
    new.owners[owner].acting = false;
    next.push(new);
    // In the other successor the owner detects the expiry at once and rejects the
    // claim whose update is pending.
    let Some(write) = new.owners[owner].pending.take() else {
        return;
    };
    let attempt = usize::from(write.claim.attempt);
    new.owners[owner].answer = None;
    new.owners[owner].unknown = false;
    if new.attempts[attempt].phase == Phase::Asked(owner as u8) {
        new.owners[owner].ungranted[usize::from(write.key)] = Some(write.claim.token);
        new.tell_unknown(setup, attempt);
    }
    next.push(new);
}

/// Loses the response to the pending update, whose write may still be in flight.
fn lose(setup: &Setup, state: &State, owner: usize, next: &mut Vec<State>) {
    let mine = &state.owners[owner];
    if mine.pending.is_none() || mine.unknown || state.lost == 0 {
        return;
    }
    let mut new = *state;
    new.lost -= 1;
    new.owners[owner].unknown = true;
    new.owners[owner].answer = None;
    let (Some(write), true) = (mine.pending, mine.acting) else {
        next.push(new);
        return;
    };
    // The claim is rejected at once; the update may still store it, ungranted.
    let attempt = usize::from(write.claim.attempt);
    if new.attempts[attempt].phase == Phase::Asked(owner as u8) {
        new.owners[owner].ungranted[usize::from(write.key)] = Some(write.claim.token);
        new.tell_not_run(setup, attempt);
    }
    next.push(new);
}
