//! Bookings with idempotency keys through real processes under faults.
//!
//! Callers send a key again to another entry after each refusal, broken
//! connection or long silence, while faults are drawn from a fixed seed.

mod support;

use std::sync::Arc;
use std::time::Duration;

use berylgw_core::ledger::{Digest, Partition, State, Target, partition_index};
use berylgw_testkit::cluster::{Cluster, Extra, Member};
use berylgw_testkit::control;
use berylgw_wire as wire;
use nix::sys::signal::Signal;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use support::bookings::{Booking, Caller, Reply};
use tokio::sync::{Mutex, watch};
use tokio::task::JoinSet;

const PARTITIONS: u32 = 4;

const CALLERS: usize = 8;

/// Rounds with one fault each.
const ROUNDS: usize = 3;

/// Sendings after the end of a fault that fall into the same round.
const AFTER: u64 = 16;

/// Short delays in one round.
const DELAYS: usize = 6;

/// Resends after the faults until a booking counts as lost.
const RESENDS: u32 = 200;

/// Time after which a takeover that does not come is reported as missing.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(60);

/// The clusters run one after the other, so that callers share the processors
/// with one of them only.
static ALONE: Mutex<()> = Mutex::const_new(());

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    EntryKilled,
    EntryPaused,
    AgentKilled,
    AgentsKilledAfterRun,
    PlatformOutage,
    PlatformSlow,
    UpdateAnswersLost,
    AgentAnswersDropped,
    DispatchesDelayed,
}

const ALL: [Fault; 9] = [
    Fault::EntryKilled,
    Fault::EntryPaused,
    Fault::AgentKilled,
    Fault::AgentsKilledAfterRun,
    Fault::PlatformOutage,
    Fault::PlatformSlow,
    Fault::UpdateAnswersLost,
    Fault::AgentAnswersDropped,
    Fault::DispatchesDelayed,
];

struct Bench {
    cluster: Cluster,
    caller: Caller,
    objects: control::Client,
    rng: ChaCha8Rng,
}

impl Bench {
    async fn start(seed: u64) -> Bench {
        let extra = Extra {
            proxied: true,
            proxied_entries: true,
            service: ["--work-ms", "15"].map(str::to_owned).to_vec(),
            entry: format!(
                "ledger: {{partitions: {PARTITIONS}, term_ms: 1500}}\n\
                 limits: {{request_ms: 8000}}\n"
            ),
            ..Extra::default()
        };
        let cluster = support::start_with(&extra).await;
        Bench {
            caller: Caller::new(&cluster),
            objects: control::Client::new(cluster.platform),
            rng: ChaCha8Rng::seed_from_u64(seed),
            cluster,
        }
    }

    async fn partition(&self, index: u32) -> Option<Partition> {
        let path = format!("/v1/objects/ledger/p{index}");
        let object: Value = self.objects.get(&path).await.ok()?;
        Some(Partition::parse(&object["value"].to_string()).unwrap())
    }

    async fn holder(&self, index: u32) -> Option<Arc<str>> {
        let lease = self.partition(index).await?.lease;
        (!lease.released).then_some(lease.holder.name)
    }

    /// A partition and the position of the entry that holds it.
    async fn held(&mut self) -> (u32, usize) {
        let index = self.rng.random_range(0..PARTITIONS);
        loop {
            if let Some(holder) = self.holder(index).await {
                let mut entries = self.cluster.entries.iter();
                let position = entries.position(|entry| entry.name == holder);
                return (index, position.unwrap());
            }
            tokio::time::sleep(support::INTERVAL).await;
        }
    }

    /// Makes bookings, with one fault among them.
    async fn round(&mut self, name: &str, fault: Fault) -> Vec<Booking> {
        let (end, ended) = watch::channel(false);
        let mut callers = JoinSet::new();
        for index in 0..CALLERS {
            let rng = ChaCha8Rng::seed_from_u64(self.rng.random());
            let name = format!("{name}-{fault:?}-{index}");
            callers.spawn(self.caller.clone().run(name, rng, ended.clone()));
        }
        let before = self.rng.random_range(4..32);
        self.caller.more(before).await;
        let phase = self.rng.random_range(0..30);
        tokio::time::sleep(Duration::from_millis(phase)).await;
        self.inject(fault).await;
        self.caller.more(AFTER).await;
        end.send_replace(true);
        callers.join_all().await.concat()
    }

    async fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::EntryKilled => {
                let (_, owner) = self.held().await;
                self.cluster.entries[owner].restart().await.unwrap();
            }
            Fault::EntryPaused => self.pause_owner().await,
            Fault::AgentKilled => {
                let index = self.rng.random_range(0..self.cluster.agents.len());
                self.cluster.agents[index].restart().await.unwrap();
            }
            Fault::AgentsKilledAfterRun => self.kill_after_run().await,
            Fault::PlatformOutage => self.platform(json!({"outage": true})).await,
            Fault::PlatformSlow => {
                // Around the entries' timeout for platform calls of 1 s.
                let slow = self.rng.random_range(600..2_000);
                self.platform(json!({"slow_ms": slow})).await;
            }
            Fault::UpdateAnswersLost => {
                let count = self.rng.random_range(2..8);
                self.platform(json!({"lose_answers": count, "lose_probability": 0.3}))
                    .await;
            }
            Fault::AgentAnswersDropped => {
                let index = self.rng.random_range(0..self.cluster.agents.len());
                let proxy = &self.cluster.agents[index].proxy;
                let control = proxy.as_ref().unwrap().control.clone();
                control.fault(json!({"drop_answer": true})).await.unwrap();
                self.hold().await;
                control.fault(json!({"drop_answer": false})).await.unwrap();
            }
            Fault::DispatchesDelayed => self.delay_dispatches().await,
        }
    }

    async fn platform(&mut self, fault: Value) {
        let control = self.cluster.platform_fake.control.clone();
        control.fault(fault).await.unwrap();
        self.hold().await;
        let none = json!({
            "outage": false, "slow_ms": 0, "lose_answers": 0, "lose_probability": 0.0
        });
        control.fault(none).await.unwrap();
    }

    /// Lets a fault last for less or more than a lease.
    async fn hold(&mut self) {
        let time = self.rng.random_range(100..3_000);
        tokio::time::sleep(Duration::from_millis(time)).await;
    }

    /// Pauses the holder of a partition until another entry holds it. With a
    /// slow platform, it is paused while its updates are in flight.
    async fn pause_owner(&mut self) {
        let slow = self.rng.random_range(0..600);
        let control = self.cluster.platform_fake.control.clone();
        control.fault(json!({"slow_ms": slow})).await.unwrap();
        self.caller.more(AFTER).await;
        let (index, owner) = self.held().await;
        let paused = &self.cluster.entries[owner];
        paused.process.signal(Signal::SIGSTOP).unwrap();
        control.fault(json!({"slow_ms": 0})).await.unwrap();
        let taken = async {
            while self.holder(index).await.as_ref() == Some(&paused.name) {
                tokio::time::sleep(support::INTERVAL).await;
            }
        };
        let taken = tokio::time::timeout(TAKEOVER_LIMIT, taken).await;
        paused.process.signal(Signal::SIGCONT).unwrap();
        taken.expect("another entry takes the partition over");
    }

    /// Holds back what goes to one agent in a short time, so that the seals of
    /// resends overtake dispatches. The entries still wait for these: the delay
    /// is shorter than their progress timeout of 2 s.
    async fn delay_dispatches(&mut self) {
        let index = self.rng.random_range(0..self.cluster.agents.len());
        let proxy = &self.cluster.agents[index].proxy;
        let control = proxy.as_ref().unwrap().control.clone();
        for _ in 0..DELAYS {
            let delay = self.rng.random_range(1_200..1_800);
            control.fault(json!({"delay_ms": delay})).await.unwrap();
            let time = self.rng.random_range(5..40);
            tokio::time::sleep(Duration::from_millis(time)).await;
            control.fault(json!({"delay_ms": 0})).await.unwrap();
            self.caller.more(AFTER).await;
        }
    }

    /// Kills the agents while bookings that ran wait for their answers.
    async fn kill_after_run(&mut self) {
        let count = self.rng.random_range(1..6);
        let control = self.cluster.fake("app").unwrap().control.clone();
        let fault = json!({"hang_answers": count});
        control.fault(fault).await.unwrap();
        loop {
            let left: Value = control.post("/fault", &json!({})).await.unwrap();
            if left["hang_answers"] == 0 {
                break;
            }
            tokio::time::sleep(support::INTERVAL).await;
        }
        // A booking without an answer may hang at either server.
        for agent in &mut self.cluster.agents {
            agent.restart().await.unwrap();
        }
    }

    /// Sends all bookings that were not given up once more after the faults:
    /// those without a result until they have one, the others to be answered
    /// with the result they have. Returns how many are unknown for good.
    async fn settle(&self, bookings: &[Booking]) -> usize {
        let mut lost = 0;
        for booking in bookings {
            booking.join_late().await;
            if booking.is_abandoned() {
                continue;
            }
            let known = booking.is_done();
            let done = self.finish(booking).await;
            lost += usize::from(!known && !done);
        }
        for booking in bookings {
            booking.join_late().await;
        }
        self.caller.check(bookings).await;
        lost
    }

    /// Sends until the booking is done; false if its agent was replaced.
    async fn finish(&self, booking: &Booking) -> bool {
        let mut last = Reply::Late;
        for resend in 0..RESENDS {
            last = self.caller.send(booking, resend as usize).await;
            match &last {
                Reply::Done => return true,
                Reply::Refused(refusal) => tokio::time::sleep(refusal.retry_after).await,
                Reply::Broken | Reply::Late => {}
            }
            if self.is_lost(&booking.id).await {
                // The owner may know a result that it has not written yet.
                return self.caller.send(booking, 0).await == Reply::Done;
            }
        }
        panic!("{} has no result: {last:?}", booking.id);
    }

    /// Whether the key is claimed for an agent that was replaced.
    async fn is_lost(&self, id: &str) -> bool {
        let key = Digest::of_key("works", "app", id.as_bytes());
        let partition = self.partition(partition_index(&key, PARTITIONS)).await;
        let claim = partition.as_ref().and_then(|found| found.claim(&key));
        match claim {
            Some(claim) if claim.state == State::Claimed => !self.is_alive(&claim.target).await,
            _ => false,
        }
    }

    async fn is_alive(&self, target: &Target) -> bool {
        let mut agents = self.cluster.agents.iter();
        let agent = agents.find(|agent| agent.name == target.server).unwrap();
        incarnation(agent).await == target.incarnation
    }
}

async fn incarnation(agent: &Member) -> u64 {
    let address = format!("http://{}", agent.direct().await.unwrap());
    let client = wire::agent_client::AgentClient::connect(address).await;
    let request = wire::ProbeRequest { sender: None };
    let reply = client.unwrap().probe(request).await.unwrap();
    reply.into_inner().sender.unwrap().incarnation
}

/// Runs rounds with these faults; returns the bookings that are unknown for good.
async fn schedule(seed: u64, faults: &[Fault]) -> usize {
    let _alone = ALONE.lock().await;
    let mut bench = Bench::start(seed).await;
    let mut bookings = Vec::new();
    for (index, fault) in faults.iter().enumerate() {
        bookings.extend(bench.round(&index.to_string(), *fault).await);
    }
    let lost = bench.settle(&bookings).await;
    let done = bookings.iter().filter(|booking| booking.is_done()).count();
    println!("{} bookings, {done} done, {lost} lost", bookings.len());
    bench.cluster.stop().await.unwrap();
    lost
}

/// Guards against bookings that run again when their entry dies with them.
#[tokio::test]
async fn bookings_entry_killed() {
    assert_eq!(schedule(1, &[Fault::EntryKilled; ROUNDS]).await, 0);
}

/// Guards against an owner that goes on with its partition, or an entry with
/// its grants, after another entry has taken the partition over.
#[tokio::test]
async fn bookings_entry_paused() {
    assert_eq!(schedule(2, &[Fault::EntryPaused; ROUNDS]).await, 0);
}

/// Guards against bookings that run again when their agent dies with them.
#[tokio::test]
async fn bookings_agent_killed() {
    schedule(3, &[Fault::AgentKilled; ROUNDS]).await;
}

/// Guards against an agent that promises for its predecessor that a booking
/// never runs: it ran, and its answer was lost with the predecessor.
#[tokio::test]
async fn bookings_agents_killed_after_run() {
    let lost = schedule(9, &[Fault::AgentsKilledAfterRun; ROUNDS]).await;
    assert_ne!(lost, 0, "bookings that hang are unknown for good");
}

/// Guards against dispatches without a claim while the platform is down.
#[tokio::test]
async fn bookings_platform_outage() {
    assert_eq!(schedule(4, &[Fault::PlatformOutage; ROUNDS]).await, 0);
}

/// Guards against claims whose update timed out and takes effect late.
#[tokio::test]
async fn bookings_platform_slow() {
    assert_eq!(schedule(5, &[Fault::PlatformSlow; ROUNDS]).await, 0);
}

/// Guards against an update that is taken as failed because its answer is lost.
#[tokio::test]
async fn bookings_update_answers_lost() {
    assert_eq!(schedule(6, &[Fault::UpdateAnswersLost; ROUNDS]).await, 0);
}

/// Guards against a second dispatch after the answer of the first one is lost.
#[tokio::test]
async fn bookings_agent_answers_dropped() {
    assert_eq!(schedule(7, &[Fault::AgentAnswersDropped; ROUNDS]).await, 0);
}

/// Guards against a grant that runs after the agent promised that it never
/// does, or beside a newer grant of its key.
#[tokio::test]
async fn bookings_dispatches_delayed() {
    assert_eq!(schedule(10, &[Fault::DispatchesDelayed; ROUNDS]).await, 0);
}

/// Guards against faults that are harmless alone and not one after the other:
/// the second one meets bookings that the first one left without a result.
#[tokio::test]
async fn bookings_faults_in_turn() {
    let mut rng = ChaCha8Rng::seed_from_u64(8);
    let mut faults = ALL.to_vec();
    faults.sort_by_key(|_| rng.random::<u64>());
    schedule(8, &faults).await;
}
