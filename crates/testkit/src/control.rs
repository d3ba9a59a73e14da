//! Control listeners of the fakes: shared server parts and a client.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// An error of a call to a control listener.
#[derive(Debug, thiserror::Error)]
#[error("{call}: {message}")]
pub struct Error {
    call: String,
    message: String,
}

/// Replaces the fields of `current` that `patch` names.
///
/// # Errors
///
/// Fails if the patch has an unknown field or a value of the wrong type.
pub fn patched<T>(current: &T, patch: &Value) -> Result<T, String>
where
    T: Serialize + DeserializeOwned,
{
    let mut merged = serde_json::to_value(current).map_err(|error| error.to_string())?;
    let (Some(fields), Some(changes)) = (merged.as_object_mut(), patch.as_object()) else {
        return Err("expected a JSON object".to_owned());
    };
    for (name, value) in changes {
        fields.insert(name.clone(), value.clone());
    }
    serde_json::from_value(merged).map_err(|error| error.to_string())
}

/// A client of one control listener, or of any HTTP listener that speaks JSON.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    http: HttpClient<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Makes a client of the listener at `address`.
    pub fn new(address: SocketAddr) -> Self {
        let http = HttpClient::builder(TokioExecutor::new()).build_http();
        Client { address, http }
    }

    /// Reads `path` as JSON.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer, it is not a success or has another shape.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Posts `body` as JSON to `path` and reads the answer as JSON.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer, it is not a success or has another shape.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Error> {
        let body = serde_json::to_vec(body).map_err(|error| failure(path, error))?;
        self.call(Method::POST, path, body.into()).await
    }

    /// Puts `body` as JSON to `path` and reads the answer as JSON.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer, it is not a success or has another shape.
    pub async fn put<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Error> {
        let body = serde_json::to_vec(body).map_err(|error| failure(path, error))?;
        self.call(Method::PUT, path, body.into()).await
    }

    /// Changes the faults that `patch` names.
    ///
    /// # Errors
    ///
    /// Fails if the listener refuses the patch or does not answer.
    pub async fn fault(&self, patch: Value) -> Result<(), Error> {
        self.post::<Value>("/fault", &patch).await.map(drop)
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, Error> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|error| failure(path, error))?;
        let response = self.http.request(request).await;
        let response = response.map_err(|error| failure(path, error))?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| failure(path, error))?.to_bytes();
        if !status.is_success() {
            let text = String::from_utf8_lossy(&body);
            return Err(failure(path, format!("{status} {text}")));
        }
        serde_json::from_slice(&body).map_err(|error| failure(path, error))
    }
}

fn failure(call: &str, message: impl ToString) -> Error {
    Error {
        call: call.to_owned(),
        message: message.to_string(),
    }
}
