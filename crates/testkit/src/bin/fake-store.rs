//! Fake of the rate-limited weight store.

use std::error::Error;
use std::net::SocketAddr;

use berylgw_testkit::serve::{announce, stop_signal};
use berylgw_testkit::store::{Store, control_router, router};

const DEFAULT_BYTES_PER_SECOND: f64 = 64e6;

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let mut args = pico_args::Arguments::from_env();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listen = args.opt_value_from_str("--listen")?.unwrap_or(any);
    let control = args.opt_value_from_str("--control")?.unwrap_or(any);
    let rate = args.opt_value_from_str("--bytes-per-second")?;
    if let Some(argument) = args.finish().first() {
        return Err(format!("unexpected argument {argument:?}").into());
    }
    berylgw_runtime::log::install();
    let stop = stop_signal()?;
    let store = Store::new(rate.unwrap_or(DEFAULT_BYTES_PER_SECOND));
    announce("store", listen, router(store.clone())).await?;
    announce("control", control, control_router(store)).await?;
    stop.await;
    Ok(())
}
