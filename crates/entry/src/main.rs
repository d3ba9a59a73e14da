//! The `berylgw-entry` binary.

use std::process::ExitCode;

use berylgw_entry::{Entry, Settings};
use berylgw_runtime::program::Program;
use berylgw_runtime::settings;

const USAGE: &str = "\
Entry process of berylgw.

Usage: berylgw-entry --settings FILE [--check-settings]

Options:
  --settings FILE   Settings in YAML; see examples/entry.yaml
  --check-settings  Check the settings and exit without starting
  -h, --help        Print this help
  -V, --version     Print the version

Exit codes:
  0  stopped, or the settings are valid
  1  failed while running
  2  wrong command line or settings";

fn main() -> ExitCode {
    let program = Program {
        name: "berylgw-entry",
        version: env!("CARGO_PKG_VERSION"),
        usage: USAGE,
    };
    let load = |path: &_| settings::load(path, Settings::check);
    program.main(load, async |settings, mut stop| {
        let entry = Entry::bind(settings).await?;
        entry.run(async move { stop.requested().await }).await
    })
}
