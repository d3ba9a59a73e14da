//! Runs the whole system on one host and makes a few calls.

use std::error::Error;
use std::net::SocketAddr;

use berylgw_core::outcome::{Outcome, Reason, Refusal};
use berylgw_testkit::answer;
use berylgw_testkit::client::{self, Call, Client};
use berylgw_testkit::cluster::{Cluster, Extra};
use berylgw_testkit::serve::stop_signal;
use hyper::Method;
use serde_json::{Value, json};

const TOKENS: u32 = 12;

/// Attempts of a call that was not run, before the demo gives up.
const ATTEMPTS: u32 = 30;

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let mut args = pico_args::Arguments::from_env();
    let proxied = args.contains("--proxied");
    let sheet: Option<String> = args.opt_value_from_str("--sheet")?;
    if let Some(argument) = args.finish().first() {
        return Err(format!("unexpected argument {argument:?}").into());
    }
    let sheet = std::fs::read_to_string(sheet.as_deref().unwrap_or("examples/sheet.csv"))?;
    let mut stop = std::pin::pin!(stop_signal()?);
    // Dropping the cluster kills its processes, so an interrupted demo leaves none.
    let extra = Extra {
        proxied,
        ..Extra::default()
    };
    let mut cluster = tokio::select! {
        cluster = Cluster::start(&sheet, &extra) => cluster?,
        () = &mut stop => return Ok(()),
    };
    println!(
        "started {} entries and {} agents; the sheet is accepted",
        cluster.entries.len(),
        cluster.agents.len(),
    );
    let failures = tokio::select! {
        failures = calls(&cluster) => failures,
        () = &mut stop => return Ok(()),
    };
    cluster.stop().await?;
    println!("all entries and agents exited with status 0");
    if failures.is_empty() {
        Ok(())
    } else {
        Err(failures.join("; ").into())
    }
}

/// Makes all calls and returns what went wrong.
async fn calls(cluster: &Cluster) -> Vec<String> {
    let wash = wash_calls(cluster).await;
    let works = works_calls(cluster).await;
    wash.into_iter().chain(works).collect()
}

async fn wash_calls(cluster: &Cluster) -> Vec<String> {
    let client = match entry(cluster, "wash-shed", "grower-redhill").await {
        Ok(client) => client,
        Err(error) => return vec![error.to_string()],
    };
    failures([
        prompt(
            &client,
            "draft-llm",
            "Draft a pickup note for twelve crates.",
        )
        .await,
        book(&client, "yard-app", "bookings", "pickup-1").await,
        ungranted(&client, "drafting-llm").await,
    ])
}

async fn works_calls(cluster: &Cluster) -> Vec<String> {
    let client = match entry(cluster, "ikeja", "contractor-okafor").await {
        Ok(client) => client,
        Err(error) => return vec![error.to_string()],
    };
    failures([
        prompt(
            &client,
            "drafting-llm",
            "Draft a road permit for Allen Avenue.",
        )
        .await,
        book(&client, "permit-app", "payments", "fee-1").await,
    ])
}

fn failures<const N: usize>(results: [Result<(), Box<dyn Error>>; N]) -> Vec<String> {
    let errors = results.into_iter().filter_map(Result::err);
    errors.map(|error| error.to_string()).collect()
}

/// Calls a service that the client account does not have in the sheet.
async fn ungranted(client: &Client, model: &str) -> Result<(), Box<dyn Error>> {
    let refused = retried_until(Reason::UnknownService, async || {
        client.chat(model, "hello", TOKENS).await
    });
    println!("{model} without a grant: {}", refused.await?);
    Ok(())
}

/// Repeats a call until it is refused for `reason`.
async fn retried_until<T>(
    reason: Reason,
    call: impl AsyncFn() -> Result<T, client::Error>,
) -> Result<Refusal, Box<dyn Error>> {
    for _ in 0..ATTEMPTS {
        let Err(error) = call().await else {
            return Err("the call was not refused".into());
        };
        let Some(refusal) = error.refusal() else {
            return Err(error.into());
        };
        if refusal.reason == reason {
            return Ok(refusal.clone());
        }
        tokio::time::sleep(refusal.retry_after).await;
    }
    Err(format!("the call was not refused for {reason}").into())
}

/// Asks an entry of the failure domain which address to use.
async fn entry(cluster: &Cluster, domain: &str, account: &str) -> Result<Client, Box<dyn Error>> {
    let known = cluster
        .entries
        .iter()
        .find(|entry| &*entry.domain == domain);
    let known: SocketAddr = known.ok_or("no entry in the failure domain")?.address;
    let token = format!("{account}-token");
    let first = Client::new(known, token.clone());
    let directory = retried(async || first.directory(domain).await).await?;
    println!("directory for {account} in {domain}:");
    for address in &directory.addresses {
        println!("  {} ({})", address.address, address.domain);
    }
    let nearest = directory
        .addresses
        .first()
        .ok_or("the directory is empty")?;
    Ok(Client::new(nearest.address, token))
}

async fn prompt(client: &Client, model: &str, prompt: &str) -> Result<(), Box<dyn Error>> {
    let expected = answer::text(prompt, TOKENS as usize);
    let whole = retried(async || client.chat(model, prompt, TOKENS).await).await?;
    let streamed = retried(async || client.stream(model, prompt, TOKENS).await?.rest().await);
    let streamed = streamed.await?;
    for (form, answer) in [("whole", whole), ("stream", streamed)] {
        println!("{model} ({form}): {}", answer.text);
        if answer.text != expected {
            return Err(format!("{model}: expected {expected}").into());
        }
    }
    Ok(())
}

/// Sends a non-idempotent request twice with one key; it has to run once.
async fn book(
    client: &Client,
    service: &str,
    path: &str,
    booking: &str,
) -> Result<(), Box<dyn Error>> {
    let call = Call {
        service,
        method: Method::POST,
        path,
        key: Some(booking),
        sending: None,
        ticket: None,
        body: json!({ "booking": booking }),
    };
    // A key makes it safe to send again after any refusal.
    let first: Value = resent(async || client.call(call.clone()).await).await?;
    let second: Value = resent(async || client.call(call.clone()).await).await?;
    println!("{service}: {first}, sent again: {second}");
    if first != second {
        return Err(format!("{service}: the request ran twice").into());
    }
    Ok(())
}

/// Repeats a call that was not run, as its refusal asks.
async fn retried<T>(call: impl AsyncFn() -> Result<T, client::Error>) -> Result<T, client::Error> {
    repeated(call, |refusal| refusal.outcome == Outcome::NotRun).await
}

/// Repeats a call with an idempotency key, as its refusal asks.
async fn resent<T>(call: impl AsyncFn() -> Result<T, client::Error>) -> Result<T, client::Error> {
    repeated(call, |_| true).await
}

async fn repeated<T>(
    call: impl AsyncFn() -> Result<T, client::Error>,
    again: impl Fn(&Refusal) -> bool,
) -> Result<T, client::Error> {
    let mut attempt = 1;
    loop {
        let error = match call().await {
            Ok(answer) => return Ok(answer),
            Err(error) => error,
        };
        let refusal = error.refusal().filter(|refusal| again(refusal));
        let Some(refusal) = refusal.filter(|_| attempt < ATTEMPTS) else {
            return Err(error);
        };
        if attempt == 1 {
            println!("refused, trying again: {refusal}");
        }
        tokio::time::sleep(refusal.retry_after).await;
        attempt += 1;
    }
}
