//! Partition loops, which run on the control thread.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use berylgw_core::lease::{Holder, Update};
use berylgw_core::ledger::{Action, Event, Owner, Partition, Reply, Request, Settings};
use berylgw_platform::Client;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;

use super::{CLAIM_TIMEOUT, Command, Inbox, object_name, owner_of};
use crate::shared::Shared;
use crate::sync;

/// Interval between checks of peers that do not answer.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Longest wait for the release of the partitions during shutdown; a lease that
/// is not released expires.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

type Call = Pin<Box<dyn Future<Output = Event> + Send>>;

/// Loop of one partition, with its pending requests.
struct Loop {
    shared: Arc<Shared>,
    client: Client,
    name: String,
    // Created when this entry first becomes the preferred owner.
    owner: Option<Owner>,
    /// Whether this entry is the preferred owner and is not shutting down.
    wanted: bool,
    call: Option<Call>,
    claims: Vec<(u64, oneshot::Sender<Reply>)>,
    completions: Vec<(u64, oneshot::Sender<bool>)>,
    next_id: u64,
}

/// Runs the loops until `shutdown` is set, then releases the partitions.
pub async fn run(shared: Arc<Shared>, inbox: Inbox, mut shutdown: watch::Receiver<bool>) {
    let platform = &shared.settings.platform;
    let timeout = Duration::from_millis(platform.timeout_ms);
    let client = Client::new(platform.address, timeout);
    let mut loops = JoinSet::new();
    for (index, commands) in (0..).zip(inbox.partitions) {
        let state = Loop {
            shared: shared.clone(),
            client: client.clone(),
            name: object_name(index),
            owner: None,
            wanted: false,
            call: None,
            claims: Vec::new(),
            completions: Vec::new(),
            next_id: 0,
        };
        loops.spawn(state.run(commands, shutdown.clone()));
    }
    tokio::select! {
        () = check_peers(&shared, inbox.check_requests) => {}
        _ = shutdown.wait_for(|shutdown| *shutdown) => {}
    }
    let released = async { while loops.join_next().await.is_some() {} };
    if tokio::time::timeout(RELEASE_TIMEOUT, released)
        .await
        .is_err()
    {
        tracing::warn!(
            "ledger partitions not released within {RELEASE_TIMEOUT:?}; their leases will expire"
        );
    }
}

/// Checks periodically whether unresponsive entries answer again.
async fn check_peers(shared: &Arc<Shared>, mut check_requests: mpsc::Receiver<Arc<str>>) {
    let mut ticks = tokio::time::interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let mut names = shared.ledger.unresponsive();
        while let Ok(name) = check_requests.try_recv() {
            if !names.contains(&name) {
                names.push(name);
            }
        }
        let checks = names.iter().map(|name| check(shared, name));
        futures_util::future::join_all(checks).await;
    }
}

async fn check(shared: &Arc<Shared>, name: &Arc<str>) {
    let current = shared.current();
    let entries = &current.snapshot.sheet.entries;
    let Some(entry) = entries.iter().find(|entry| entry.name == *name) else {
        shared.ledger.mark_responsive(name);
        return;
    };
    // Only reachability matters, so the version requests no objects.
    match sync::pull(shared, entry.peer_address, u64::MAX).await {
        Ok(_) => shared.ledger.mark_responsive(name),
        Err(_) => shared.ledger.mark_unresponsive(name),
    }
}

impl Loop {
    async fn run(mut self, mut commands: mpsc::Receiver<Command>, shutdown: watch::Receiver<bool>) {
        let mut current = self.shared.current.clone();
        let mut unresponsive = self.shared.ledger.unresponsive.subscribe();
        let mut shutdown_changes = shutdown.clone();
        loop {
            let shutting_down = *shutdown.borrow();
            let preferred = owner_of(&self.shared, &self.name);
            self.set_wanted(
                !shutting_down && preferred.as_ref() == Some(&self.shared.settings.name),
            );
            if shutting_down && self.is_idle() {
                return;
            }
            let wake = self.owner.as_ref().and_then(Owner::wake_at);
            let wait = wake.map(|at| self.shared.clock.until(at));
            tokio::select! {
                event = pending_call(&mut self.call) => {
                    self.call = None;
                    self.handle_event(event);
                }
                command = commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return,
                },
                () = sleep(wait) => self.handle_event(Event::Tick),
                _ = current.changed(), if !shutting_down => {}
                _ = unresponsive.changed() => {}
                _ = shutdown_changes.changed(), if !shutting_down => {}
            }
        }
    }

    fn set_wanted(&mut self, wanted: bool) {
        if wanted && self.owner.is_none() {
            let mut settings = Settings::new(Holder {
                name: self.shared.settings.name.clone(),
                incarnation: self.shared.incarnation,
            });
            settings.term = Duration::from_millis(self.shared.settings.ledger.term_ms);
            self.owner = Some(Owner::new(settings));
            self.wanted = true;
            self.handle_event(Event::Tick);
        } else if wanted != self.wanted {
            self.wanted = wanted;
            self.handle_event(Event::SetWanted(wanted));
        }
    }

    fn is_idle(&self) -> bool {
        let Some(owner) = &self.owner else {
            return true;
        };
        self.call.is_none() && owner.wake_at().is_none()
    }

    fn handle_command(&mut self, command: Command) {
        let id = self.next_id;
        self.next_id += 1;
        // Without an owner, dropping the reply sender refuses the command.
        if self.owner.is_none() {
            return;
        }
        match command {
            Command::Claim {
                key,
                body,
                target,
                reply,
            } => {
                self.claims.push((id, reply));
                self.handle_event(Event::Claim(Request {
                    id,
                    key,
                    body,
                    target,
                    deadline: self.shared.now() + CLAIM_TIMEOUT,
                }));
            }
            Command::Complete {
                grant,
                completion,
                accepted,
            } => {
                self.completions.push((id, accepted));
                self.handle_event(Event::Complete {
                    id,
                    grant,
                    completion,
                });
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.shared.now();
        let Some(owner) = &mut self.owner else { return };
        for action in owner.step(event, now) {
            match action {
                Action::Read => self.call = Some(read(self.client.clone(), self.name.clone())),
                Action::Write {
                    expected,
                    partition,
                } => {
                    let (client, name) = (self.client.clone(), self.name.clone());
                    self.call = Some(write(client, name, expected, partition));
                }
                // A dropped receiver needs no answer.
                Action::Reply { id, reply } => {
                    let _ = take_waiting(&mut self.claims, id).map(|to| to.send(reply));
                }
                Action::Completed { id, accepted } => {
                    let _ = take_waiting(&mut self.completions, id).map(|to| to.send(accepted));
                }
                Action::LeaseAcquired => {
                    tracing::info!(partition = self.name, "ledger partition held")
                }
                Action::LeaseEnded => {
                    tracing::info!(partition = self.name, "ledger partition no longer held");
                }
            }
        }
    }
}

fn take_waiting<T>(waiting: &mut Vec<(u64, T)>, id: u64) -> Option<T> {
    let index = waiting.iter().position(|(of, _)| *of == id)?;
    Some(waiting.swap_remove(index).1)
}

async fn pending_call(call: &mut Option<Call>) -> Event {
    match call {
        Some(call) => call.await,
        None => std::future::pending().await,
    }
}

async fn sleep(wait: Option<Duration>) {
    match wait {
        Some(wait) => tokio::time::sleep(wait).await,
        None => std::future::pending().await,
    }
}

fn read(client: Client, name: String) -> Call {
    Box::pin(async move {
        let object = match client.get("ledger", &name).await {
            Ok(Some(object)) => object,
            Ok(None) => return Event::ReadDone(None),
            Err(error) => {
                tracing::debug!(partition = name, %error, "ledger partition not read");
                return Event::ReadFailed;
            }
        };
        match Partition::parse(object.value.get()) {
            Ok(partition) => Event::ReadDone(Some((object.version, Arc::new(partition)))),
            Err(error) => {
                tracing::error!(partition = name, %error, "ledger partition not readable");
                Event::ReadFailed
            }
        }
    })
}

fn write(client: Client, name: String, expected: u64, partition: Arc<Partition>) -> Call {
    Box::pin(async move {
        let update = client.put("ledger", &name, expected, &*partition).await;
        Event::Written(match update {
            berylgw_platform::Update::Applied(version) => Update::Applied(version),
            berylgw_platform::Update::Conflict(_) => Update::Conflict,
            berylgw_platform::Update::Refused(_) => Update::Refused,
            berylgw_platform::Update::Unknown(_) => Update::Unknown,
        })
    })
}
