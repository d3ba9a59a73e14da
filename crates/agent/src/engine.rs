//! The `Engine` interface.

use std::sync::Arc;
use std::time::Duration;

use berylgw_core::order::{Action, Id, Order, Outcome};
use berylgw_core::outcome::{Reason, Refusal};
use berylgw_core::service::Kind;
use berylgw_wire as wire;
use serde::Deserialize;
use tokio::sync::watch;
use tonic::{Request, Response, Status};

use crate::admission::Controller;
use crate::control::Published;
use crate::orders::Orders;
pub use crate::report::Reader;
use crate::{convert, dispatch};

/// Retry delay in refusals.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Serves the `Engine` interface.
#[derive(Clone, Debug)]
pub struct Service {
    /// Identity of the agent.
    pub controller: Arc<Controller>,
    /// Queue of orders to the engine.
    pub orders: Orders,
    /// Reads the state of the rank.
    pub reader: Reader,
    /// The newest configuration.
    pub published: watch::Receiver<Arc<Published>>,
    /// Name of the backend server.
    pub name: Arc<str>,
}

/// Order in the body of a [`wire::OrderRequest`].
#[derive(Deserialize)]
struct Body {
    /// Version of the platform object that the order was derived from.
    object_version: u64,
    #[serde(flatten)]
    action: Action,
}

impl Service {
    fn parse(&self, request: &wire::OrderRequest) -> Result<Order, Refusal> {
        let invalid = |message: String| {
            Refusal::not_run(Reason::InvalidRequest, RETRY_AFTER).with_message(message)
        };
        let published = self.published.borrow();
        let snapshot = &published.snapshot;
        let sender = request.sender.as_ref();
        if sender.is_none_or(|sender| sender.config_version < snapshot.version.into()) {
            return Err(Refusal::not_run(Reason::StaleConfig, RETRY_AFTER));
        }
        if !self.is_model(&published) {
            return Err(invalid(format!("{} is not a model engine", self.name)));
        }
        let role = self.role(&published);
        if request.role != role {
            return Err(invalid(format!(
                "orders to {} are accepted only from the holder of {role}",
                self.name
            )));
        }
        let id = Id::parse(&request.id).filter(|id| id.token == request.token);
        let id = id.ok_or_else(|| {
            invalid(format!(
                "id {:?} is malformed or does not contain token {}",
                request.id, request.token
            ))
        })?;
        let body: Body = serde_json::from_slice(&request.order)
            .map_err(|error| invalid(format!("order: {error}")))?;
        Ok(Order {
            id,
            version: body.object_version,
            action: body.action,
        })
    }

    fn is_model(&self, published: &Published) -> bool {
        let snapshot = &published.snapshot;
        let server = snapshot.server(&self.name);
        server.is_some_and(|server| {
            let mut services = snapshot.sheet.services.iter();
            services.any(|known| known.name == server.service && known.kind == Kind::Model)
        })
    }

    /// Returns the role whose holder alone sends orders to this server. Fencing
    /// tokens are comparable only within one role.
    fn role(&self, published: &Published) -> String {
        let server = published.snapshot.server(&self.name);
        let rank = server.and_then(|server| server.rank.as_ref());
        let group = rank.map_or(&self.name, |rank| &rank.group);
        format!("group/{group}")
    }
}

fn refusal(outcome: Outcome) -> Option<Refusal> {
    let refusal = match outcome {
        Outcome::Done => return None,
        Outcome::Stale(token) => Refusal::not_run(Reason::StaleToken, RETRY_AFTER)
            .with_message(format!("newer token {token} was received")),
        Outcome::Superseded(version) => Refusal::not_run(Reason::StaleConfig, RETRY_AFTER)
            .with_message(format!(
                "an order from newer version {version} was received"
            )),
        Outcome::Full => Refusal::not_run(Reason::QueueFull, RETRY_AFTER),
        Outcome::Reused => Refusal::not_run(Reason::KeyReused, RETRY_AFTER),
        Outcome::Failed => Refusal::not_run(Reason::ServerFailed, RETRY_AFTER)
            .with_message("the engine did not carry out the order"),
        Outcome::Unknown => Refusal::unknown(Reason::ConnectionLost, RETRY_AFTER),
    };
    Some(refusal)
}

#[tonic::async_trait]
impl wire::engine_server::Engine for Service {
    async fn order(
        &self,
        request: Request<wire::OrderRequest>,
    ) -> Result<Response<wire::OrderReply>, Status> {
        let sender = request.get_ref().sender.as_ref();
        dispatch::check_sender(&self.published, &request, sender)?;
        let refusal = match self.parse(request.get_ref()) {
            Err(refusal) => Some(refusal),
            Ok(order) => match self.orders.submit(order).await {
                Some(outcome) => refusal(outcome),
                None => Some(Refusal::unknown(Reason::ShuttingDown, RETRY_AFTER)),
            },
        };
        Ok(Response::new(wire::OrderReply {
            sender: Some(self.controller.current_sender()),
            done: refusal.is_none(),
            refusal: refusal.as_ref().map(convert::refusal),
        }))
    }

    async fn rank(
        &self,
        request: Request<wire::RankRequest>,
    ) -> Result<Response<wire::RankReply>, Status> {
        let sender = request.get_ref().sender.as_ref();
        dispatch::check_sender(&self.published, &request, sender)?;
        let mut reply = wire::RankReply {
            sender: Some(self.controller.current_sender()),
            ..Default::default()
        };
        match self.reader.read().await {
            Ok((maps, added)) => {
                reply.engine_incarnation = maps.incarnation;
                reply.loaded = maps.loaded;
                reply.loaded.sort_unstable();
                reply.stamp = maps.active;
                reply.begun = maps.begun;
                reply.steps = added.steps;
                reply.step_time_us = added.time_us.checked_div(added.steps).unwrap_or(0);
                reply.expert_tokens = added.expert_tokens;
            }
            Err(error) => {
                let refusal = Refusal::not_run(Reason::ServerFailed, RETRY_AFTER);
                let refusal = refusal.with_message(error.to_string());
                reply.refusal = Some(convert::refusal(&refusal));
            }
        }
        Ok(Response::new(reply))
    }
}
