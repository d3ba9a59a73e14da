use berylgw_core::ledger::{Completion, Event, Grant, Target};
use berylgw_core::outcome::Outcome;

use super::{Phase, World, answer};

impl World {
    pub fn advance(&mut self, index: usize) {
        let faults = self.faults;
        self.report(index);
        match self.attempts[index].phase.clone() {
            Phase::Granted(grant) if self.chance(faults * 5) => {
                self.attempts[index].report = Some((grant, Completion::NotRun));
                self.attempts[index].phase = Phase::Report;
            }
            Phase::Granted(grant) => {
                self.attempts[index].message = Some(grant);
                self.attempts[index].phase = Phase::Sent(grant);
            }
            Phase::Sent(grant) if self.chance(faults * 20) => {
                let target = self.attempts[index].target.clone();
                self.attempts[index].phase = Phase::Seal(grant, target, true);
            }
            Phase::Sent(_) => self.deliver(index),
            Phase::Seal(grant, target, own) => self.seal(index, grant, &target, own),
            // A request can still arrive after its connection broke.
            Phase::Finished(_) => self.deliver(index),
            Phase::Claiming => {}
            Phase::Report => {
                self.count.superseded += 1;
                self.finish_attempt(index, Outcome::Unknown);
            }
        }
    }

    // Reports `not run` only if an owner accepted the result of the current grant.
    fn report(&mut self, index: usize) {
        let Some((grant, completion)) = self.attempts[index].report.clone() else {
            return;
        };
        let mut accepted = false;
        for entry in 0..2 {
            let event = Event::Complete {
                id: 0,
                grant,
                completion: completion.clone(),
            };
            if !self.entries[entry].paused {
                self.accepted = false;
                self.feed(entry, event);
                accepted |= self.accepted;
            }
        }
        self.attempts[index].report = None;
        if accepted && matches!(self.attempts[index].phase, Phase::Report) {
            self.finish_attempt(index, Outcome::NotRun);
        }
    }

    fn deliver(&mut self, index: usize) {
        let Some(grant) = self.attempts[index].message.take() else {
            return;
        };
        let attempt = &mut self.attempts[index];
        let waits = matches!(attempt.phase, Phase::Sent(_));
        let agent = &mut self.agents[server(&attempt.target)];
        let fenced = agent.highest_tokens.get(&grant.key) >= Some(&grant.token);
        if fenced || agent.incarnation != attempt.target.incarnation {
            if waits {
                attempt.report = Some((grant, Completion::NotRun));
                attempt.phase = Phase::Report;
            }
            return;
        }
        let result = answer(attempt.account, attempt.key);
        agent.highest_tokens.insert(grant.key, grant.token);
        agent.results.insert(grant.key, result.clone());
        attempt.runs += 1;
        self.count.runs += 1;
        if waits {
            attempt.report = Some((grant, Completion::Done(result)));
            self.finish_attempt(index, Outcome::Done);
        }
    }

    fn seal(&mut self, index: usize, grant: Grant, target: &Target, own: bool) {
        let agent = &mut self.agents[server(target)];
        if agent.incarnation != target.incarnation {
            self.finish_attempt(index, Outcome::Unknown);
            return;
        }
        if let Some(result) = agent.results.get(&grant.key).cloned() {
            let attempt = &self.attempts[index];
            assert_eq!(result, answer(attempt.account, attempt.key));
            self.attempts[index].report = Some((grant, Completion::Done(result)));
            self.finish_attempt(index, Outcome::Done);
            return;
        }
        let highest = agent.highest_tokens.entry(grant.key).or_default();
        *highest = grant.token.max(*highest);
        self.attempts[index].report = Some((grant, Completion::NotRun));
        if own {
            self.attempts[index].phase = Phase::Report;
            return;
        }
        self.report(index);
        self.attempts[index].phase = Phase::Claiming;
        if self.entries[self.attempts[index].entry].paused {
            self.finish_attempt(index, Outcome::Unknown);
            return;
        }
        self.claim(index);
    }
}

fn server(target: &Target) -> usize {
    target.server.parse().unwrap()
}
