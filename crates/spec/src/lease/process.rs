use super::{Mistake, Object, Setup, State, TERM};

/// A holder's own record of its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Tenure {
    /// Ticks until the deadline.
    pub left: u8,
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
    pub tenure: Option<Tenure>,
    /// Object that was read or written last, and ticks since its version was
    /// first observed.
    pub seen: Option<(Object, u8)>,
    /// Update with unknown outcome, and ticks since it was sent.
    pub pending: Option<(Write, u8)>,
    /// Whether the response to the pending update was lost.
    pub unknown: bool,
    /// Update in flight to the store.
    pub net: Option<Write>,
    /// Response of the store: the epoch if the update was applied, `None` on a
    /// conflict or an error.
    pub answer: Option<Option<u8>>,
    /// Operation in flight to the resource: fencing token and epoch.
    pub act: Option<(u8, u8)>,
}

impl Process {
    /// Returns whether the process may operate on the resource.
    pub fn acts(&self, setup: &Setup) -> bool {
        let ignores = setup.has(Mistake::DeadlineIgnored);
        self.tenure.is_some_and(|tenure| tenure.left > 0 || ignores)
    }

    pub(super) fn tick(&mut self, setup: &Setup, index: usize) {
        if let Some(tenure) = &mut self.tenure {
            tenure.left = tenure.left.saturating_sub(1);
        }
        if !self.acts(setup) {
            self.tenure = None;
        }
        if let Some((object, age)) = &mut self.seen
            && usize::from(object.holder) != index
        {
            *age = (*age + 1).min(TERM + 1);
        }
        if let Some((_, age)) = &mut self.pending {
            *age = (*age + 1).min(TERM);
        }
    }

    fn see(&mut self, object: Object) {
        match &mut self.seen {
            Some((old, _)) if old.version == object.version => *old = object,
            seen => *seen = Some((object, 0)),
        }
    }

    fn drop_pending(&mut self) {
        self.pending = None;
        self.unknown = false;
        self.answer = None;
    }
}

pub(super) fn steps(setup: &Setup, state: &State, index: usize, next: &mut Vec<State>) {
    read(setup, state, index, next);
    begin(setup, state, index, next);
    deliver(setup, state, index, next);
    receive(setup, state, index, next);
    lose(state, index, next);
    act(setup, state, index, next);
}

fn read(setup: &Setup, state: &State, index: usize, next: &mut Vec<State>) {
    let process = &state.processes[index];
    let waits = process.pending.is_some() && !process.unknown;
    if !state.up || waits {
        return;
    }
    let object = state.object;
    let mut new = *state;
    let mine = &mut new.processes[index];
    mine.see(object);
    let Some((write, _)) = process.pending else {
        if object.holder != index as u8 {
            mine.tenure = None;
        }
        next.push(new);
        return;
    };
    let same_nonce = object.nonce == write.object.nonce || setup.has(Mistake::NonceIgnored);
    if object.version > 0 && object.holder == index as u8 && same_nonce {
        let epoch = state.epoch;
        applied(setup, &mut new, index, epoch);
    } else if object.version == write.expected && mine.acts(setup) && mine.net.is_none() {
        // Not applied yet: resend the same write.
        mine.net = Some(write);
        mine.unknown = false;
    } else if object.version == write.expected && !mine.acts(setup) {
        mine.drop_pending();
    } else if object.version != write.expected {
        mine.drop_pending();
        mine.tenure = None;
    }
    next.push(new);
}

/// Sends an acquisition, a renewal or a release.
fn begin(setup: &Setup, state: &State, index: usize, next: &mut Vec<State>) {
    let process = &state.processes[index];
    if process.pending.is_some() {
        return;
    }
    let Some((seen, age)) = process.seen else {
        return;
    };
    if let Some(tenure) = process.tenure.filter(|tenure| tenure.left > 0) {
        next.push(send(state, index, seen, tenure.token, false, false));
        let mut new = send(state, index, seen, tenure.token, true, false);
        if !setup.has(Mistake::ReleaseWithoutStop) {
            new.processes[index].tenure = None;
        }
        next.push(new);
        return;
    }
    let wait = if setup.has(Mistake::WaitTooShort) {
        TERM - 2
    } else {
        TERM
    };
    let waited = age > wait || setup.has(Mistake::TakeoverWithoutWait);
    let own = seen.holder == index as u8;
    if seen.version == 0 || seen.released || own || waited {
        let token = if setup.has(Mistake::TokenKept) {
            1
        } else {
            seen.token + 1
        };
        next.push(send(state, index, seen, token, false, true));
    }
}

fn send(
    state: &State,
    index: usize,
    seen: Object,
    token: u8,
    released: bool,
    acquires: bool,
) -> State {
    let mut new = *state;
    let mine = &mut new.processes[index];
    let object = Object {
        version: 0,
        holder: index as u8,
        token,
        // Distinguishes writes of this process that expect the same version.
        nonce: seen.nonce.max(seen.version) + 1 + 8 * u8::from(released) + 16 * u8::from(acquires),
        released,
    };
    let write = Write {
        expected: seen.version,
        object,
        acquires,
    };
    mine.pending = Some((write, 0));
    mine.net = Some(write);
    mine.answer = None;
    new
}

fn deliver(setup: &Setup, state: &State, index: usize, next: &mut Vec<State>) {
    let process = &state.processes[index];
    let Some(write) = process.net else {
        return;
    };
    let mut new = *state;
    new.processes[index].net = None;
    let fits = write.expected == state.object.version || setup.has(Mistake::UnconditionalUpdate);
    let applied = state.up && fits;
    if applied {
        new.object = Object {
            version: state.object.version + 1,
            ..write.object
        };
        new.epoch += u8::from(write.acquires);
    }
    let waits = process.pending.is_some_and(|(pending, _)| pending == write);
    if waits && !process.unknown {
        new.processes[index].answer = Some(applied.then_some(new.epoch));
    }
    next.push(new);
}

fn receive(setup: &Setup, state: &State, index: usize, next: &mut Vec<State>) {
    let Some(answer) = state.processes[index].answer else {
        return;
    };
    let mut new = *state;
    match answer {
        Some(epoch) => applied(setup, &mut new, index, epoch),
        None => {
            // A conflict or an error; the next read shows which.
            new.processes[index].drop_pending();
        }
    }
    next.push(new);
}

fn applied(setup: &Setup, new: &mut State, index: usize, epoch: u8) {
    let mine = &mut new.processes[index];
    let Some((write, age)) = mine.pending else {
        return;
    };
    mine.drop_pending();
    mine.see(Object {
        version: write.expected + 1,
        ..write.object
    });
    let left = if setup.has(Mistake::DeadlineFromAnswer) {
        TERM
    } else {
        TERM.saturating_sub(age)
    };
    if write.object.released {
        return;
    }
    mine.tenure = (left > 0).then_some(Tenure {
        left,
        token: write.object.token,
        epoch,
    });
}

/// Loses the response to the pending update, whose write may still be in flight.
fn lose(state: &State, index: usize, next: &mut Vec<State>) {
    let process = &state.processes[index];
    if process.pending.is_none() || process.unknown || state.lost == 0 {
        return;
    }
    let mut new = *state;
    new.lost -= 1;
    new.processes[index].unknown = true;
    new.processes[index].answer = None;
    next.push(new);
}

fn act(setup: &Setup, state: &State, index: usize, next: &mut Vec<State>) {
    let process = &state.processes[index];
    let mut new = *state;
    if let Some((token, epoch)) = process.act {
        new.processes[index].act = None;
        if token >= state.fence || setup.has(Mistake::TokenUnchecked) {
            new.fence = state.fence.max(token);
            new.stale |= epoch < state.effect;
            new.effect = state.effect.max(epoch);
        }
        next.push(new);
        return;
    }
    if let Some(tenure) = process.tenure.filter(|_| process.acts(setup)) {
        new.processes[index].act = Some((tenure.token, tenure.epoch));
        next.push(new);
    }
}
