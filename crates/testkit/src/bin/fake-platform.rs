//! Fake of the platform's versioned object API.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use berylgw_testkit::platform::{Platform, Settings, control_router, router};
use berylgw_testkit::serve::{announce, stop_signal};

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let mut args = pico_args::Arguments::from_env();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listen = args.opt_value_from_str("--listen")?.unwrap_or(any);
    let control = args.opt_value_from_str("--control")?.unwrap_or(any);
    let default = Settings::default();
    let host_lag = args.opt_value_from_str("--host-lag-ms")?;
    let settings = Settings {
        reads: args.opt_value_from_str("--reads")?.unwrap_or(default.reads),
        writes: args
            .opt_value_from_str("--writes")?
            .unwrap_or(default.writes),
        kept_revisions: args
            .opt_value_from_str("--kept-revisions")?
            .unwrap_or(default.kept_revisions),
        host_lag: host_lag.map_or(default.host_lag, Duration::from_millis),
        seed: args.opt_value_from_str("--seed")?.unwrap_or(default.seed),
    };
    if let Some(argument) = args.finish().first() {
        return Err(format!("unexpected argument {argument:?}").into());
    }
    berylgw_runtime::log::install();
    let stop = stop_signal()?;
    let platform = Platform::new(settings);
    announce("platform", listen, router(platform.clone())).await?;
    announce("control", control, control_router(platform)).await?;
    stop.await;
    Ok(())
}
