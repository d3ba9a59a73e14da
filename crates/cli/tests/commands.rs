//! Commands against an in-process platform.

mod support;

use std::path::PathBuf;

use berylgw::{Code, Output};
use berylgw_core::config::Sheet;
use berylgw_core::sheet;
use expect_test::{Expect, expect};
use serde_json::{Value, json};
use support::{Fault, Platform};

const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/sheet.csv");

fn example() -> Sheet {
    let text = std::fs::read_to_string(EXAMPLE).unwrap();
    sheet::parse(&text).unwrap()
}

/// Returns the example with another weight of one account, as a competing writer
/// would store it.
fn competing_sheet(weight: u32) -> Value {
    let mut sheet = example();
    sheet.nonce = u64::from(weight);
    sheet.accounts[0].weight = weight;
    serde_json::to_value(sheet).unwrap()
}

/// Writes a sheet file for one test.
fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

#[track_caller]
fn check(output: &Output, code: Code, expected: Expect) {
    let text = format!("{}{}", output.stdout, output.stderr);
    expected.assert_eq(&text.replace(EXAMPLE, "FILE"));
    assert_eq!(output.code, code);
}

async fn apply(platform: &Platform) -> Output {
    platform.run(&format!("apply {EXAMPLE}")).await
}

#[tokio::test]
async fn check_example() {
    let platform = Platform::start().await;
    let output = platform.run(&format!("check {EXAMPLE}")).await;
    check(
        &output,
        Code::Done,
        expect![[r#"
            FILE: no findings; 6 domains, 14 entries, 4 services, 38 servers, 20 accounts, 40 grants
        "#]],
    );
}

#[tokio::test]
async fn check_findings_json() {
    let platform = Platform::start().await;
    let path = write_file("findings.csv", "kind\nrack\n");
    let output = platform
        .run(&format!("check {} --json", path.display()))
        .await;
    let body: Value = serde_json::from_str(&output.stdout).unwrap();
    assert_eq!(body["outcome"], "refused");
    let last = body["findings"].as_array().unwrap().last().unwrap();
    assert_eq!(
        *last,
        json!({"row": 2, "column": "kind", "message": "unknown kind \"rack\""})
    );
    assert_eq!(output.code, Code::Refused);
}

#[tokio::test]
async fn apply_first_and_again() {
    let platform = Platform::start().await;
    let output = apply(&platform).await;
    assert_eq!(output.code, Code::Done);
    assert!(output.stdout.starts_with("accepted as version 1\n"));
    let stored: Sheet = serde_json::from_value(platform.get("sheet").unwrap()).unwrap();
    assert_ne!(stored.nonce, 0);
    assert_eq!(stored.servers, example().servers);
    check(
        &apply(&platform).await,
        Code::Done,
        expect![[r#"
            no changes: the sheet is already in force as version 1
        "#]],
    );
    assert_eq!(platform.put_count(), 1);
}

#[tokio::test]
async fn apply_race_lost() {
    // Guards against an apply that loses a race and overwrites the other write or
    // does not show what it changed.
    let platform = Platform::start().await;
    platform.put("sheet", competing_sheet(50));
    platform.fail_puts([Fault::Race("sheet", competing_sheet(60))]);
    check(
        &apply(&platform).await,
        Code::Conflict,
        expect![[r#"
            conflict: expected version 1, but version 2 is in force; nothing was written; take over the changes below, then apply with --if-version 2
            version 2 changed:
              ~ account contractor-adebayo: weight 50 -> 60
        "#]],
    );
    assert_eq!(platform.get("sheet"), Some(competing_sheet(60)));
}

#[tokio::test]
async fn apply_if_version() {
    let platform = Platform::start().await;
    platform.put("sheet", competing_sheet(50));
    platform.put("other", json!({}));
    platform.put("sheet", competing_sheet(60));
    platform.put("sheet", competing_sheet(70));
    let output = platform
        .run(&format!("apply {EXAMPLE} --if-version 1"))
        .await;
    check(
        &output,
        Code::Conflict,
        expect![[r#"
            conflict: expected version 1, but version 4 is in force; nothing was written; take over the changes below, then apply with --if-version 4
            version 3 changed:
              ~ account contractor-adebayo: weight 50 -> 60
            version 4 changed:
              ~ account contractor-adebayo: weight 60 -> 70
        "#]],
    );
    assert_eq!(platform.put_count(), 0);
    let output = platform
        .run(&format!("apply {EXAMPLE} --if-version=4"))
        .await;
    check(
        &output,
        Code::Done,
        expect![[r#"
            accepted as version 5
              ~ account contractor-adebayo: weight 70 -> 8
        "#]],
    );
}

#[tokio::test]
async fn apply_answer_lost() {
    // Guards against a lost response that is taken as a failure, so that the
    // sheet is applied twice.
    let platform = Platform::start().await;
    platform.fail_puts([Fault::AnswerLost]);
    let output = apply(&platform).await;
    assert_eq!(output.code, Code::Done);
    assert!(output.stdout.starts_with("accepted as version 1\n"));
    assert_eq!(platform.put_count(), 1);
}

#[tokio::test]
async fn apply_call_lost() {
    // The call does not arrive, so the same conditional update is sent again.
    let platform = Platform::start().await;
    platform.fail_puts([Fault::CallLost]);
    let output = apply(&platform).await;
    assert!(output.stdout.starts_with("accepted as version 1\n"));
    assert_eq!(platform.put_count(), 2);
}

#[tokio::test]
async fn apply_answer_lost_and_overwritten() {
    // Guards against "conflict, nothing was written" for a sheet that was briefly
    // in force.
    let platform = Platform::start().await;
    platform.put("sheet", competing_sheet(50));
    platform.fail_puts([Fault::Overwritten(competing_sheet(60))]);
    check(
        &apply(&platform).await,
        Code::Done,
        expect![[r#"
            accepted as version 2, and since replaced by version 3; see berylgw diff FILE
              ~ account contractor-adebayo: weight 50 -> 8
        "#]],
    );
}

#[tokio::test]
async fn apply_call_lost_and_race() {
    // The first call can no longer take effect, because its condition fails. But it
    // may have taken effect before the other write replaced it. A history without it
    // does not prove the contrary, so the outcome is unknown.
    let platform = Platform::start().await;
    platform.put("sheet", competing_sheet(50));
    platform.fail_puts([Fault::CallLost, Fault::Race("sheet", competing_sheet(60))]);
    check(
        &apply(&platform).await,
        Code::Unknown,
        expect![[r#"
            error: outcome unknown: the platform did not answer and the sheet may have taken effect; version 2 of another writer is in force now; run berylgw diff FILE once the platform answers and apply again if rows differ
        "#]],
    );
}

#[tokio::test]
async fn apply_no_read_back() {
    let platform = Platform::start().await;
    platform.fail_puts([Fault::AnswerLost]);
    platform.fail_puts((0..9).map(|_| Fault::Outage));
    platform.fail_gets((0..9).map(|_| Fault::Outage));
    check(
        &apply(&platform).await,
        Code::Unknown,
        expect![[r#"
            error: outcome unknown: the platform did not answer and the sheet may have taken effect; the platform could not be read back; run berylgw diff FILE once the platform answers and apply again if rows differ
        "#]],
    );
}

#[tokio::test]
async fn apply_outage() {
    // Guards against "unknown" when the platform refused the call, which proves
    // that nothing was written.
    let platform = Platform::start().await;
    platform.fail_puts([Fault::Outage]);
    check(
        &apply(&platform).await,
        Code::Unavailable,
        expect![[r#"
            error: platform unavailable, nothing was written: unavailable in /v1/objects/config/sheet: 503 Service Unavailable; it is in an outage; the configuration in force stays in force, try again later (it asks for 3 s)
        "#]],
    );
    platform.fail_lists([Fault::Outage]);
    assert_eq!(apply(&platform).await.code, Code::Unavailable);
    assert_eq!(platform.get("sheet"), None);
}

#[tokio::test]
async fn diff_rows() {
    let platform = Platform::start().await;
    platform.put("sheet", competing_sheet(50));
    let output = platform.run(&format!("diff {EXAMPLE}")).await;
    check(
        &output,
        Code::Done,
        expect![[r#"
            1 row changes from version 1
              ~ account contractor-adebayo: weight 50 -> 8
        "#]],
    );
}

#[tokio::test]
async fn domain_out_and_back() {
    let platform = Platform::start().await;
    apply(&platform).await;
    check(
        &platform.run("domain out ikeja").await,
        Code::Done,
        expect![[r#"
            accepted as version 2: domain ikeja is out of service
        "#]],
    );
    check(
        &platform.run("domain out ikeja").await,
        Code::Done,
        expect![[r#"
            no changes: domain ikeja is already out of service
        "#]],
    );
    // Guards against an applied sheet that returns a failure domain to service.
    platform.put("sheet", competing_sheet(50));
    apply(&platform).await;
    check(
        &platform.run("status").await,
        Code::Done,
        expect![[r#"
            sheet version 4: 6 domains, 14 entries, 4 services, 38 servers, 20 accounts, 40 grants
              domain alausa (lagos-west): in, 2 entries, 6 servers
              domain dock-room (qld-south): in, 2 entries, 6 servers
              domain ikeja (lagos-west): out since version 2, 3 entries, 7 servers
              domain office-loft (qld-south): in, 2 entries, 6 servers
              domain ogba (lagos-west): in, 2 entries, 6 servers
              domain wash-shed (qld-south): in, 3 entries, 7 servers
        "#]],
    );
    check(
        &platform.run("domain back ikeja").await,
        Code::Done,
        expect![[r#"
            accepted as version 5: domain ikeja is in service
        "#]],
    );
}

#[tokio::test]
async fn domain_conflicts() {
    let platform = Platform::start().await;
    apply(&platform).await;
    check(
        &platform.run("domain out ikja").await,
        Code::Refused,
        expect![[r#"
            error: domain "ikja" is not in the accepted sheet, nothing was written; it has alausa, dock-room, ikeja, office-loft, ogba, wash-shed
        "#]],
    );
    let back = json!({"state": "in", "nonce": 1});
    platform.fail_puts([Fault::Race("domain.ikeja", back)]);
    check(
        &platform.run("domain out ikeja").await,
        Code::Conflict,
        expect![[r#"
            conflict: version 2 of another writer is in force: domain ikeja is in service; agree with the other operator, then run the command again
        "#]],
    );
    let out = json!({"state": "out", "nonce": 2});
    platform.fail_puts([Fault::Race("domain.ikeja", out)]);
    check(
        &platform.run("domain out ikeja").await,
        Code::Done,
        expect![[r#"
            no changes: another write has put domain ikeja out of service as version 3
        "#]],
    );
}

#[tokio::test]
async fn explain_cases() {
    let platform = Platform::start().await;
    apply(&platform).await;
    platform.run("domain out dock-room").await;
    let explain = "explain --account grower-redhill --service";
    let output = platform
        .run(&format!("{explain} yard-app --domain office-loft"))
        .await;
    check(
        &output,
        Code::Done,
        expect![[r#"
            account grower-redhill may use yard-app; 2 backend servers can take it
              domain office-loft (failure domain of the entry): yard-app-2, together up to 32 requests
              domain wash-shed: yard-app-1, together up to 32 requests
              domain dock-room (out of service): yard-app-3, together up to 32 requests
        "#]],
    );
    check(
        &platform.run(&format!("{explain} permit-app")).await,
        Code::Refused,
        expect![[r#"
            refused with unknown_service: account grower-redhill has no grant for permit-app; add a grant row
        "#]],
    );
    platform.run("domain out wash-shed").await;
    platform.run("domain out office-loft").await;
    check(
        &platform.run(&format!("{explain} yard-app")).await,
        Code::Refused,
        expect![[r#"
            refused with no_server: every failure domain with servers of yard-app is out of service; return one with berylgw domain back NAME
              domain dock-room (out of service): yard-app-3, together up to 32 requests
              domain office-loft (out of service): yard-app-2, together up to 32 requests
              domain wash-shed (out of service): yard-app-1, together up to 32 requests
        "#]],
    );
}

#[tokio::test]
async fn json_outcomes() {
    // Guards against outcomes that scripts can read only by parsing texts.
    let platform = Platform::start().await;
    let mut outcomes = Vec::new();
    let apply = format!("apply {EXAMPLE}");
    for line in [
        &*apply,
        "status",
        "domain out nowhere",
        "explain",
        "version",
    ] {
        let output = platform.run(&format!("{line} --json")).await;
        let body: Value = serde_json::from_str(&output.stdout).unwrap();
        outcomes.push(body["outcome"].as_str().unwrap().to_owned());
        assert_eq!(output.stderr, "");
    }
    assert_eq!(outcomes, ["done", "done", "refused", "usage", "done"]);
}

#[tokio::test]
async fn usage_errors() {
    let platform = Platform::start().await;
    let mut text = String::new();
    let lines = [
        "",
        "frob",
        "check",
        "check --frob f",
        "check a b",
        "domain up x",
        "domain out",
        "apply f --if-version x",
        "explain --account a",
    ];
    for line in lines {
        let output = platform.run(line).await;
        assert_eq!(output.code, Code::Usage, "{line}");
        text.push_str(&output.stderr);
    }
    expect![[r#"
        error: no command given; see berylgw --help
        error: unknown command "frob"; see berylgw --help
        error: FILE is missing; see berylgw check --help
        error: unknown option --frob; see berylgw check --help
        error: unexpected argument b; see berylgw check --help
        error: expected out or back instead of "up"; see berylgw domain --help
        error: NAME is missing; see berylgw domain --help
        error: failed to parse 'x': invalid digit found in string; see berylgw apply --help
        error: the '--service' option must be set; see berylgw explain --help
    "#]]
    .assert_eq(&text);
    let output = berylgw::run(vec!["status".into()], None).await;
    check(
        &output,
        Code::Usage,
        expect![[r#"
            error: no platform address; give --platform IP:PORT or set BERYLGW_PLATFORM
        "#]],
    );
}

#[tokio::test]
async fn help_every_command() {
    let platform = Platform::start().await;
    for name in [
        "check", "diff", "apply", "status", "domain", "explain", "version",
    ] {
        let output = platform.run(&format!("{name} --help")).await;
        assert_eq!(output.code, Code::Done);
        assert!(output.stdout.contains(&format!("berylgw {name}")));
        assert!(output.stdout.contains("Exit codes"));
    }
}
