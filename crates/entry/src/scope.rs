//! Log context of the request that a task works on.

use std::sync::{Arc, Mutex, PoisonError};

use axum::extract::{Request, State};
use axum::http::Response;
use axum::middleware::Next;
use berylgw_core::outcome::Refusal;
use berylgw_runtime::log;

use crate::shared::Shared;

tokio::task_local! {
    static CURRENT: Scope;
}

/// Log context of a request, shared by its clones.
#[derive(Clone, Debug, Default)]
pub struct Scope(Arc<Mutex<Fields>>);

#[derive(Clone, Debug, Default)]
struct Fields {
    account: Option<Arc<str>>,
    server: Option<Arc<str>>,
    config_version: u64,
}

/// Returns the context of the current task, or an empty one outside a request.
pub fn current() -> Scope {
    CURRENT.try_with(Scope::clone).unwrap_or_default()
}

/// Opens a scope for each request.
pub async fn open(
    State(shared): State<Arc<Shared>>,
    request: Request,
    next: Next,
) -> Response<axum::body::Body> {
    let scope = Scope::default();
    let version = shared.current.borrow().view.version();
    scope.with(|fields| fields.config_version = version.into());
    CURRENT.scope(scope, next.run(request)).await
}

impl Scope {
    /// Sets the client account of the request.
    pub fn set_account(&self, name: &Arc<str>) {
        self.with(|fields| fields.account = Some(name.clone()));
    }

    /// Sets the backend server of the current attempt.
    pub fn set_server(&self, name: &Arc<str>) {
        self.with(|fields| fields.server = Some(name.clone()));
    }

    /// Logs a request that was refused or failed.
    pub fn log_refused(&self, refusal: &Refusal, request_id: &str) {
        let Some(suppressed) = log::admit_refusal_line(refusal.reason) else {
            return;
        };
        let fields = self.with(|fields| fields.clone());
        tracing::info!(
            request_id,
            account = fields.account.as_deref().unwrap_or(""),
            server = fields.server.as_deref().unwrap_or(""),
            config_version = fields.config_version,
            reason = refusal.reason.label(),
            outcome = %refusal.outcome,
            detail = &*refusal.message,
            suppressed,
            "request refused",
        );
    }

    /// Logs a failed attempt that is retried.
    pub fn log_retried(&self, refusal: &Refusal, request_id: &str) {
        let fields = self.with(|fields| fields.clone());
        tracing::debug!(
            request_id,
            account = fields.account.as_deref().unwrap_or(""),
            server = fields.server.as_deref().unwrap_or(""),
            config_version = fields.config_version,
            reason = refusal.reason.label(),
            detail = &*refusal.message,
            "retry",
        );
    }

    fn with<T>(&self, f: impl FnOnce(&mut Fields) -> T) -> T {
        f(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
