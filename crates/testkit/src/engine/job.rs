//! A request held by a rank.

use tokio::sync::mpsc::UnboundedSender;

/// What a rank tells the connection of a request.
#[derive(Debug)]
pub(super) enum Progress {
    Token(String),
    Done,
}

#[derive(Debug)]
pub(super) struct Job {
    pub request_id: String,
    pub prompt: String,
    pub priority: i64,
    /// Steps left before the first token.
    pub prefill_steps: usize,
    pub next: usize,
    pub end: usize,
    pub progress: UnboundedSender<Progress>,
}

/// How a job goes on after a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    Running,
    Completed,
    Abandoned,
}

impl Job {
    /// Advances the prompt and returns whether it was already complete.
    pub fn prefill(&mut self) -> bool {
        if self.prefill_steps == 0 {
            return true;
        }
        self.prefill_steps -= 1;
        false
    }

    /// Whether a step gives its caller a token.
    pub fn is_seen(&self) -> bool {
        self.prefill_steps == 0 && self.next < self.end && !self.progress.is_closed()
    }

    /// Emits one token.
    pub fn step(&mut self, run_abandoned: bool) -> Step {
        if self.next < self.end {
            let token = super::answer::token(&self.prompt, self.next);
            self.next += 1;
            if self.progress.send(Progress::Token(token)).is_err() && !run_abandoned {
                return Step::Abandoned;
            }
        }
        if self.next < self.end {
            return Step::Running;
        }
        match self.progress.send(Progress::Done) {
            Ok(()) => Step::Completed,
            Err(_) => Step::Abandoned,
        }
    }
}
