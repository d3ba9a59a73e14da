//! Findings and robustness of the settings parser.

use std::net::SocketAddr;

use berylgw_runtime::settings::{Finding, load, parse};
use expect_test::expect;
use proptest::prelude::*;
use serde::Deserialize;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(dead_code)]
struct Settings {
    name: String,
    listen: Listen,
    #[serde(default)]
    limits: Limits,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(dead_code)]
struct Listen {
    callers: SocketAddr,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Limits {
    wait_ms: u64,
    retries: u32,
}

fn check(settings: &Settings) -> Vec<Finding> {
    let mut findings = Vec::new();
    if settings.limits.wait_ms > 10 {
        findings.push(Finding::new("limits.wait_ms", "must be at most 10"));
    }
    findings
}

fn report(text: &str) -> String {
    let findings = parse::<Settings>(text, check).unwrap_err();
    let line = |finding: &Finding| {
        let line = finding.line.map_or("-".to_owned(), |line| line.to_string());
        format!("{line} {}: {}\n", finding.field, finding.message)
    };
    findings.iter().map(line).collect()
}

/// Guards against a report that stops at the first problem.
#[test]
fn parse_all_findings() {
    let text = "name: x\nbogus: 1\nlisten:\n  callers: 127.0.0.1:1\n  extra:\n    deep: 1\n\
                limits: {wait_ms: 11, other: 'a, b', retries: 1}\nmore: []\n";
    expect![[r#"
        2 bogus: unknown field; expected one of name, listen, limits
        5 listen.extra: unknown field; expected one of callers
        7 limits.other: unknown field; expected one of wait_ms, retries
        8 more: unknown field; expected one of name, listen, limits
        7 limits.wait_ms: must be at most 10
    "#]]
    .assert_eq(&report(text));
}

/// Guards against a value of the wrong type that hides later problems.
#[test]
fn parse_wrong_values() {
    let text = "name: x\nlisten:\n  callers: 127.0.0.1:1\nlimits:\n  wait_ms: soon\n  \
                retries: -1\n  bogus: 1\n";
    expect![[r#"
        5 limits.wait_ms: invalid u64 at line 5, column 12
        6 limits.retries: invalid u32 at line 6, column 12
        7 limits.bogus: unknown field; expected one of wait_ms, retries
    "#]]
    .assert_eq(&report(text));
}

/// Guards against a field that is reported as missing because its value is
/// invalid, and against a missing field that is not reported.
#[test]
fn parse_required_fields() {
    let text = "listen:\n  callers: nowhere\nbogus: 1\n";
    expect![[r#"
        2 listen.callers: invalid socket address syntax at line 2, column 12
        3 bogus: unknown field; expected one of name, listen, limits
    "#]]
    .assert_eq(&report(text));
}

/// Guards against an error that does not name a missing file.
#[test]
fn load_unreadable() {
    let error = load::<Settings>("/nonexistent/x.yaml".as_ref(), check).unwrap_err();
    let text = error.to_string();
    assert!(text.starts_with("/nonexistent/x.yaml: "), "{text}");
}

fn settings_text() -> impl Strategy<Value = String> {
    let word = prop::sample::select(vec![
        "name",
        "listen",
        "limits",
        "callers",
        "wait_ms",
        "retries",
        "bogus",
        ":",
        ": ",
        "\n",
        "\n  ",
        "\n    ",
        "- ",
        "{",
        "}",
        "[",
        "]",
        ",",
        "'",
        "\"",
        "#",
        "&a",
        "*a",
        "|",
        "1",
        "-1",
        "127.0.0.1:1",
        "x",
        "é",
        "\t",
        "---",
        "?",
        "!!int",
        "~",
    ]);
    prop::collection::vec(word, 0..40).prop_map(|words| words.concat())
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a panic or an empty report for text close to settings.
    #[test]
    fn parse_any_settings(text in settings_text()) {
        if let Err(findings) = parse::<Settings>(&text, check) {
            prop_assert!(!findings.is_empty());
            prop_assert!(findings.iter().all(|finding| !finding.message.is_empty()));
        }
    }

    /// Guards against a panic on arbitrary text.
    #[test]
    fn parse_any_text(text in any::<String>()) {
        if let Err(findings) = parse::<Settings>(&text, check) {
            prop_assert!(!findings.is_empty());
        }
    }
}
