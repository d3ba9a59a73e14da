//! Fake of a plain service with several servers.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use berylgw_testkit::serve::{announce, listen, stop_signal};
use berylgw_testkit::service::{Service, Settings, control_router, router};
use pico_args::Arguments;

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let mut args = Arguments::from_env();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let control = args.opt_value_from_str("--control")?.unwrap_or(any);
    let settings = settings(&mut args)?;
    if let Some(argument) = args.finish().first() {
        return Err(format!("unexpected argument {argument:?}").into());
    }
    berylgw_runtime::log::install();
    let stop = stop_signal()?;
    let servers = settings.servers;
    let service = Service::new(settings);
    for server in 0..servers {
        let address = listen(any, router(service.clone(), server), service.gate(server)).await?;
        tracing::info!(interface = "service", %address, server, "listening");
    }
    announce("control", control, control_router(service)).await?;
    stop.await;
    Ok(())
}

fn settings(args: &mut Arguments) -> Result<Settings, pico_args::Error> {
    let default = Settings::default();
    let mut time = |name: &'static str, default: Duration| {
        let milliseconds = args.opt_value_from_str(name)?;
        Ok::<_, pico_args::Error>(milliseconds.map_or(default, Duration::from_millis))
    };
    let work = time("--work-ms", default.work)?;
    let restart = time("--restart-ms", default.restart)?;
    let load_lag = time("--load-lag-ms", default.load_lag)?;
    let servers = args.opt_value_from_str("--servers")?;
    let capacity = args.opt_value_from_str("--capacity")?;
    Ok(Settings {
        servers: servers.unwrap_or(default.servers),
        capacity: capacity.unwrap_or(default.capacity),
        work,
        restart,
        load_lag,
        run_abandoned: args.contains("--run-abandoned"),
    })
}
