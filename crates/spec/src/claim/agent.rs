use super::Answer;
use super::state::{Mistake, Phase, Progress, Record, Setup, State};

/// Adds the fault-free steps of callers, entries and the agent.
pub fn steps(setup: &Setup, state: &State, next: &mut Vec<State>) {
    for attempt in 0..setup.attempts {
        send(setup, state, attempt, next);
        dispatch(setup, state, attempt, next);
        deliver_dispatch(setup, state, attempt, next);
        deliver_result(setup, state, attempt, next);
        seal(setup, state, attempt, next);
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

fn send(setup: &Setup, state: &State, attempt: usize, next: &mut Vec<State>) {
    let mut new = *state;
    match state.attempts[attempt].phase {
        Phase::Unsent => {
            if attempt > 0 && state.attempts[attempt - 1].phase == Phase::Unsent {
                return;
            }
            new.attempts[attempt].phase = Phase::Idle;
            if setup.has(Mistake::ClaimAfterDispatch) {
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

fn dispatch(setup: &Setup, state: &State, attempt: usize, next: &mut Vec<State>) {
    let Phase::Granted(token, incarnation) = state.attempts[attempt].phase else {
        return;
    };
    let mut new = *state;
    new.attempts[attempt].phase = Phase::Dispatched(token, incarnation);
    new.attempts[attempt].in_flight = Some((token, incarnation));
    if setup.has(Mistake::ClaimAfterDispatch) {
        new.attempts[attempt].in_flight = Some((token, state.incarnation));
    }
    next.push(new);
}

fn deliver_dispatch(setup: &Setup, state: &State, attempt: usize, next: &mut Vec<State>) {
    let Some((token, incarnation)) = state.attempts[attempt].in_flight else {
        return;
    };
    let key = setup.key(attempt);
    let record = &state.records[key];
    let mut new = *state;
    new.attempts[attempt].in_flight = None;
    let fenced = token <= record.token && !setup.has(Mistake::ExpiredOwnerNotFenced);
    if incarnation == state.incarnation && !fenced {
        new.attempts[attempt].runs += 1;
        new.records[key] = Record {
            token: token.max(record.token),
            run: Some((setup.account(attempt), false)),
        };
    } else if let Phase::Dispatched(token, _) = state.attempts[attempt].phase {
        new.attempts[attempt].phase = Phase::Reporting;
        new.attempts[attempt].report = Some((token, Progress::NotRun));
    }
    next.push(new);
}

/// Delivers the response of a finished run to the entry that dispatched it.
fn deliver_result(setup: &Setup, state: &State, attempt: usize, next: &mut Vec<State>) {
    let Phase::Dispatched(token, incarnation) = state.attempts[attempt].phase else {
        return;
    };
    let Some((account, true)) = state.records[setup.key(attempt)].run else {
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

fn seal(setup: &Setup, state: &State, attempt: usize, next: &mut Vec<State>) {
    let Phase::Sealing(token, incarnation, own_dispatch) = state.attempts[attempt].phase else {
        return;
    };
    let key = setup.key(attempt);
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
            if !setup.has(Mistake::SealIgnored) {
                new.records[key].token = state.records[key].token.max(token);
            }
        }
    }
    next.push(new);
}

/// Adds broken connections, passed deadlines and the replacement of the agent.
pub fn faults(setup: &Setup, state: &State, next: &mut Vec<State>) {
    for attempt in 0..setup.attempts {
        break_connection(setup, state, attempt, next);
        expire_deadline(setup, state, attempt, next);
    }
    if state.incarnation < setup.replacements {
        let mut new = *state;
        new.incarnation += 1;
        new.records = [Record::default(); 2];
        next.push(new);
    }
}

fn break_connection(setup: &Setup, state: &State, attempt: usize, next: &mut Vec<State>) {
    let Phase::Dispatched(token, incarnation) = state.attempts[attempt].phase else {
        return;
    };
    let mut new = *state;
    new.attempts[attempt].phase = Phase::Sealing(token, incarnation, true);
    if setup.has(Mistake::RetryAfterBrokenConnection) {
        new.attempts[attempt].phase = Phase::Granted(token, state.incarnation);
    }
    next.push(new);
}

/// Ends an attempt whose caller's deadline passes at the entry or the owner.
fn expire_deadline(setup: &Setup, state: &State, attempt: usize, next: &mut Vec<State>) {
    let mut new = *state;
    if setup.has(Mistake::RetryAfterBrokenConnection) && state.attempts[attempt].runs > 0 {
        return;
    }
    match state.attempts[attempt].phase {
        Phase::Granted(token, _) => {
            new.attempts[attempt].report = Some((token, Progress::NotRun));
            new.attempts[attempt].phase = Phase::Reporting;
        }
        Phase::Idle | Phase::Sealed | Phase::ClaimRequested(_) | Phase::Reporting => {
            new.answer_unknown(setup, attempt);
        }
        _ => return,
    }
    next.push(new);
}
