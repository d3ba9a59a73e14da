//! States and transitions.

use berylgw_core::expert::switch::{self, Switch};

use super::rank::{Action, Group, Map, Order, RANKS};

/// A seeded protocol bug that exploration must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mistake {
    /// Ranks are armed for a pass that is not held.
    ArmWithoutHold,
    /// The leader holds the group and arms ranks before all have prepared the map.
    HoldBeforePrepared,
    /// The leader releases the pass as soon as the first rank is armed.
    ReleaseBeforeArmed,
    /// A leader assigns a version that was already used to another map.
    ReuseVersion,
    /// A restarted leader decides on a map while a command from before the restart
    /// may still hold the group.
    AimAtOnce,
    /// Ranks execute commands of an earlier epoch.
    IgnoreEpoch,
    /// The leader decides on another map after it sent a hold.
    AimWhileHolding,
    /// A deputy takes every action that a leader would take.
    DeputyLeads,
}

/// Bounds of the exploration.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Number of maps that leaders decide on.
    pub maps: u8,
    /// Number of passes.
    pub passes: u8,
    /// Number of leader restarts.
    pub starts: u8,
    /// Number of times that the group is re-formed.
    pub forms: u8,
    /// Whether a deputy may act at any time, concurrently with the leader.
    pub deputy: bool,
    /// Seeded mistake.
    pub mistake: Option<Mistake>,
}

/// State of the whole system between two events.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub(super) group: Group,
    switch: Switch,
    /// Switch as the deputy knows it.
    deputy: Switch,
    /// Commands that were ever sent, sorted.
    sent: Vec<Order>,
    maps: u8,
    /// Map that the leader is switching to.
    aim: Option<Map>,
    starts: u8,
    forms: u8,
}

impl State {
    /// Returns the initial state.
    pub fn new(setup: &Setup) -> Self {
        State {
            group: Group::default(),
            switch: Switch::new(0, RANKS),
            deputy: Switch::new(0, RANKS),
            sent: Vec::new(),
            maps: 0,
            aim: None,
            starts: setup.starts,
            forms: setup.forms,
        }
    }

    /// Returns all states that one event leads to.
    pub fn successors(&self, setup: &Setup) -> Vec<State> {
        let mut next = Vec::new();
        let mut add = |apply: &dyn Fn(&mut State) -> bool| {
            let mut state = self.clone();
            if apply(&mut state) && state != *self {
                next.push(state);
            }
        };
        for rank in 0..RANKS {
            add(&|state| {
                state.switch.report(rank, state.group.report(rank));
                true
            });
            add(&|state| {
                state.deputy.report(rank, state.group.report(rank));
                setup.deputy
            });
        }
        for order in &self.sent {
            add(&|state| {
                let mut order = *order;
                if setup.mistake == Some(Mistake::IgnoreEpoch) {
                    order.epoch = state.group.epoch;
                }
                state.group.apply(order)
            });
        }
        add(&|state| state.group.pass < setup.passes && state.group.begin());
        add(&|state| state.decide(setup));
        add(&|state| state.lead(setup));
        add(&|state| state.lead_as_deputy(setup));
        add(&|state| state.start_leader());
        add(&|state| state.form_again());
        next
    }

    /// Lets the leader decide on the next map.
    fn decide(&mut self, setup: &Setup) -> bool {
        if self.maps >= setup.maps {
            return false;
        }
        let again = setup.mistake == Some(Mistake::ReuseVersion) && self.maps > 0;
        let version = if again { self.maps } else { self.maps + 1 };
        if setup.mistake == Some(Mistake::AimAtOnce) {
            self.switch.forget_start();
        }
        if !self.switch.aim(u64::from(version)) {
            return false;
        }
        self.maps += 1;
        self.aim = Some(Map {
            version,
            content: self.maps,
        });
        true
    }

    /// Sends the commands of the leader's next action.
    fn lead(&mut self, setup: &Setup) -> bool {
        self.give(self.next(setup), setup)
    }

    fn lead_as_deputy(&mut self, setup: &Setup) -> bool {
        let action = match setup.mistake {
            Some(Mistake::DeputyLeads) => self.deputy.next(),
            _ => self.deputy.next_of_deputy(),
        };
        setup.deputy && self.give(action, setup)
    }

    fn give(&mut self, action: switch::Action, setup: &Setup) -> bool {
        match action {
            switch::Action::Wait => return false,
            switch::Action::Prepare { .. } => {
                let Some(map) = self.aim else { return false };
                self.send_all(Action::Prepare(map));
            }
            switch::Action::Hold { pass } => {
                if setup.mistake != Some(Mistake::AimWhileHolding) {
                    self.switch.holding();
                }
                self.send(0, Action::Hold { pass: pass as u8 });
            }
            switch::Action::Arm(goal) => self.send_all(Action::Arm {
                version: goal.version as u8,
                pass: goal.pass as u8,
            }),
            switch::Action::Release { pass } => {
                self.send(0, Action::Release { pass: pass as u8 });
            }
        }
        true
    }

    fn next(&self, setup: &Setup) -> switch::Action {
        let action = self.switch.next();
        let Some(first) = self.switch.of(0) else {
            return action;
        };
        match (setup.mistake, action) {
            (Some(Mistake::ArmWithoutHold), switch::Action::Hold { pass }) => {
                let version = first.prepared.unwrap_or(0);
                switch::Action::Arm(switch::Armed { version, pass })
            }
            (Some(Mistake::HoldBeforePrepared), switch::Action::Prepare { version }) => {
                match (first.prepared, first.held) {
                    (Some(_), None) => switch::Action::Hold {
                        pass: first.pass + 1,
                    },
                    (Some(_), Some(pass)) => switch::Action::Arm(switch::Armed { version, pass }),
                    _ => action,
                }
            }
            (Some(Mistake::ReleaseBeforeArmed), switch::Action::Arm(goal))
                if first.armed == Some(goal) =>
            {
                switch::Action::Release { pass: goal.pass }
            }
            _ => action,
        }
    }

    /// Restarts the leader process without its state.
    fn start_leader(&mut self) -> bool {
        if self.starts == 0 {
            return false;
        }
        self.starts -= 1;
        self.lead_epoch();
        true
    }

    /// Restarts a rank, after which the group is re-formed.
    fn form_again(&mut self) -> bool {
        if self.forms == 0 {
            return false;
        }
        self.forms -= 1;
        self.group = self.group.formed_again();
        self.lead_epoch();
        true
    }

    fn lead_epoch(&mut self) {
        self.switch = Switch::new(u64::from(self.group.epoch), RANKS);
        self.aim = None;
        if self.deputy.epoch() != self.switch.epoch() {
            self.deputy = self.switch.clone();
        }
    }

    fn send_all(&mut self, action: Action) {
        for rank in 0..RANKS {
            self.send(rank, action);
        }
    }

    fn send(&mut self, rank: usize, action: Action) {
        let order = Order {
            epoch: self.group.epoch,
            rank: rank as u8,
            action,
        };
        if let Err(place) = self.sent.binary_search(&order) {
            self.sent.insert(place, order);
        }
    }
}
