//! The `Agent` interface.

use std::sync::Arc;
use std::time::Duration;

use berylgw_core::config::{Snapshot, Version};
use berylgw_core::outcome::{Reason, Refusal};
use berylgw_runtime::{log, tls};
use berylgw_wire as wire;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status};

use crate::admission::Controller;
use crate::control::{Hint, Published};
use crate::convert;
use crate::forward::ServerClient;
use crate::metrics::Metrics;
use crate::run;

/// Capacity of the channel of frames that the entry has yet to read.
const FRAMES_BUFFERED: usize = 16;

/// Longest wait for a configuration that the sender has and the agent lacks.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(1);

/// Retry delay for an entry whose certificate or name is rejected.
const UNTRUSTED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns whether the sheet lists this entry, or lists no entries: before the
/// first sheet, any process with a certificate may call.
pub fn is_known_entry(snapshot: &Snapshot, name: &str) -> bool {
    let entries = &snapshot.sheet.entries;
    entries.is_empty() || entries.iter().any(|entry| *entry.name == *name)
}

/// Rejects a process that is not the entry it claims to be.
///
/// The name is looked up in the sheet only if the agent has the sender's
/// configuration.
///
/// # Errors
///
/// Fails with `PERMISSION_DENIED`.
pub fn check_sender<T>(
    published: &watch::Receiver<Arc<Published>>,
    request: &Request<T>,
    sender: Option<&wire::Sender>,
) -> Result<(), Status> {
    let name = sender.map(|sender| &*sender.name);
    let version = sender.map_or(0, |sender| sender.config_version);
    let published = published.borrow().clone();
    let newer = Version::from(version) > published.snapshot.version;
    tls::check_sender(request.extensions(), name, |name| {
        newer || is_known_entry(&published.snapshot, name)
    })
}

/// Fields of an attempt for log lines.
struct LogFields {
    request_id: String,
    attempt: u32,
    account: String,
}

impl LogFields {
    fn new(request: &wire::DispatchRequest) -> Self {
        LogFields {
            request_id: request.request_id.clone(),
            attempt: request.attempt,
            account: request.account.clone(),
        }
    }
}

/// Serves the `Agent` interface.
#[derive(Clone, Debug)]
pub struct Service {
    /// Admission control.
    pub controller: Arc<Controller>,
    /// The local server.
    pub server: ServerClient,
    /// Metrics of the agent.
    pub metrics: Arc<Metrics>,
    /// The newest configuration.
    pub published: watch::Receiver<Arc<Published>>,
    /// Notifies the control thread of newer versions.
    pub hints: mpsc::Sender<Hint>,
}

impl Service {
    fn check_sender<T>(
        &self,
        request: &Request<T>,
        sender: Option<&wire::Sender>,
    ) -> Result<(), Status> {
        check_sender(&self.published, request, sender)
    }

    /// Counts and logs a refused attempt.
    fn record_refusal(&self, fields: &LogFields, refusal: &Refusal) {
        self.metrics.refused(refusal.reason);
        let Some(suppressed) = log::admit_refusal_line(refusal.reason) else {
            return;
        };
        let sender = self.controller.current_sender();
        tracing::info!(
            request_id = fields.request_id,
            attempt = fields.attempt,
            account = fields.account,
            server = sender.name,
            config_version = sender.config_version,
            reason = refusal.reason.label(),
            outcome = %refusal.outcome,
            detail = &*refusal.message,
            suppressed,
            "attempt refused",
        );
    }

    /// Waits briefly for the configuration version of the sender.
    async fn catch_up(&self, sender: Option<&wire::Sender>) {
        let Some(sender) = sender else { return };
        let version = Version::from(sender.config_version);
        if self.published.borrow().snapshot.version >= version {
            return;
        }
        let hint = Hint {
            entry: sender.name.as_str().into(),
            version,
        };
        // When the channel is full, the control thread is already pulling.
        let _ = self.hints.try_send(hint);
        let mut published = self.published.clone();
        let caught_up = published.wait_for(|published| published.snapshot.version >= version);
        let _ = timeout(CATCH_UP_TIMEOUT, caught_up).await;
    }

    async fn serve(
        self,
        request: Request<wire::DispatchRequest>,
        frames: mpsc::Sender<run::Frame>,
    ) {
        let message = request.get_ref();
        let mut answer = run::Answer::new(message, self.controller.clone(), frames);
        tokio::select! {
            () = self.catch_up(message.sender.as_ref()) => {}
            () = answer.dropped() => return,
        }
        // The sender may be absent from a configuration that arrived since the
        // first check.
        if let Err(status) = self.check_sender(&request, message.sender.as_ref()) {
            let refusal = Refusal::not_run(Reason::AgentUnreachable, UNTRUSTED_RETRY_AFTER);
            let refusal = refusal.with_message(status.message());
            self.record_refusal(&LogFields::new(message), &refusal);
            return answer.refuse(&refusal).await;
        }
        let request = request.into_inner();
        let fields = LogFields::new(&request);
        let refusal = match self.controller.admit(&request) {
            Ok(admitted) => run::run(&self, request, admitted, &mut answer).await.err(),
            Err(refusal) => Some(refusal),
        };
        if let Some(refusal) = refusal {
            self.record_refusal(&fields, &refusal);
            answer.refuse(&refusal).await;
        }
    }
}

#[tonic::async_trait]
impl wire::agent_server::Agent for Service {
    type DispatchStream = ReceiverStream<run::Frame>;

    async fn dispatch(
        &self,
        request: Request<wire::DispatchRequest>,
    ) -> Result<Response<Self::DispatchStream>, Status> {
        self.check_sender(&request, request.get_ref().sender.as_ref())?;
        let (sender, receiver) = mpsc::channel(FRAMES_BUFFERED);
        tokio::spawn(self.clone().serve(request, sender));
        Ok(Response::new(ReceiverStream::new(receiver)))
    }

    async fn probe(
        &self,
        request: Request<wire::ProbeRequest>,
    ) -> Result<Response<wire::ProbeReply>, Status> {
        self.check_sender(&request, request.get_ref().sender.as_ref())?;
        if let Some(sender) = &request.get_ref().sender {
            self.hint(sender);
        }
        Ok(Response::new(wire::ProbeReply {
            sender: Some(self.controller.current_sender()),
            load: Some(self.controller.load()),
            suspects: self.controller.suspects(),
        }))
    }

    async fn seal(
        &self,
        request: Request<wire::SealRequest>,
    ) -> Result<Response<wire::SealReply>, Status> {
        self.check_sender(&request, request.get_ref().sender.as_ref())?;
        let Some(claim) = &request.get_ref().claim else {
            return Err(Status::invalid_argument("claim is missing"));
        };
        Ok(Response::new(self.controller.seal(claim)))
    }

    async fn issue_ticket(
        &self,
        request: Request<wire::TicketRequest>,
    ) -> Result<Response<wire::TicketReply>, Status> {
        self.check_sender(&request, request.get_ref().sender.as_ref())?;
        let mut reply = wire::TicketReply {
            sender: Some(self.controller.current_sender()),
            ..Default::default()
        };
        match self.controller.issue_ticket(request.get_ref()) {
            Ok((ticket, lifetime)) => {
                reply.ticket = ticket.to_string();
                reply.expires_ms = convert::millis(lifetime);
            }
            Err(refusal) => {
                self.metrics.refused(refusal.reason);
                reply.refusal = Some(convert::refusal(&refusal));
            }
        }
        Ok(Response::new(reply))
    }
}

impl Service {
    fn hint(&self, sender: &wire::Sender) {
        let version = Version::from(sender.config_version);
        if self.published.borrow().snapshot.version >= version {
            return;
        }
        let entry = sender.name.as_str().into();
        let _ = self.hints.try_send(Hint { entry, version });
    }
}
