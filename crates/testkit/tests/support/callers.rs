//! Callers that use the directory, keep an answer for its lifetime and then
//! reconnect.

#![allow(dead_code)] // Each test file uses a part of it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use berylgw_testkit::client::{Client, Error};
use serde_json::Value;
use tokio::sync::watch;

use super::{TOKEN, booking};

/// Tokens of one stream.
const TOKENS: u32 = 24;

/// Pause after a refusal.
const PAUSE: Duration = Duration::from_millis(20);

/// What a caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Stream,
    Plain,
    Keyed,
}

/// What callers saw.
#[derive(Debug, Default)]
pub struct Seen {
    pub answered: u32,
    pub refused: Vec<String>,
    /// Requests that were cut, or whose connection could not be made.
    pub broken: Vec<String>,
    /// Addresses that did not answer when the directory was asked.
    pub dead: Vec<SocketAddr>,
}

impl Seen {
    fn add(&mut self, other: Seen) {
        self.answered += other.answered;
        self.refused.extend(other.refused);
        self.broken.extend(other.broken);
        self.dead.extend(other.dead);
    }
}

/// Running callers.
pub struct Callers {
    stop: watch::Sender<bool>,
    running: Vec<tokio::task::JoinHandle<Seen>>,
}

impl Callers {
    /// Starts `count` callers of each kind.
    pub fn start(first: &[SocketAddr], kinds: &[Kind], count: usize) -> Callers {
        let stop = watch::Sender::new(false);
        let mut running = Vec::new();
        for kind in kinds {
            for index in 0..count {
                let mut addresses = first.to_vec();
                addresses.rotate_left(index % first.len());
                let caller = Caller {
                    name: format!("{kind:?}-{index}"),
                    kind: *kind,
                    addresses,
                    expires: Instant::now(),
                    seen: Seen::default(),
                };
                running.push(tokio::spawn(caller.run(stop.subscribe())));
            }
        }
        Callers { stop, running }
    }

    /// Lets the callers finish what they do and collects what they saw.
    pub async fn finish(self) -> Seen {
        self.stop.send_replace(true);
        let mut seen = Seen::default();
        for caller in self.running {
            seen.add(caller.await.unwrap());
        }
        seen
    }
}

struct Caller {
    name: String,
    kind: Kind,
    addresses: Vec<SocketAddr>,
    expires: Instant,
    seen: Seen,
}

impl Caller {
    async fn run(mut self, stop: watch::Receiver<bool>) -> Seen {
        let mut client = self.refresh().await;
        let mut sent = 0;
        while !*stop.borrow() {
            if Instant::now() >= self.expires {
                client = self.refresh().await;
            }
            sent += 1;
            let id = format!("{}-{sent}", self.name);
            match send(&client, self.kind, &id).await {
                Ok(()) => self.seen.answered += 1,
                Err(Error::Refused(refusal)) => {
                    self.seen.refused.push(format!("{id}: {refusal}"));
                    tokio::time::sleep(PAUSE).await;
                }
                Err(error) => {
                    let address = self.addresses[0];
                    self.seen.broken.push(format!("{id} at {address}: {error}"));
                    // A caller uses the next address when a connection fails.
                    self.addresses.rotate_left(1);
                    client = Client::new(self.addresses[0], TOKEN);
                }
            }
        }
        self.seen
    }

    /// Asks the addresses of the last answer for a new one, until one answers.
    async fn refresh(&mut self) -> Client {
        loop {
            for address in self.addresses.clone() {
                let client = Client::new(address, TOKEN);
                let asked = Instant::now();
                match client.directory("a").await {
                    Ok(directory) => {
                        let lifetime = Duration::from_millis(directory.lifetime_ms);
                        self.expires = asked + lifetime;
                        let listed = directory.addresses.iter();
                        self.addresses = listed.map(|entry| entry.address).collect();
                        return Client::new(self.addresses[0], TOKEN);
                    }
                    Err(Error::Refused(refusal)) => self.seen.refused.push(refusal.to_string()),
                    Err(_) => self.seen.dead.push(address),
                }
            }
            tokio::time::sleep(PAUSE).await;
        }
    }
}

async fn send(client: &Client, kind: Kind, id: &str) -> Result<(), Error> {
    match kind {
        Kind::Plain => client.call::<Value>(booking(id)).await.map(drop),
        Kind::Keyed => {
            let mut call = booking(id);
            call.key = Some(id);
            call.sending = Some(1);
            client.call::<Value>(call).await.map(drop)
        }
        Kind::Stream => {
            let stream = client.stream("draft", id, TOKENS).await?;
            stream.rest().await.map(drop)
        }
    }
}
