//! The binary: settings and exit codes.

use std::process::{Command, Output};

fn entry(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_berylgw-entry"));
    command.args(args).output().unwrap()
}

fn file(name: &str, text: &str) -> String {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path.display().to_string()
}

/// Guards against a documented sample that does not load, and against a check
/// that starts the process.
#[test]
fn process_check_sample() {
    let sample = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/entry.yaml");
    let output = entry(&["--settings", sample, "--check-settings"]);
    assert_eq!(output.status.code(), Some(0));
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.ends_with("entry.yaml: settings are valid\n"), "{text}");
}

/// Guards against a report without all findings, their file, line and field.
#[test]
fn process_settings_findings() {
    let text = "name: e\ndomain: ''\nlisten:\n  callers: 127.0.0.1:0\n  peers: 127.0.0.1:0\n  \
                metrics: 127.0.0.1:0\nplatform: {address: '127.0.0.1:1', timeout_s: 1}\n\
                limits:\n  body_bytes: 0\n  bodies: 1\n";
    let path = file("process_settings_findings.yaml", text);
    let output = entry(&["--settings", &path, "--check-settings"]);
    assert_eq!(output.status.code(), Some(2));
    let report = String::from_utf8(output.stderr).unwrap();
    for expected in [
        ":2: domain: must not be empty",
        ":7: platform.timeout_s: unknown field",
        ":9: limits.body_bytes: must be greater than 0",
        ":10: limits.bodies: unknown field",
    ] {
        assert!(report.contains(&format!("{path}{expected}")), "{report}");
    }
}

/// Guards against an unknown routing policy that is silently replaced.
#[test]
fn process_settings_policy() {
    for (policy, code) in [("least_in_flight", 0), ("fastest", 2)] {
        let text = format!(
            "name: e\ndomain: d\n\
             listen: {{callers: '127.0.0.1:0', peers: '127.0.0.1:0', metrics: '127.0.0.1:0'}}\n\
             platform: {{address: '127.0.0.1:1'}}\nrouting: {{policy: {policy}}}\n"
        );
        let path = file("process_settings_policy.yaml", &text);
        let output = entry(&["--settings", &path, "--check-settings"]);
        let report = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(code), "{report}");
        assert_eq!(report.contains(":5: "), code != 0, "{report}");
    }
}

/// Guards against exit codes that do not distinguish wrong usage from a failure.
#[test]
fn process_exit_codes() {
    assert_eq!(entry(&["--bogus"]).status.code(), Some(2), "command line");
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap();
    let text = format!(
        "name: e\ndomain: d\n\
         listen: {{callers: '{address}', peers: '127.0.0.1:0', metrics: '127.0.0.1:0'}}\n\
         platform: {{address: '127.0.0.1:1'}}\n"
    );
    let path = file("process_exit_codes.yaml", &text);
    let output = entry(&["--settings", &path]);
    assert_eq!(output.status.code(), Some(1), "address in use");
}
