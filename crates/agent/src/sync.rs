//! The `Sync` interface of an agent, which serves its own configuration view.

use std::sync::Arc;

use berylgw_core::config::Version;
use berylgw_runtime::tls;
use berylgw_wire as wire;
use tokio::sync::watch;
use tokio_stream::Empty;
use tonic::{Request, Response, Status};

use crate::admission::Controller;
use crate::control::Published;
use crate::convert;
use crate::dispatch::is_known_entry;

/// Serves `Sync.Pull`.
#[derive(Clone, Debug)]
pub struct Service {
    /// The newest configuration.
    pub published: watch::Receiver<Arc<Published>>,
    /// Identity and suspects of the agent.
    pub controller: Arc<Controller>,
}

#[tonic::async_trait]
impl wire::sync_server::Sync for Service {
    async fn pull(
        &self,
        request: Request<wire::PullRequest>,
    ) -> Result<Response<wire::PullReply>, Status> {
        let sender = request.get_ref().sender.as_ref();
        let name = sender.map(|sender| &*sender.name);
        let snapshot = self.published.borrow().clone();
        tls::check_sender(request.extensions(), name, |name| {
            is_known_entry(&snapshot.snapshot, name)
        })?;
        let since = Version::from(request.get_ref().since);
        let published = self.published.borrow().clone();
        let view = &published.view;
        Ok(Response::new(wire::PullReply {
            sender: Some(self.controller.sender(view.version())),
            version: view.version().into(),
            objects: view
                .newer_than(since)
                .iter()
                .map(convert::wire_object)
                .collect(),
            entries: published.entries.iter().map(ToString::to_string).collect(),
            suspects: self.controller.suspects(),
            ..wire::PullReply::default()
        }))
    }

    type FollowStream = Empty<Result<wire::PullReply, Status>>;

    async fn follow(
        &self,
        _request: Request<wire::PullRequest>,
    ) -> Result<Response<Self::FollowStream>, Status> {
        Err(Status::unimplemented("only entries serve Sync.Follow"))
    }
}
