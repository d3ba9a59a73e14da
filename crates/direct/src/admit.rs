//! Admission control: a request runs now, waits in a queue or is refused.

use std::rc::Rc;
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::group::queue::{Id, Request};
use berylgw_core::group::share::Class;
use tokio::sync::oneshot;

use crate::answer::Refusal;
use crate::call::Call;
use crate::config::RequestKind;
use crate::gateway::{Gateway, Permit};
use crate::metrics::End;
use crate::record::Record;
use crate::state::{Admission, Ruling, ServiceKey, State, label};

/// `Retry-After` of a refusal while this entry drains; another entry can take
/// the request at once.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Acquires a permit for a request, `None` if its service has no concurrency
/// limit.
///
/// # Errors
///
/// Fails with the answer to the caller if no permit becomes free in time.
pub async fn admit(
    gateway: &Rc<Gateway>,
    call: &Call,
    record: &mut Record,
) -> Result<Option<Permit>, Refusal> {
    let view = gateway.with_state(|state, _| state.view.clone());
    let service = view.configuration.value.service(&call.service_name);
    if !service.is_some_and(|service| service.grouped) {
        return Ok(None);
    }
    let shared_target = gateway.with_state(|state, _| state.shared_target(call.service));
    let target = shared_target.unwrap_or(call.route.latency_target);
    let wait = target.mul_f64(gateway.settings.group.wait_share);
    let account_priority = call.account_priority.unwrap_or(call.route.priority);
    let (priority, account_priority) = match shared_target {
        // An account's priority would hide that of its routes, and an urgent route would
        // be served worse than a less urgent one.
        Some(_) => (call.route.priority, account_priority),
        None => (account_priority, 0),
    };
    let request = Request {
        priority,
        account_priority,
        class: None,
        in_time: call.in_time,
        account: call.account.clone(),
        tokens: call.prompt_tokens,
        deadline: call.started + wait.min(call.time_left(gateway)),
    };
    let until = request.deadline;
    let (admission, class, ruling, cutoff) = gateway.with_state(|state, now| {
        let mut request = request;
        let ruling = state.classify(now, call.service, &mut request, call.content.whole());
        let class = request.class;
        let admission = match ruling {
            Ruling::Allowed => state.request_permit(now, call.service, request),
            Ruling::CutOff | Ruling::Early => Admission::Refused,
        };
        (admission, class, ruling, state.cutoff_label(call.service))
    });
    if let Some(class) = class {
        record.classified(label(class), ruling, cutoff);
    }
    let result = settle(gateway, call, until, class, admission).await;
    if let Some(class) = class {
        let metrics = &gateway.metrics;
        metrics.count_share(class.priority, class.flooding, result.is_ok());
    }
    result.map(Some)
}

/// Waits for the permit of a queued request.
async fn settle(
    gateway: &Rc<Gateway>,
    call: &Call,
    until: Instant,
    class: Option<Class>,
    admission: Admission,
) -> Result<Permit, Refusal> {
    let (id, granted) = match admission {
        Admission::Granted => return Ok(Permit::new(gateway, call.service, &call.account)),
        Admission::Queued(id, granted) => (id, granted),
        Admission::Refused => return Err(refuse(gateway, call, class, End::NoPermit)),
        Admission::GroupDown(_) => return Err(refuse(gateway, call, class, End::GroupClosed)),
    };
    let mut waiting = Waiting {
        gateway,
        call,
        id,
        granted,
    };
    if waiting.wait_for_permit(until).await {
        return Ok(Permit::new(gateway, call.service, &call.account));
    }
    drop(waiting);
    Err(refuse(gateway, call, class, End::NoPermit))
}

/// Returns the refusal of a request that is answered by `deadline` at the latest,
/// which may be too late for the stop of this entry.
pub fn outlasts_stop(gateway: &Gateway, kind: RequestKind, deadline: Instant) -> Option<Refusal> {
    let stop = gateway.stop()?;
    let admitted = stop.admits(gateway.clock.now(), deadline, kind.streams());
    let refusal = Refusal::new(End::Leaving).with_retry_after(LEAVING_RETRY_AFTER);
    (!admitted).then_some(refusal)
}

fn refuse(gateway: &Gateway, call: &Call, class: Option<Class>, end: End) -> Refusal {
    let digest = call.content.whole();
    let left = call.time_left(gateway);
    let time = gateway
        .with_state(|state, now| state.retry_after_of(now, call.service, class, digest, left));
    Refusal::new(end).with_retry_after(time)
}

/// A queued request, removed from the queue on drop.
struct Waiting<'a> {
    gateway: &'a Rc<Gateway>,
    call: &'a Call,
    id: Id,
    granted: oneshot::Receiver<()>,
}

impl Waiting<'_> {
    /// Waits for a permit; returns whether it was granted before `until`.
    async fn wait_for_permit(&mut self, until: Instant) -> bool {
        loop {
            let service = self.call.service;
            let next = self
                .gateway
                .with_state(|state, _| state.next_start(service));
            let now = self.gateway.clock.now();
            // Permits are granted when other requests end, datagrams arrive or
            // the view changes; only the pacer needs a timer.
            let wake = if next > now { next.min(until) } else { until };
            let time_left = self.gateway.clock.until(wake);
            match tokio::time::timeout(time_left, &mut self.granted).await {
                Ok(granted) => return granted.is_ok(),
                Err(_) if self.gateway.clock.now() >= until => {
                    let (service, id) = (self.call.service, self.id);
                    let admit = |state: &mut State, now| state.admit_unpaced(now, service, id);
                    return self.gateway.with_state(admit);
                }
                Err(_) => self.gateway.grant_permits(),
            }
        }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let service: ServiceKey = self.call.service;
        self.gateway
            .with_state(|state, _| state.cancel_wait(service, self.id));
        // Releases a permit that was granted but not taken.
        if self.granted.try_recv().is_ok() {
            drop(Permit::new(self.gateway, service, &self.call.account));
        }
    }
}
