//! The `berylgw` program.

use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let environment = std::env::var(berylgw::PLATFORM_VARIABLE).ok();
    let output = berylgw::run(std::env::args_os().skip(1).collect(), environment).await;
    print!("{}", output.stdout);
    eprint!("{}", output.stderr);
    ExitCode::from(output.code as u8)
}
