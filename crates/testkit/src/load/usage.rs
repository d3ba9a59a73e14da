//! Resources that a process uses, from the `proc` file system.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

/// Bytes of a page as `statm` counts.
const PAGE: u64 = 4_096;

/// Time of one clock tick as `stat` counts.
const TICK: Duration = Duration::from_millis(10);

/// What a process has used up to a moment.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Moment of the reading.
    pub at: Instant,
    /// Resident memory in bytes.
    pub resident: u64,
    /// Processor time of all threads.
    pub processor: Duration,
    /// Processor time of the thread `control`.
    pub control: Duration,
}

impl Usage {
    /// Reads what the process with this id has used.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
    pub fn read(id: i32) -> io::Result<Usage> {
        let statm = std::fs::read_to_string(format!("/proc/{id}/statm"))?;
        let pages = statm.split(' ').nth(1).and_then(|text| text.parse().ok());
        let pages: u64 = pages.ok_or_else(|| io::Error::other("statm has another format"))?;
        let mut control = Duration::ZERO;
        for thread in std::fs::read_dir(format!("/proc/{id}/task"))? {
            let path = thread?.path();
            // A thread may end while the directory is read.
            let name = std::fs::read_to_string(path.join("comm")).unwrap_or_default();
            if name.trim() == "control" {
                control += ticks(&std::fs::read_to_string(path.join("stat"))?);
            }
        }
        Ok(Usage {
            at: Instant::now(),
            resident: pages * PAGE,
            processor: ticks(&std::fs::read_to_string(format!("/proc/{id}/stat"))?),
            control,
        })
    }

    /// Share of one core that the process used since `earlier`.
    pub fn cores_since(&self, earlier: &Usage) -> f64 {
        let time = (self.at - earlier.at).as_secs_f64().max(1e-9);
        (self.processor - earlier.processor).as_secs_f64() / time
    }

    /// Share of one core that the control thread used since `earlier`.
    pub fn control_since(&self, earlier: &Usage) -> f64 {
        let time = (self.at - earlier.at).as_secs_f64().max(1e-9);
        (self.control - earlier.control).as_secs_f64() / time
    }
}

fn ticks(stat: &str) -> Duration {
    // The name in parentheses may have spaces; user and system time follow
    // as the 12th and 13th field after it.
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let number = |index: usize| -> u32 {
        let field = fields.get(index).and_then(|text| text.parse().ok());
        field.unwrap_or(0)
    };
    TICK * (number(11) + number(12))
}

/// Reads a metric from a metrics listener: labels and value of each series.
///
/// # Errors
///
/// Fails if the listener does not answer.
pub async fn metric(address: SocketAddr, name: &str) -> io::Result<Vec<(String, f64)>> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let uri = format!("http://{address}/metrics")
        .parse()
        .map_err(io::Error::other)?;
    let response = client.get(uri).await.map_err(io::Error::other)?;
    let body = response.into_body().collect().await;
    let body = body.map_err(io::Error::other)?.to_bytes();
    let mut found = Vec::new();
    for line in String::from_utf8_lossy(&body).lines() {
        let Some((series, value)) = line.rsplit_once(' ') else {
            continue;
        };
        let (family, labels) = series.split_once('{').unwrap_or((series, ""));
        if family == name {
            found.push((labels.to_owned(), value.parse().unwrap_or(0.0)));
        }
    }
    Ok(found)
}
