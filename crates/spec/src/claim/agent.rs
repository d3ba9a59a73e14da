use super::Answer;
use super::state::{Mistake, Phase, Progress, Record, Settings, State};

/// Adds the fault-free steps of callers, entries and the agent.
pub fn steps(settings: &Settings, state: &State, next: &mut Vec<State>) {
    for attempt in 0..settings.attempts {
        send(settings, state, attempt, next);
        dispatch(settings, state, attempt, next);
        deliver_dispatch(settings, state, attempt, next);
        deliver_result(settings, state, attempt, next);
        seal(settings, state, attempt, next);
    }
    for key in 0..2 {
        let mut new = *state;
        if let Some((account, false)) = state.records[key].run {
            new.records[key].run = Some((account, true));
            next.push(new);
        }
    }
    if !state.store.available {
        let mut new = *state;
        new.store.available = true;
        next.push(new);
    }
}

fn send(settings: &Settings, state: &State, attempt: usize, next: &mut Vec<State>) {
    let mut new = *state;
    match state.attempts[attempt].phase {
        Phase::Unsent => {
            if attempt > 0 && state.attempts[attempt - 1].phase == Phase::Unsent {
                return;
            }
            new.attempts[attempt].phase = Phase::Idle;
            if settings.has(Mistake::ClaimAfterDispatch) {
                let grant = (state.store.token + 1, state.incarnation);
                new.attempts[attempt].phase = Phase::Granted(grant.0, grant.1);
            }
            next.push(new);
        }
        Phase::Idle => {
            for owner in 0..2 {
                let mut new = *state;
                if state.owners[owner].token > 0 {
                    new.attempts[attempt].phase = Phase::ClaimRequested(owner as u8);
                    next.push(new);
                }
            }
        }
        _ => {}
    }
}

fn dispatch(settings: &Settings, state: &State, attempt: usize, next: &mut Vec<State>) {
    let Phase::Granted(token, incarnation) = state.attempts[attempt].phase else {
        return;
    };
    let mut new = *state;
    new.attempts[attempt].phase = Phase::Dispatched(token, incarnation);
    new.attempts[attempt].in_flight = Some((token, incarnation));
    if settings.has(Mistake::ClaimAfterDispatch) {
        new.attempts[attempt].in_flight = Some((token, state.incarnation));
    }
    next.push(new);
}

fn deliver_dispatch(settings: &Settings, state: &State, attempt: usize, next: &mut Vec<State>) {
    let Some((token, incarnation)) = state.attempts[attempt].in_flight else {
        return;
    };
    let key = settings.key(attempt);
    let record = &state.records[key];
    let mut new = *state;
    new.attempts[attempt].in_flight = None;
    let fenced = token <= record.token && !settings.has(Mistake::ExpiredOwnerNotFenced);
    if incarnation == state.incarnation && !fenced {
        new.attempts[attempt].runs += 1;
        new.records[key] = Record {
            token: token.max(record.token),
            run: Some((settings.account(attempt), false)),
        };
    } else if let Phase::Dispatched(token, _) = state.attempts[attempt].phase {
        new.attempts[attempt].phase = Phase::Reporting;
        new.attempts[attempt].report = Some((token, Progress::NotRun));
    }
    next.push(new);
}

/// Delivers the response of a finished run to the entry that dispatched it.
fn deliver_result(settings: &Settings, state: &State, attempt: usize, next: &mut Vec<State>) {
    let Phase::Dispatched(token, incarnation) = state.attempts[attempt].phase else {
        return;
    };
    let Some((account, true)) = state.records[settings.key(attempt)].run else {
        return;
    };
    if incarnation != state.incarnation || state.attempts[attempt].runs == 0 {
        return;
    }
    let mut new = *state;
    new.attempts[attempt].phase = Phase::Answered(Answer::Done(account));
    new.attempts[attempt].report = Some((token, Progress::Done(account)));
    next.push(new);
}

fn seal(settings: &Settings, state: &State, attempt: usize, next: &mut Vec<State>) {
    let Phase::Sealing(token, incarnation, own_dispatch) = state.attempts[attempt].phase else {
        return;
    };
    let key = settings.key(attempt);
    let mut new = *state;
    let new_attempt = &mut new.attempts[attempt];
    if incarnation != state.incarnation {
        new_attempt.phase = Phase::Answered(Answer::Unknown);
        next.push(new);
        return;
    }
    match state.records[key].run {
        Some((account, true)) => {
            new_attempt.phase = Phase::Answered(Answer::Done(account));
            new_attempt.report = Some((token, Progress::Done(account)));
        }
        Some((_, false)) => new_attempt.phase = Phase::Answered(Answer::Unknown),
        None => {
            new_attempt.report = Some((token, Progress::NotRun));
            new_attempt.phase = if own_dispatch {
                Phase::Reporting
            } else {
                Phase::Sealed
            };
            if !settings.has(Mistake::SealIgnored) {
                new.records[key].token = state.records[key].token.max(token);
            }
        }
    }
    next.push(new);
}

/// Adds broken connections, passed deadlines and the replacement of the agent.
pub fn faults(settings: &Settings, state: &State, next: &mut Vec<State>) {
    for attempt in 0..settings.attempts {
        break_connection(settings, state, attempt, next);
        expire_deadline(settings, state, attempt, next);
    }
    if state.incarnation < settings.replacements {
        let mut new = *state;
        new.incarnation += 1;
        new.records = [Record::default(); 2];
        next.push(new);
    }
}

fn break_connection(settings: &Settings, state: &State, attempt: usize, next: &mut Vec<State>) {
    let Phase::Dispatched(token, incarnation) = state.attempts[attempt].phase else {
        return;
    };
    let mut new = *state;
    new.attempts[attempt].phase = Phase::Sealing(token, incarnation, true);
    if settings.has(Mistake::RetryAfterBrokenConnection) {
        new.attempts[attempt].phase = Phase::Granted(token, state.incarnation);
    }
    next.push(new);
}

/// Ends an attempt whose caller's deadline passes at the entry or the owner.
fn expire_deadline(settings: &Settings, state: &State, attempt: usize, next: &mut Vec<State>) {
    let mut new = *state;
    if settings.has(Mistake::RetryAfterBrokenConnection) && state.attempts[attempt].runs > 0 {
        return;
    }
    match state.attempts[attempt].phase {
        Phase::Granted(token, _) => {
            new.attempts[attempt].report = Some((token, Progress::NotRun));
            new.attempts[attempt].phase = Phase::Reporting;
        }
        Phase::Idle | Phase::Sealed | Phase::ClaimRequested(_) | Phase::Reporting => {
            new.answer_unknown(settings, attempt);
        }
        _ => return,
    }
    next.push(new);
}
