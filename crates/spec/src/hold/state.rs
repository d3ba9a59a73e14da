//! States and transitions of the expert map switch that holds an announced pass.
//!
//! A pass is one run that all ranks do together, each with one map. A hold keeps the
//! group from beginning a pass until its release. An armed rank uses another map
//! from a given pass on. A deputy sends only commands that the leader would
//! send, and never starts a switch.

use berylgw_core::expert::switch::{self, Switch};

use super::rank::{Action, Command, Group, Map, RANKS};

/// A protocol bug, added on purpose, that exploration must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mistake {
    /// Ranks are armed for a pass that is not held.
    ArmWithoutHold,
    /// The leader holds the group and arms ranks before all have prepared the map.
    HoldBeforePrepared,
    /// The leader releases the pass as soon as the first rank is armed.
    ReleaseBeforeArmed,
    /// A leader gives another map a version that is already in use.
    ReuseVersion,
    /// A restarted leader decides on a map while a command from before the restart
    /// may still hold the group.
    DecideWithoutWait,
    /// Ranks execute commands of an earlier epoch.
    IgnoreEpoch,
    /// The leader decides on another map after it sent a hold.
    DecideWhileHolding,
    /// A deputy takes every action that a leader would take.
    DeputyLeads,
}

/// Bounds of the exploration.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Number of maps that leaders decide on.
    pub maps: u8,
    /// Number of passes.
    pub passes: u8,
    /// Number of leader restarts.
    pub leader_restarts: u8,
    /// Number of times that the group is re-formed.
    pub reforms: u8,
    /// Whether a deputy may act at any time, concurrently with the leader.
    pub deputy: bool,
    /// Protocol bug added on purpose.
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
    sent: Vec<Command>,
    maps: u8,
    /// Map that the leader is switching to.
    target: Option<Map>,
    leader_restarts: u8,
    reforms: u8,
}

impl State {
    /// Returns the initial state.
    pub fn new(settings: &Settings) -> Self {
        State {
            group: Group::default(),
            switch: Switch::new(0, RANKS),
            deputy: Switch::new(0, RANKS),
            sent: Vec::new(),
            maps: 0,
            target: None,
            leader_restarts: settings.leader_restarts,
            reforms: settings.reforms,
        }
    }

    /// Returns all states that one event leads to.
    pub fn successors(&self, settings: &Settings) -> Vec<State> {
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
                settings.deputy
            });
        }
        for command in &self.sent {
            add(&|state| {
                let mut command = *command;
                if settings.mistake == Some(Mistake::IgnoreEpoch) {
                    command.epoch = state.group.epoch;
                }
                state.group.execute(command)
            });
        }
        add(&|state| state.group.pass < settings.passes && state.group.begin_pass());
        add(&|state| state.decide(settings));
        add(&|state| state.lead(settings));
        add(&|state| state.lead_as_deputy(settings));
        add(&|state| state.restart_leader());
        add(&|state| state.reform_group());
        next
    }

    /// Lets the leader decide on the next map.
    fn decide(&mut self, settings: &Settings) -> bool {
        if self.maps >= settings.maps {
            return false;
        }
        let reused = settings.mistake == Some(Mistake::ReuseVersion) && self.maps > 0;
        let version = if reused { self.maps } else { self.maps + 1 };
        if settings.mistake == Some(Mistake::DecideWithoutWait) {
            self.switch.skip_initial_wait();
        }
        if !self.switch.set_target(u64::from(version)) {
            return false;
        }
        self.maps += 1;
        self.target = Some(Map {
            version,
            content: self.maps,
        });
        true
    }

    /// Sends the commands of the leader's next action.
    fn lead(&mut self, settings: &Settings) -> bool {
        self.send_commands(self.next_action(settings), settings)
    }

    fn lead_as_deputy(&mut self, settings: &Settings) -> bool {
        let action = match settings.mistake {
            Some(Mistake::DeputyLeads) => self.deputy.next_action(),
            _ => self.deputy.next_action_of_deputy(),
        };
        settings.deputy && self.send_commands(action, settings)
    }

    fn send_commands(&mut self, action: switch::Action, settings: &Settings) -> bool {
        match action {
            switch::Action::Wait => return false,
            switch::Action::Prepare { .. } => {
                let Some(map) = self.target else { return false };
                self.send_all(Action::Prepare(map));
            }
            switch::Action::Hold { pass } => {
                if settings.mistake != Some(Mistake::DecideWhileHolding) {
                    self.switch.mark_hold_sent();
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

    fn next_action(&self, settings: &Settings) -> switch::Action {
        let action = self.switch.next_action();
        let Some(first) = self.switch.last_report(0) else {
            return action;
        };
        match (settings.mistake, action) {
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
    fn restart_leader(&mut self) -> bool {
        if self.leader_restarts == 0 {
            return false;
        }
        self.leader_restarts -= 1;
        self.reset_leader();
        true
    }

    /// Restarts a rank, after which the group is re-formed.
    fn reform_group(&mut self) -> bool {
        if self.reforms == 0 {
            return false;
        }
        self.reforms -= 1;
        self.group = self.group.reformed();
        self.reset_leader();
        true
    }

    fn reset_leader(&mut self) {
        self.switch = Switch::new(u64::from(self.group.epoch), RANKS);
        self.target = None;
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
        let command = Command {
            epoch: self.group.epoch,
            rank: rank as u8,
            action,
        };
        if let Err(index) = self.sent.binary_search(&command) {
            self.sent.insert(index, command);
        }
    }
}
