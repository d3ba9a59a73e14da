//! `POST /v1/chat/completions` of a rank.

use std::io;

use axum::Json;
use axum::body::Body;
use axum::extract::State;
use axum::http::StatusCode;
use axum::http::header::CONTENT_TYPE;
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio_stream::wrappers::UnboundedReceiverStream;

use super::group::Arrival;
use super::http::Target;
use super::job::Progress;

const DEFAULT_MAX_TOKENS: usize = 16;

#[derive(Debug, Deserialize)]
pub(super) struct Request {
    model: String,
    messages: Vec<Message>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<usize>,
    request_id: Option<String>,
    response_id: Option<String>,
    #[serde(default)]
    resume_from: usize,
    #[serde(default)]
    priority: i64,
}

#[derive(Debug, Deserialize)]
struct Message {
    content: Value,
}

impl Message {
    fn text(&self) -> String {
        match &self.content {
            Value::String(text) => text.clone(),
            Value::Array(parts) => parts
                .iter()
                .filter_map(|part| part["text"].as_str())
                .collect(),
            _ => String::new(),
        }
    }
}

pub(super) async fn complete(
    State(target): State<Target>,
    Json(request): Json<Request>,
) -> Response {
    let texts: Vec<String> = request.messages.iter().map(Message::text).collect();
    let arrival = Arrival {
        request_id: request.request_id,
        response_id: request.response_id,
        context: texts.join("\n"),
        prompt: texts.last().cloned().unwrap_or_default(),
        priority: request.priority,
        resume_from: request.resume_from,
        max_tokens: request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
    };
    let (response_id, progress) = target.engine.arrive(target.rank, arrival);
    let id = format!("chatcmpl-{response_id}");
    if request.stream {
        events(id, request.model, progress)
    } else {
        whole(id, request.model, progress).await
    }
}

fn events(id: String, model: String, progress: UnboundedReceiver<Progress>) -> Response {
    let lines = UnboundedReceiverStream::new(progress).map(move |progress| {
        let text = match progress {
            Progress::Token(token) => event(&id, &model, json!({ "content": token }), Value::Null),
            Progress::Done => event(&id, &model, json!({}), json!("stop")) + "data: [DONE]\n\n",
        };
        Ok::<Bytes, io::Error>(text.into())
    });
    let body = Body::from_stream(cut_if_incomplete(lines));
    ([(CONTENT_TYPE, "text/event-stream")], body).into_response()
}

/// A stream that ends without its last event has to look broken, not complete.
fn cut_if_incomplete(
    lines: impl stream::Stream<Item = io::Result<Bytes>>,
) -> impl stream::Stream<Item = io::Result<Bytes>> {
    let end = stream::once(async { None });
    let marked = lines.map(Some).chain(end);
    marked.scan(false, |done, line| {
        let next = match line {
            Some(Ok(bytes)) => {
                *done = bytes.ends_with(b"[DONE]\n\n");
                Some(Ok(bytes))
            }
            Some(Err(error)) => Some(Err(error)),
            None if *done => None,
            None => Some(Err(io::Error::other("request cancelled"))),
        };
        std::future::ready(next)
    })
}

fn event(id: &str, model: &str, delta: Value, finish_reason: Value) -> String {
    let choice = json!({"index": 0, "delta": delta, "finish_reason": finish_reason});
    let chunk = json!({
        "id": id,
        "object": "chat.completion.chunk",
        "created": 0,
        "model": model,
        "choices": [choice],
    });
    format!("data: {chunk}\n\n")
}

async fn whole(id: String, model: String, mut progress: UnboundedReceiver<Progress>) -> Response {
    let mut text = String::new();
    let mut tokens = 0;
    loop {
        match progress.recv().await {
            Some(Progress::Token(token)) => {
                text.push_str(&token);
                tokens += 1;
            }
            Some(Progress::Done) => break,
            None => {
                // Lets the connection break first if the rank fell over.
                tokio::task::yield_now().await;
                return (StatusCode::CONFLICT, "request cancelled").into_response();
            }
        }
    }
    let message = json!({"role": "assistant", "content": text});
    let choice = json!({"index": 0, "message": message, "finish_reason": "stop"});
    Json(json!({
        "id": id,
        "object": "chat.completion",
        "created": 0,
        "model": model,
        "choices": [choice],
        "usage": {"completion_tokens": tokens},
    }))
    .into_response()
}
