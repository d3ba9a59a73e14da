//! Stops of processes that have just started.

use std::path::{Path, PathBuf};

use berylgw_testkit::launch;

const STOPS: u32 = 5;

fn file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

fn closed() -> std::net::SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

async fn stop_early(binary: &str, settings: &Path) {
    for _ in 0..STOPS {
        let mut process = launch::start(binary, [Path::new("--settings"), settings]).unwrap();
        process
            .line(|line| line["message"] == "listening")
            .await
            .unwrap();
        let status = process.stop().await.unwrap();
        assert!(status.success(), "{binary}: {status}");
    }
}

/// Guards against signal handlers that are installed after the first listener.
#[tokio::test]
async fn entry_stopped_early() {
    let text = format!(
        "name: e\ndomain: d\n\
         listen: {{callers: '127.0.0.1:0', peers: '127.0.0.1:0', metrics: '127.0.0.1:0'}}\n\
         platform: {{address: '{}'}}\n",
        closed()
    );
    stop_early("berylgw-entry", &file("stop-entry.yaml", &text)).await;
}

/// Guards against signal handlers that are installed after the first listener.
#[tokio::test]
async fn agent_stopped_early() {
    let text = format!(
        "name: s\ndomain: d\nlisten: {{agent: '127.0.0.1:0', metrics: '127.0.0.1:0'}}\n\
         entries: ['{}']\nserver: {{address: '{}'}}\n",
        closed(),
        closed()
    );
    stop_early("berylgw-agent", &file("stop-agent.yaml", &text)).await;
}
