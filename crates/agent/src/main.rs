//! The `berylgw-agent` binary.

use std::process::ExitCode;

use berylgw_agent::{process, settings};
use berylgw_runtime::program::Program;

const USAGE: &str = "\
Agent process of berylgw, beside one engine or plain service.

Usage: berylgw-agent --settings FILE [--check-settings]

Options:
  --settings FILE   Settings in YAML; see examples/agent.yaml
  --check-settings  Check the settings and exit without starting
  -h, --help        Print this help
  -V, --version     Print the version

Exit codes:
  0  stopped, or the settings are valid
  1  failed while running
  2  wrong command line or settings";

fn main() -> ExitCode {
    let program = Program {
        name: "berylgw-agent",
        version: env!("CARGO_PKG_VERSION"),
        usage: USAGE,
    };
    program.main(settings::load, async |settings, mut stop| {
        process::run(settings, async move { stop.requested().await }).await
    })
}
