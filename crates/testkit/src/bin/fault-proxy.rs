//! TCP proxy that injects faults between two processes.

use std::error::Error;
use std::net::SocketAddr;

use berylgw_testkit::proxy::{Proxy, control_router};
use berylgw_testkit::serve::{announce, stop_signal};

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let mut args = pico_args::Arguments::from_env();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listen = args.opt_value_from_str("--listen")?.unwrap_or(any);
    let control = args.opt_value_from_str("--control")?.unwrap_or(any);
    let upstream: SocketAddr = args.value_from_str("--upstream")?;
    if let Some(argument) = args.finish().first() {
        return Err(format!("unexpected argument {argument:?}").into());
    }
    berylgw_runtime::log::install();
    let stop = stop_signal()?;
    let proxy = Proxy::new(upstream);
    let address = proxy.listen(listen).await?;
    berylgw_runtime::log::listening("proxy", address);
    announce("control", control, control_router(proxy)).await?;
    stop.await;
    Ok(())
}
