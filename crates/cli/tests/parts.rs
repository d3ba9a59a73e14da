//! Sheets that are too large for one object.

mod support;

use std::fmt::Write;
use std::path::{Path, PathBuf};

use berylgw::{Code, Output};
use serde_json::json;
use support::{Fault, Platform};

const HEADER: &str = "kind,name,region,domain,service,address,peer_address,type,fencing,group,\
                      rank,limit,cold_limit,weight,rate,concurrency,token_sha256\n";

/// Writes a sheet file with many accounts, the first with the given weight.
fn write_sheet(name: &str, accounts: usize, weight: u32) -> PathBuf {
    let mut text = format!("{HEADER}domain,a,north\nservice,s,north,,,,,plain\n");
    for index in 0..accounts {
        let weight = if index == 0 { weight } else { 1 };
        writeln!(
            text,
            "account,account-{index:05},,,,,,,,,,,,{weight},1,1,{index:064x}"
        )
        .unwrap();
        writeln!(text, "grant,account-{index:05},,,s").unwrap();
    }
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

async fn apply(platform: &Platform, path: &Path) -> Output {
    platform.run(&format!("apply {}", path.display())).await
}

#[tokio::test]
async fn apply_above_object_limit() {
    // Guards against a sheet of the size the system is designed for being refused
    // by the platform.
    let platform = Platform::start().await;
    let output = apply(&platform, &write_sheet("above.csv", 8_000, 1)).await;
    assert_eq!(output.code, Code::Done, "{}", output.stderr);
    let output = platform.run("status").await;
    assert!(output.stdout.contains("8000 accounts, 8000 grants"));
}

#[tokio::test]
async fn apply_one_row() {
    let platform = Platform::start().await;
    apply(&platform, &write_sheet("row.csv", 800, 1)).await;
    let (puts, objects) = (platform.put_count(), platform.names().len());
    let path = write_sheet("row.csv", 800, 2);
    let output = apply(&platform, &path).await;
    assert!(
        output
            .stdout
            .contains("~ account account-00000: weight 1 -> 2")
    );
    assert_eq!(platform.put_count(), puts + 2, "one part and the sheet");
    assert_eq!(platform.names().len(), objects + 1, "the old part is kept");
    let output = platform.run(&format!("diff {}", path.display())).await;
    assert!(output.stdout.starts_with("no changes"));
}

#[tokio::test]
async fn apply_many_times() {
    // Guards against parts that are never deleted.
    let platform = Platform::start().await;
    apply(&platform, &write_sheet("many.csv", 400, 1)).await;
    let objects = platform.names().len();
    for weight in 2..80 {
        let output = apply(&platform, &write_sheet("many.csv", 400, weight)).await;
        assert_eq!(output.code, Code::Done);
    }
    assert_eq!(platform.names().len(), objects + 64);
}

#[tokio::test]
async fn apply_part_again() {
    // Guards against a sheet that references an existing part again without a new
    // version of the part: views have dropped it and would not receive it.
    let platform = Platform::start().await;
    let (one, two) = (
        write_sheet("one.csv", 800, 1),
        write_sheet("two.csv", 800, 2),
    );
    apply(&platform, &one).await;
    let before = platform.names();
    apply(&platform, &two).await;
    let sheet = platform.version("sheet");
    apply(&platform, &one).await;
    let new = before.iter().filter(|name| platform.version(name) > sheet);
    assert_eq!(new.count(), 2, "one part and the sheet");
}

#[tokio::test]
async fn apply_race_lost() {
    let platform = Platform::start().await;
    apply(&platform, &write_sheet("base.csv", 800, 1)).await;
    let base = platform.version("sheet");
    apply(&platform, &write_sheet("rival.csv", 800, 5)).await;
    let path = write_sheet("loser.csv", 800, 7);
    let line = format!("apply {} --if-version {base}", path.display());
    let output = platform.run(&line).await;
    assert_eq!(output.code, Code::Conflict);
    let row = "~ account account-00000: weight 1 -> 5";
    assert!(output.stderr.contains(row), "{}", output.stderr);
    // Another write changes the sheet after the parts are written.
    let whole = json!({"nonce": 1, "domains": [], "entries": [], "services": [],
                       "servers": [], "accounts": [], "grants": []});
    platform.fail_puts([Fault::None, Fault::Race("sheet", whole)]);
    assert_eq!(apply(&platform, &path).await.code, Code::Conflict);
    // The sheet in force references no parts, so all are written again, whether
    // they exist or not.
    assert_eq!(apply(&platform, &path).await.code, Code::Done);
    let output = platform.run(&format!("diff {}", path.display())).await;
    assert!(output.stdout.starts_with("no changes"));
}

#[tokio::test]
async fn apply_part_answer_lost() {
    let platform = Platform::start().await;
    platform.fail_puts([Fault::AnswerLost, Fault::CallLost]);
    let path = write_sheet("lost.csv", 800, 1);
    assert_eq!(apply(&platform, &path).await.code, Code::Done);
    let output = platform.run(&format!("diff {}", path.display())).await;
    assert!(output.stdout.starts_with("no changes"));
}

#[tokio::test]
async fn apply_outage_between_parts() {
    let platform = Platform::start().await;
    platform.fail_puts([Fault::None, Fault::Outage]);
    let output = apply(&platform, &write_sheet("outage.csv", 800, 1)).await;
    assert_eq!(output.code, Code::Unavailable);
    assert_eq!(platform.get("sheet"), None);
}
