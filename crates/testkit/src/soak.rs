//! Randomized faults on the real programs of the users' platform.
//!
//! Entries and processes beside ranks run as processes, against stand-ins of
//! store, servers and ranks. Faults come from outside, in series and
//! overlapping, in an order that the seed decides; what callers and servers see
//! is checked against the promises all the while.

mod caller;
mod duty;
mod fault;
pub mod planned;
mod world;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::direct::site::Failure;
use caller::Callers;
use world::World;

/// Time after the last fault within which all is served again.
const RECOVERY: Duration = Duration::from_secs(15);

/// Time without faults at the end, in which each request is answered.
const CALM: Duration = Duration::from_secs(2);

/// What a run did.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Faults injected.
    pub faults: usize,
    /// Requests of callers, and those answered with success.
    pub requests: usize,
    /// Requests answered with success.
    pub served: usize,
    /// Requests refused as not run.
    pub refused: usize,
    /// Requests that failed or were not answered in time.
    pub failed: usize,
    /// Requests whose connection was closed as they arrived, not passed on.
    pub crossed: usize,
    /// Requests early in a stop that were too long for it.
    pub outlasted: usize,
    /// Usage reports that the interface for duties accepted.
    pub reports: usize,
    /// Promises that were broken, with their request.
    pub broken: Vec<String>,
}

/// Runs one seed for `length`.
///
/// # Errors
///
/// Fails if a process does not start or the system does not recover; broken
/// promises are in the summary.
pub async fn run(seed: u64, length: Duration) -> Result<Summary, Failure> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut world = World::start(seed).await?;
    let callers = Callers::start(seed, world.doors());
    let duty_faults = tokio::spawn(duty::disturb(seed, world.duty_calls.clone()));
    let mut faults = fault::Faults::default();
    let end = Instant::now() + length;
    while Instant::now() < end {
        faults.step(&mut world, &mut rng).await?;
    }
    faults.end(&mut world).await?;
    duty_faults.abort();
    duty::end(&world.duty_calls);
    let recovered = tokio::time::timeout(RECOVERY, world.recovered()).await;
    let recovered_at = recovered.is_ok().then(Instant::now);
    tokio::time::sleep(CALM).await;
    let mut summary = callers.finish(&world.servers, recovered_at).await;
    summary.faults = faults.count();
    match recovered {
        Ok(result) => result?,
        Err(_) => {
            let group = world.group.describe();
            let what = format!("not served {RECOVERY:?} after the last fault: {group}");
            summary.broken.push(what);
            for rank in &world.ranks {
                println!("{}", rank.process.recent().join("\n"));
            }
        }
    }
    summary.reports = world.interface.reports().len();
    summary.broken.extend(world.interface.violations());
    if let Some(pass) = world.group.first_mixed_pass() {
        summary
            .broken
            .push(format!("pass {pass} began with two maps"));
    }
    Ok(summary)
}

/// Fetches a page as text.
async fn get(address: SocketAddr, path: &str) -> Result<String, Failure> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let connection = tokio::spawn(connection);
    let request = Request::get(path).header("host", "directory");
    let response = sender
        .send_request(request.body(Empty::<Bytes>::new())?)
        .await?;
    let body = response.into_body().collect().await?.to_bytes();
    connection.abort();
    Ok(String::from_utf8(body.into())?)
}
