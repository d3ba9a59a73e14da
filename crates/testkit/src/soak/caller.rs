//! Callers, and the promises that they and the servers see kept or broken.

use std::sync::PoisonError;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::Summary;
use super::world::{Doors, EVENTS, question};
use crate::direct::backend::Server;
use crate::direct::caller::{Answer, Call, send};
use crate::proxy::Proxy;

const CALLERS: u64 = 8;

/// Time for an answer, above what the callers say that they wait.
const LIMIT: Duration = Duration::from_secs(8);

/// Requests that never stop until they are told to.
pub struct Callers {
    stop: watch::Sender<bool>,
    tasks: Vec<JoinHandle<Vec<Asked>>>,
}

/// A request and its answer, if one began.
struct Asked {
    begun: Instant,
    question: Call,
    answer: Option<Answer>,
}

impl Callers {
    /// Starts the callers.
    pub fn start(seed: u64, doors: Doors) -> Callers {
        let (stop, stopped) = watch::channel(false);
        let call = |caller| tokio::spawn(call(seed, caller, doors.clone(), stopped.clone()));
        let tasks = (0..CALLERS).map(call).collect();
        Callers { stop, tasks }
    }

    /// Stops the callers and checks what they and the servers saw. Each request since
    /// `recovered` must have been answered.
    pub async fn finish(
        self,
        servers: &[(Server, Proxy, Value)],
        recovered: Option<Instant>,
    ) -> Summary {
        self.stop.send_replace(true);
        let mut asked = Vec::new();
        let mut summary = Summary::default();
        for task in self.tasks {
            match task.await {
                Ok(of_caller) => asked.extend(of_caller),
                Err(error) => summary.broken.push(format!("caller failed: {error}")),
            }
        }
        let ran: Vec<String> = servers
            .iter()
            .flat_map(|(server, ..)| server.ran())
            .collect();
        summary.requests = asked.len();
        for asked in asked {
            let Asked {
                begun,
                question,
                answer,
            } = asked;
            let runs = ran.iter().filter(|id| **id == question.id).count();
            let once = question.path == "/pickup/";
            let mut broken = |what: &str| summary.broken.push(format!("{what}: {}", question.id));
            if once && runs > 1 {
                broken("ran twice");
            }
            let Some(answer) = answer else {
                summary.failed += 1;
                // Faults may leave a request without an answer.
                if recovered.is_some_and(|recovered| begun >= recovered) {
                    broken("not answered after the last fault");
                }
                continue;
            };
            let status = answer.status.as_u16();
            let refused = [408, 421, 429, 503].contains(&status);
            if once && refused && runs > 0 {
                broken("refused and ran");
            }
            if [400, 401, 403, 404].contains(&status) {
                broken("proper request denied");
            }
            if !answer.status.is_success() {
                continue;
            }
            summary.served += usize::from(answer.complete);
            if !is_whole(&question, &answer) {
                broken("wrong answer");
            }
        }
        summary
    }
}

async fn call(seed: u64, caller: u64, doors: Doors, stop: watch::Receiver<bool>) -> Vec<Asked> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * CALLERS + caller);
    let mut asked = Vec::new();
    while !*stop.borrow() {
        let address = {
            let doors = doors.lock().unwrap_or_else(PoisonError::into_inner);
            doors[rng.random_range(0..doors.len())]
        };
        let path = ["/notes/", "/pickup/", "/stock/"][rng.random_range(0..3)];
        let question = question(format!("s{seed}-{caller}-{}", asked.len()), path);
        let begun = Instant::now();
        let answer = tokio::time::timeout(LIMIT, send(address, &question)).await;
        let answer = answer.ok().and_then(Result::ok);
        asked.push(Asked {
            begun,
            question,
            answer,
        });
        tokio::time::sleep(Duration::from_millis(rng.random_range(5..60))).await;
    }
    asked
}

/// Whether a success is that of the request, as far as it came.
fn is_whole(question: &Call, answer: &Answer) -> bool {
    let signed = |signature: &String| signature.ends_with(&format!(".{}", question.id));
    let signed = answer.signature.as_ref().is_some_and(signed);
    let expected: String = match question.path.as_str() {
        "/notes/" => (1..=EVENTS)
            .map(|id| format!("id: {id}\ndata: e{id}\n\n"))
            .collect(),
        _ => "the whole answer".to_owned(),
    };
    let whole = if answer.complete {
        answer.body == expected
    } else {
        expected.starts_with(&answer.body)
    };
    signed && whole
}
