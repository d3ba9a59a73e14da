use super::{Mistake, Object, Settings, State, TERM_TICKS};

/// A holder's own record of its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    /// Ticks until the deadline.
    pub remaining_ticks: u8,
    /// Fencing token.
    pub token: u8,
    /// Epoch of the acquisition; only for checking, not part of the protocol.
    pub epoch: u8,
}

/// A conditional update of the lease object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Write {
    /// Version the object must have.
    pub expected: u8,
    /// New value; the store assigns its version.
    pub object: Object,
    /// Whether the update acquires the lease.
    pub acquires: bool,
}

/// One competing process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Process {
    /// Lease that is valid by the process's own clock.
    pub lease: Option<Lease>,
    /// Object that was read or written last, and, if another process
    /// holds it, ticks since its version was first observed.
    pub observed: Option<(Object, u8)>,
    /// Update with unknown outcome, and ticks since it was sent.
    pub pending: Option<(Write, u8)>,
    /// Whether the response to the pending update was lost.
    pub response_lost: bool,
    /// Update in flight to the store.
    pub in_flight: Option<Write>,
    /// Response of the store, `None` if there is none to receive: the epoch if the
    /// update was applied, `Some(None)` on a conflict or an error.
    pub response: Option<Option<u8>>,
    /// Operation in flight to the resource: fencing token and epoch.
    pub operation: Option<(u8, u8)>,
}

impl Process {
    /// Returns whether the process may operate on the resource.
    pub fn may_operate(&self, settings: &Settings) -> bool {
        let ignores = settings.has(Mistake::DeadlineIgnored);
        self.lease
            .is_some_and(|lease| lease.remaining_ticks > 0 || ignores)
    }

    pub(super) fn tick(&mut self, settings: &Settings, index: usize) {
        if let Some(lease) = &mut self.lease {
            lease.remaining_ticks = lease.remaining_ticks.saturating_sub(1);
        }
        if !self.may_operate(settings) {
            self.lease = None;
        }
        if let Some((object, age)) = &mut self.observed
            && usize::from(object.holder) != index
        {
            *age = (*age + 1).min(TERM_TICKS + 1);
        }
        if let Some((_, age)) = &mut self.pending {
            *age = (*age + 1).min(TERM_TICKS);
        }
    }

    fn observe(&mut self, object: Object) {
        match &mut self.observed {
            Some((old, _)) if old.version == object.version => *old = object,
            observed => *observed = Some((object, 0)),
        }
    }

    fn clear_pending(&mut self) {
        self.pending = None;
        self.response_lost = false;
        self.response = None;
    }
}

pub(super) fn steps(settings: &Settings, state: &State, index: usize, next: &mut Vec<State>) {
    read(settings, state, index, next);
    send_update(settings, state, index, next);
    deliver_update(settings, state, index, next);
    receive_response(settings, state, index, next);
    lose_response(state, index, next);
    access_resource(settings, state, index, next);
}

fn read(settings: &Settings, state: &State, index: usize, next: &mut Vec<State>) {
    let process = &state.processes[index];
    let awaits_response = process.pending.is_some() && !process.response_lost;
    if !state.store_up || awaits_response {
        return;
    }
    let object = state.object;
    let mut new = *state;
    let new_process = &mut new.processes[index];
    new_process.observe(object);
    let Some((write, _)) = process.pending else {
        if object.holder != index as u8 {
            new_process.lease = None;
        }
        next.push(new);
        return;
    };
    let same_nonce = object.nonce == write.object.nonce || settings.has(Mistake::NonceIgnored);
    if object.version > 0 && object.holder == index as u8 && same_nonce {
        let epoch = state.epoch;
        confirm_update(settings, &mut new, index, epoch);
    } else if object.version == write.expected
        && new_process.may_operate(settings)
        && new_process.in_flight.is_none()
    {
        // Not applied yet: resend the same write.
        new_process.in_flight = Some(write);
        new_process.response_lost = false;
    } else if object.version == write.expected && !new_process.may_operate(settings) {
        new_process.clear_pending();
    } else if object.version != write.expected {
        new_process.clear_pending();
        new_process.lease = None;
    }
    next.push(new);
}

/// Sends an acquisition, a renewal or a release.
fn send_update(settings: &Settings, state: &State, index: usize, next: &mut Vec<State>) {
    let process = &state.processes[index];
    if process.pending.is_some() {
        return;
    }
    let Some((observed, age)) = process.observed else {
        return;
    };
    if let Some(lease) = process.lease.filter(|lease| lease.remaining_ticks > 0) {
        next.push(send(state, index, observed, lease.token, false, false));
        let mut new = send(state, index, observed, lease.token, true, false);
        if !settings.has(Mistake::ReleaseWithoutStop) {
            new.processes[index].lease = None;
        }
        next.push(new);
        return;
    }
    let wait = if settings.has(Mistake::WaitTooShort) {
        TERM_TICKS - 2
    } else {
        TERM_TICKS
    };
    let waited = age > wait || settings.has(Mistake::TakeoverWithoutWait);
    let own_object = observed.holder == index as u8;
    if observed.version == 0 || observed.released || own_object || waited {
        let token = if settings.has(Mistake::TokenKept) {
            1
        } else {
            observed.token + 1
        };
        next.push(send(state, index, observed, token, false, true));
    }
}

fn send(
    state: &State,
    index: usize,
    observed: Object,
    token: u8,
    released: bool,
    acquires: bool,
) -> State {
    let mut new = *state;
    let new_process = &mut new.processes[index];
    let object = Object {
        version: 0,
        holder: index as u8,
        token,
        // Distinguishes writes of this process that expect the same version.
        nonce: observed.nonce.max(observed.version)
            + 1
            + 8 * u8::from(released)
            + 16 * u8::from(acquires),
        released,
    };
    let write = Write {
        expected: observed.version,
        object,
        acquires,
    };
    new_process.pending = Some((write, 0));
    new_process.in_flight = Some(write);
    new_process.response = None;
    new
}

fn deliver_update(settings: &Settings, state: &State, index: usize, next: &mut Vec<State>) {
    let process = &state.processes[index];
    let Some(write) = process.in_flight else {
        return;
    };
    let mut new = *state;
    new.processes[index].in_flight = None;
    let version_matches =
        write.expected == state.object.version || settings.has(Mistake::UnconditionalUpdate);
    let applied = state.store_up && version_matches;
    if applied {
        new.object = Object {
            version: state.object.version + 1,
            ..write.object
        };
        new.epoch += u8::from(write.acquires);
    }
    let is_pending = process.pending.is_some_and(|(pending, _)| pending == write);
    if is_pending && !process.response_lost {
        new.processes[index].response = Some(applied.then_some(new.epoch));
    }
    next.push(new);
}

fn receive_response(settings: &Settings, state: &State, index: usize, next: &mut Vec<State>) {
    let Some(response) = state.processes[index].response else {
        return;
    };
    let mut new = *state;
    match response {
        Some(epoch) => confirm_update(settings, &mut new, index, epoch),
        None => {
            // A conflict or an error; the next read shows which.
            new.processes[index].clear_pending();
        }
    }
    next.push(new);
}

fn confirm_update(settings: &Settings, new: &mut State, index: usize, epoch: u8) {
    let new_process = &mut new.processes[index];
    let Some((write, age)) = new_process.pending else {
        return;
    };
    new_process.clear_pending();
    new_process.observe(Object {
        version: write.expected + 1,
        ..write.object
    });
    let remaining_ticks = if settings.has(Mistake::DeadlineFromResponse) {
        TERM_TICKS
    } else {
        TERM_TICKS.saturating_sub(age)
    };
    if write.object.released {
        return;
    }
    new_process.lease = (remaining_ticks > 0).then_some(Lease {
        remaining_ticks,
        token: write.object.token,
        epoch,
    });
}

/// Loses the response to the pending update, whose write may still be in flight.
fn lose_response(state: &State, index: usize, next: &mut Vec<State>) {
    let process = &state.processes[index];
    if process.pending.is_none() || process.response_lost || state.lost_responses == 0 {
        return;
    }
    let mut new = *state;
    new.lost_responses -= 1;
    new.processes[index].response_lost = true;
    new.processes[index].response = None;
    next.push(new);
}

fn access_resource(settings: &Settings, state: &State, index: usize, next: &mut Vec<State>) {
    let process = &state.processes[index];
    let mut new = *state;
    if let Some((token, epoch)) = process.operation {
        new.processes[index].operation = None;
        if token >= state.highest_token || settings.has(Mistake::TokenUnchecked) {
            new.highest_token = state.highest_token.max(token);
            new.stale_effect |= epoch < state.effect_epoch;
            new.effect_epoch = state.effect_epoch.max(epoch);
        }
        next.push(new);
        return;
    }
    if let Some(lease) = process.lease.filter(|_| process.may_operate(settings)) {
        new.processes[index].operation = Some((lease.token, lease.epoch));
        next.push(new);
    }
}
