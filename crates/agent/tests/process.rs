//! The binary: settings, listeners, metrics and signals.

mod support;

use std::process::Stdio;

use berylgw_core::service::Kind;
use berylgw_wire::agent_client::AgentClient;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use support::{Agent, Backend, Entry, collect, last, request, sheet};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};

struct Files(std::path::PathBuf);

impl Files {
    fn new(name: &str, text: &str) -> Self {
        let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&path, text).unwrap();
        Files(path)
    }

    fn command(&self) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_berylgw-agent"));
        command.arg("--settings").arg(&self.0).kill_on_drop(true);
        command
    }
}

/// Reads the addresses of the interfaces `agent` and `metrics` from the log.
async fn addresses(child: &mut Child) -> (String, String) {
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let (mut agent, mut metrics) = (None, None);
    while agent.is_none() || metrics.is_none() {
        let line = lines.next_line().await.unwrap().unwrap();
        let line: serde_json::Value = serde_json::from_str(&line).unwrap();
        let address = line["address"].as_str().map(str::to_owned);
        match line["interface"].as_str() {
            Some("agent") => agent = address,
            Some("metrics") => metrics = address,
            _ => {}
        }
    }
    // The pipe stays open, so that later log lines can be written.
    tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
    (agent.unwrap(), metrics.unwrap())
}

/// Guards against a SIGTERM that interrupts requests in flight or does not stop
/// the process, and against metrics that do not show the agent's state.
#[tokio::test]
async fn process_terminated() {
    let (entry, entry_address) = Entry::start(true).await;
    let (backend, server) = Backend::start().await;
    entry.publish_sheet(1, &sheet(Kind::Plain, 4, 2));
    let text = format!(
        "name: s\ndomain: d\nlisten:\n  agent: 127.0.0.1:0\n  metrics: 127.0.0.1:0\n\
         entries: ['{entry_address}']\nserver:\n  address: {server}\n",
    );
    let files = Files::new("process_terminated.yaml", &text);
    let mut child = files.command().stdout(Stdio::piped()).spawn().unwrap();
    let (address, metrics) = addresses(&mut child).await;
    let client = AgentClient::connect(format!("http://{address}"))
        .await
        .unwrap();
    let agent = Agent {
        client,
        stop: None,
        ended: tokio::spawn(async { Ok(()) }),
    };
    agent.at_version(1).await;
    let stream = agent.dispatch(request(1, "r", "hold")).await;
    backend.arrived.notified().await;
    let mut shown = String::new();
    while !shown.contains("berylgw_agent_in_flight 1") {
        let mut connection = TcpStream::connect(&metrics).await.unwrap();
        let get = b"GET /metrics HTTP/1.0\r\n\r\n";
        connection.write_all(get).await.unwrap();
        shown.clear();
        connection.read_to_string(&mut shown).await.unwrap();
    }
    assert!(shown.contains("berylgw_agent_refusals_total{reason=\"draining\"} 0"));
    assert!(shown.contains("berylgw_agent_config_version 1"));
    let pid = Pid::from_raw(child.id().unwrap().try_into().unwrap());
    kill(pid, Signal::SIGTERM).unwrap();
    agent
        .probe_until(|reply| reply.load.unwrap().draining)
        .await;
    backend.release.notify_one();
    assert!(last(&collect(stream).await).is_some());
    drop(agent);
    assert!(child.wait().await.unwrap().success());
}

/// Guards against invalid settings that are only detected at run time.
#[tokio::test]
async fn process_check_settings() {
    let text = "name: ''\ndomain: d\nlisten:\n  agent: 127.0.0.1:0\n  \
                metrics: 127.0.0.1:0\nentries: []\nserver:\n  address: 127.0.0.1:1\n";
    let files = Files::new("process_check_settings.yaml", text);
    let output = files.command().arg("--check-settings").output();
    let output = output.await.unwrap();
    assert_eq!(output.status.code(), Some(2));
    let message = String::from_utf8(output.stderr).unwrap();
    assert!(message.contains("name: must not be empty"), "{message}");
    assert!(message.contains("entries: at least one"), "{message}");
}

/// Guards against sample settings that do not load, and against a check of the
/// settings that starts the agent.
#[tokio::test]
async fn process_check_sample() {
    let sample = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/agent.yaml");
    berylgw_agent::settings::load(sample.as_ref()).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_berylgw-agent"));
    command.args(["--settings", sample, "--check-settings"]);
    let output = command.output().await.unwrap();
    assert_eq!(output.status.code(), Some(0));
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.ends_with("agent.yaml: settings are valid\n"), "{text}");
}

/// Guards against exit codes that do not distinguish wrong usage from a failure.
#[tokio::test]
async fn process_exit_codes() {
    let agent = || Command::new(env!("CARGO_BIN_EXE_berylgw-agent"));
    let output = agent().arg("--bogus").output().await.unwrap();
    assert_eq!(output.status.code(), Some(2), "command line");
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap();
    let text = format!(
        "name: s\ndomain: d\nlisten: {{agent: '{address}', metrics: '127.0.0.1:0'}}\n\
         entries: ['127.0.0.1:1']\nserver: {{address: '127.0.0.1:1'}}\n"
    );
    let files = Files::new("process_exit_codes.yaml", &text);
    let output = files.command().output().await.unwrap();
    assert_eq!(output.status.code(), Some(1), "address in use");
}
