use super::TERM_TICKS;

/// A violated rule of the interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Violation {
    /// A lower token arrived after a higher one.
    LowerToken,
    /// Two hosts used one token.
    SharedToken,
    /// Hosts acted in the order A, B, A within one term.
    Alternation,
}

/// What the interface has received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Monitor {
    /// Highest token and its host.
    highest: Option<(u8, u8)>,
    /// Host of the last call.
    last: Option<u8>,
    /// Ticks since the last call of each host, at most a term; `None` before the first.
    ages: [Option<u8>; 2],
    /// First rule that was violated.
    pub violation: Option<Violation>,
}

impl Monitor {
    pub(super) fn tick(&mut self) {
        for age in self.ages.iter_mut().flatten() {
            *age = (*age + 1).min(TERM_TICKS);
        }
    }

    pub(super) fn receive(&mut self, host: u8, token: u8) {
        let is_recent = |age: Option<u8>| age.is_some_and(|age| age < TERM_TICKS);
        self.violation = match self.highest {
            Some((highest, _)) if token < highest => Some(Violation::LowerToken),
            Some((highest, by)) if token == highest && by != host => Some(Violation::SharedToken),
            _ if self.last.is_some_and(|last| last != host)
                && is_recent(self.ages[usize::from(host)]) =>
            {
                Some(Violation::Alternation)
            }
            _ => None,
        };
        self.highest = Some((token, host));
        self.last = Some(host);
        self.ages[usize::from(host)] = Some(0);
    }
}
