//! Watch streams of the fake platform.

use std::io;
use std::time::Duration;

use axum::body::Body;
use berylgw_platform::Event;
use bytes::Bytes;
use futures_util::stream;
use tokio::sync::watch::Receiver;
use tokio::time::{Interval, MissedTickBehavior, interval};

use super::state::Platform;

const HEARTBEAT: Duration = Duration::from_secs(1);

struct Watch {
    platform: Platform,
    kind: String,
    revision: u64,
    silencings: u64,
    changed: Receiver<u64>,
    heartbeat: Interval,
}

/// Events of `kind` after `revision` as an endless body of JSON lines.
pub(super) fn body(platform: Platform, kind: String, revision: u64) -> Body {
    let mut heartbeat = interval(HEARTBEAT);
    heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut changed = platform.subscribe();
    changed.mark_changed();
    let silencings = platform.state().silencings;
    let watch = Watch {
        platform,
        kind,
        revision,
        silencings,
        changed,
        heartbeat,
    };
    Body::from_stream(stream::unfold(watch, next))
}

async fn next(mut watch: Watch) -> Option<(io::Result<Bytes>, Watch)> {
    loop {
        let beat = tokio::select! {
            _ = watch.heartbeat.tick() => true,
            changed = watch.changed.changed() => {
                changed.ok()?;
                false
            }
        };
        if silenced(&watch) {
            std::future::pending::<()>().await;
        }
        let fault = watch.platform.state().fault.clone();
        if fault.outage {
            return None;
        }
        if fault.hang {
            continue;
        }
        let lines = lines(&mut watch, beat)?;
        if !lines.is_empty() {
            return Some((Ok(lines.into()), watch));
        }
    }
}

fn silenced(watch: &Watch) -> bool {
    let state = watch.platform.state();
    state.fault.silent_watches || state.silencings != watch.silencings
}

fn lines(watch: &mut Watch, beat: bool) -> Option<Vec<u8>> {
    let (revision, mut events) = watch.platform.state().events(&watch.kind, watch.revision)?;
    watch.revision = revision;
    if beat {
        events.push(Event::Heartbeat { revision });
    }
    let mut lines = Vec::new();
    for event in events {
        serde_json::to_writer(&mut lines, &event).ok()?;
        lines.push(b'\n');
    }
    Some(lines)
}
