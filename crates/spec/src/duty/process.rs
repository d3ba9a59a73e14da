use super::{CALL_TICKS, Mistake, Object, REST_TICKS, Settings, State, TERM_TICKS};

/// A conditional update of the lease object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Write {
    /// Version that the object must have.
    pub expected: u8,
    /// New value; the store assigns its version.
    pub object: Object,
}

/// An update whose outcome the process does not know yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Pending {
    write: Write,
    /// Ticks since it was sent.
    age: u8,
    is_lost: bool,
}

/// One competing process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Process {
    /// Era that it knows.
    era: Option<u8>,
    /// Ticks for which it may act, and the number of the acquisition.
    lease: Option<(u8, u8)>,
    /// Object that was read last, and ticks since its version was first read.
    observed: Option<(Object, u8)>,
    /// Ticks for which it does not compete.
    rest: u8,
    pending: Option<Pending>,
    /// Update on the way to the store. It may arrive after a restart.
    in_flight: Option<Write>,
    /// Answer on the way back: whether the update was applied, and the era.
    answer: Option<(bool, u8)>,
    /// Token and ticks of a call that is in transit.
    call: Option<(u8, u8)>,
    /// Token of a call that was checked and is not written yet.
    checked: Option<u8>,
}

impl Process {
    pub(super) fn started(settings: &Settings) -> Self {
        Process {
            rest: match settings.has(Mistake::NoRestAfterStart) {
                true => 0,
                false => REST_TICKS,
            },
            ..Process::default()
        }
    }

    pub(super) fn tick(&mut self, settings: &Settings) {
        self.rest = self.rest.saturating_sub(1);
        if let Some((left, _)) = &mut self.lease {
            *left -= 1;
        }
        if self.lease.is_some_and(|(left, _)| left == 0) {
            self.stop(settings);
        }
        if let Some((_, age)) = &mut self.observed {
            *age = (*age + 1).min(TERM_TICKS + 1);
        }
        if let Some(pending) = &mut self.pending {
            pending.age = (pending.age + 1).min(TERM_TICKS);
        }
        // Its connection is closed after the timeout.
        self.call = match self.call {
            Some((token, age)) if age < CALL_TICKS => Some((token, age + 1)),
            call if settings.has(Mistake::CallWithoutTimeout) => call,
            _ => None,
        };
    }

    fn stop(&mut self, settings: &Settings) {
        if self.lease.take().is_some() && !settings.has(Mistake::NoRestAfterLoss) {
            self.rest = REST_TICKS;
        }
    }

    /// Takes note of the era in an answer; returns whether the answer counts.
    fn see_era(&mut self, settings: &Settings, era: u8) -> bool {
        if self.era == Some(era) {
            return true;
        }
        let is_first = self.era.is_none();
        self.era = Some(era);
        if settings.has(Mistake::EraIgnored) && !is_first {
            return true;
        }
        self.stop(settings);
        self.observed = None;
        self.pending = None;
        self.answer = None;
        let forgets = match is_first {
            true => Mistake::NoRestInFirstEra,
            false => Mistake::NoRestInEra,
        };
        // A process that has started learns the era as the first thing.
        let starts = is_first && settings.has(Mistake::NoRestAfterStart);
        if !settings.has(forgets) && !starts {
            self.rest = REST_TICKS;
        }
        false
    }

    fn observe(&mut self, object: Object) {
        match &mut self.observed {
            Some((known, _)) if known.version == object.version => *known = object,
            observed => *observed = Some((object, 0)),
        }
    }

    fn token(&self, settings: &Settings, number: u8) -> u8 {
        match settings.has(Mistake::TokenWithoutEra) {
            true => number,
            false => 16 * self.era.unwrap_or(0) + number,
        }
    }

    fn confirm(&mut self, settings: &Settings) {
        let Some(Pending { write, age, .. }) = self.pending.take() else {
            return;
        };
        self.answer = None;
        self.observe(Object {
            version: write.expected + 1,
            ..write.object
        });
        let left = match settings.has(Mistake::DeadlineFromAnswer) {
            true => TERM_TICKS,
            false => TERM_TICKS - age,
        };
        if !write.object.released && left > 0 {
            self.lease = Some((left, write.object.number));
        }
    }
}

pub(super) fn steps(settings: &Settings, state: &State, index: usize, next: &mut Vec<State>) {
    let mut push = |new: Option<State>| next.extend(new);
    push(read(settings, state, index));
    push(acquire(state, index));
    push(renew(settings, state, index, false));
    push(renew(settings, state, index, true));
    push(deliver_update(state, index));
    push(receive_answer(settings, state, index));
    push(lose_answer(settings, state, index));
    push(write_call(settings, state, index));
    push(deliver_call(state, index));
    push(restart(settings, state, index));
}

fn read(settings: &Settings, state: &State, index: usize) -> Option<State> {
    let mut new = *state;
    let (era, object) = (state.era, state.object);
    let process = &mut new.processes[index];
    if process.pending.is_some_and(|pending| !pending.is_lost) {
        return None;
    }
    if !process.see_era(settings, era) {
        return Some(new);
    }
    process.observe(object);
    let Some(pending) = process.pending else {
        if object.holder != index as u8 {
            process.stop(settings);
        }
        return Some(new);
    };
    if object.version > 0 && object.nonce == pending.write.object.nonce {
        process.confirm(settings);
    } else if object.version == pending.write.expected && process.lease.is_some() {
        // Not applied yet: the same write is sent again.
        process.in_flight = Some(pending.write);
        process.pending = Some(Pending {
            is_lost: false,
            ..pending
        });
    } else {
        process.pending = None;
        if object.version != pending.write.expected {
            process.stop(settings);
        }
    }
    Some(new)
}

fn acquire(state: &State, index: usize) -> Option<State> {
    let process = &state.processes[index];
    let (object, age) = process.observed?;
    let is_own = object.holder == index as u8;
    let is_free = object.version == 0 || object.released || is_own || age > TERM_TICKS;
    if process.lease.is_some() || process.rest > 0 || !is_free {
        return None;
    }
    send(state, index, object, object.number + 1, false)
}

fn renew(settings: &Settings, state: &State, index: usize, releases: bool) -> Option<State> {
    let process = &state.processes[index];
    let (_, number) = process.lease?;
    let (object, _) = process.observed?;
    if !releases {
        return send(state, index, object, number, false);
    }
    let calls = process.call.is_some() && !settings.has(Mistake::ReleaseDuringCall);
    if state.releases == 0 || calls {
        return None;
    }
    let mut new = send(state, index, object, number, true)?;
    new.releases -= 1;
    new.processes[index].stop(settings);
    Some(new)
}

fn send(state: &State, index: usize, known: Object, number: u8, releases: bool) -> Option<State> {
    let process = &state.processes[index];
    // One update at a time is on its way, so that the state stays small.
    if process.pending.is_some() || process.in_flight.is_some() || state.writes == 0 {
        return None;
    }
    let mut new = *state;
    new.writes -= 1;
    let write = Write {
        expected: known.version,
        object: Object {
            version: 0,
            holder: index as u8,
            number,
            nonce: state.writes,
            released: releases,
        },
    };
    let process = &mut new.processes[index];
    process.pending = Some(Pending {
        write,
        age: 0,
        is_lost: false,
    });
    process.in_flight = Some(write);
    Some(new)
}

fn deliver_update(state: &State, index: usize) -> Option<State> {
    let mut new = *state;
    let write = new.processes[index].in_flight.take()?;
    let is_applied = write.expected == state.object.version;
    if is_applied {
        new.object = Object {
            version: state.object.version + 1,
            ..write.object
        };
    }
    let process = &mut new.processes[index];
    let pending = process.pending.filter(|pending| pending.write == write);
    if pending.is_some_and(|pending| !pending.is_lost) {
        process.answer = Some((is_applied, state.era));
    }
    Some(new)
}

fn receive_answer(settings: &Settings, state: &State, index: usize) -> Option<State> {
    let mut new = *state;
    let process = &mut new.processes[index];
    let (is_applied, era) = process.answer.take()?;
    if !process.see_era(settings, era) {
        return Some(new);
    }
    if is_applied {
        process.confirm(settings);
    } else {
        process.pending = None;
        process.observed = None;
        process.stop(settings);
    }
    Some(new)
}

/// Loses the answer to the update, which may still be on its way.
fn lose_answer(settings: &Settings, state: &State, index: usize) -> Option<State> {
    let mut new = *state;
    new.lost_answers = state.lost_answers.checked_sub(1)?;
    let process = &mut new.processes[index];
    let pending = process
        .pending
        .as_mut()
        .filter(|pending| !pending.is_lost)?;
    pending.is_lost = true;
    process.answer = None;
    if settings.has(Mistake::AnswerAssumed) {
        process.confirm(settings);
    }
    Some(new)
}

/// Checks the lease and writes a call, at one point in time: a freeze between both is
/// within the time that the interface does not judge.
fn write_call(settings: &Settings, state: &State, index: usize) -> Option<State> {
    let mut new = *state;
    let process = &mut new.processes[index];
    if process.call.is_some() {
        return None;
    }
    if let Some(token) = process.checked.take() {
        process.call = Some((token, 0));
        return Some(new);
    }
    let (left, number) = process.lease?;
    if left <= CALL_TICKS {
        return None;
    }
    let token = process.token(settings, number);
    match settings.has(Mistake::CheckBeforeFreeze) {
        true => process.checked = Some(token),
        false => process.call = Some((token, 0)),
    }
    Some(new)
}

fn deliver_call(state: &State, index: usize) -> Option<State> {
    let mut new = *state;
    let (token, _) = new.processes[index].call.take()?;
    new.monitor.receive(index as u8, token);
    Some(new)
}

/// Replaces the process by a new one at the same host.
fn restart(settings: &Settings, state: &State, index: usize) -> Option<State> {
    let mut new = *state;
    new.restarts = state.restarts.checked_sub(1)?;
    let Process {
        in_flight, call, ..
    } = state.processes[index];
    new.processes[index] = Process {
        in_flight,
        call,
        ..Process::started(settings)
    };
    Some(new)
}
