//! Fake of a rank group of model engines.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use berylgw_testkit::engine::{Engine, Settings, control_router, router, run_steps};
use berylgw_testkit::serve::{announce, listen, stop_signal};
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
    let ranks = settings.ranks;
    let engine = Engine::new(settings);
    for rank in 0..ranks {
        let address = listen(any, router(engine.clone(), rank), engine.gate(rank)).await?;
        tracing::info!(interface = "engine", %address, rank, "listening");
    }
    announce("control", control, control_router(engine.clone())).await?;
    tokio::spawn(run_steps(engine));
    stop.await;
    Ok(())
}

fn settings(args: &mut Arguments) -> Result<Settings, pico_args::Error> {
    let default = Settings::default();
    let mut time = |name: &'static str, default: Duration| {
        let milliseconds = args.opt_value_from_str(name)?;
        Ok::<_, pico_args::Error>(milliseconds.map_or(default, Duration::from_millis))
    };
    let step = time("--step-ms", default.step)?;
    let restart = time("--restart-ms", default.restart)?;
    let load_lag = time("--load-lag-ms", default.load_lag)?;
    let event_delay = time("--event-delay-ms", default.event_delay)?;
    let order = time("--order-ms", default.order)?;
    let map_load = time("--map-load-ms", default.map_load)?;
    let mut count = |name: &'static str, default: usize| {
        Ok::<_, pico_args::Error>(args.opt_value_from_str(name)?.unwrap_or(default))
    };
    let ranks = count("--ranks", default.ranks)?;
    let capacity = count("--capacity", default.capacity)?;
    let cold_capacity = count("--cold-capacity", default.cold_capacity)?;
    let prefill_steps = count("--prefill-steps", default.prefill_steps)?;
    let cache_blocks = count("--cache-blocks", default.cache_blocks)?;
    let warm_after = count("--warm-after", default.warm_after as usize)? as u64;
    let experts = count("--experts", default.experts.into())? as u16;
    let expert_slots = count("--expert-slots", default.expert_slots.into())? as u16;
    let drift = args.opt_value_from_str("--drift")?;
    let event_gaps = args.opt_value_from_str("--event-gaps")?;
    let cold_factor = args.opt_value_from_str("--cold-factor")?;
    let crash_marker = args.opt_value_from_str("--crash-marker")?;
    Ok(Settings {
        ranks,
        step,
        capacity,
        cold_capacity,
        cold: args.contains("--cold"),
        warm_after,
        cold_factor: cold_factor.unwrap_or(default.cold_factor),
        prefill_steps,
        cache_blocks,
        restart,
        load_lag,
        event_delay,
        event_gaps: event_gaps.unwrap_or(default.event_gaps),
        fencing: !args.contains("--ignore-fencing"),
        order,
        map_load,
        experts,
        expert_slots,
        expert_share: default.expert_share,
        drift: drift.unwrap_or(default.drift),
        run_abandoned: args.contains("--run-abandoned"),
        unchecked_maps: args.contains("--unchecked-maps"),
        crash_marker: crash_marker.unwrap_or(default.crash_marker),
        seed: args.opt_value_from_str("--seed")?.unwrap_or(default.seed),
    })
}
