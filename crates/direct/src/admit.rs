//! Whether a request may run now, waits or is refused.

use std::rc::Rc;
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::group::queue::{Id, Request};
use tokio::sync::oneshot;

use crate::answer::Refusal;
use crate::call::Call;
use crate::gateway::{Gateway, Permit};
use crate::metrics::End;
use crate::state::{ServiceKey, State, Turn};

/// Time after the signal to stop in which streams are still taken. The rest of
/// the time to stop is left for their answers.
const STREAMS_WHILE_LEAVING: Duration = Duration::from_millis(2_500);

/// Time to come back to another entry, while this one leaves.
const LEAVING_COMEBACK: Duration = Duration::from_millis(50);

/// Gets a place for a request, `None` if its service needs none.
///
/// # Errors
///
/// Fails with the answer to the caller if there is no place soon enough.
pub async fn admit(gateway: &Rc<Gateway>, call: &Call) -> Result<Option<Permit>, Refusal> {
    let left = |since| gateway.clock.now().since(since) > STREAMS_WHILE_LEAVING;
    if call.kind().streams() && gateway.leaving_since().is_some_and(left) {
        return Err(Refusal::new(End::Leaving).with_retry_after(LEAVING_COMEBACK));
    }
    let view = gateway.with(|state, _| state.view.clone());
    let service = view.configuration.value.service(&call.service_name);
    if !service.is_some_and(|service| service.grouped) {
        return Ok(None);
    }
    let wait = call.route.aim.mul_f64(gateway.settings.group.wait_share);
    let claim = Request {
        priority: call.priority,
        in_time: call.in_time,
        account: call.account.clone(),
        tokens: call.prompt_tokens,
        deadline: call.started + wait.min(call.time_left(gateway)),
    };
    let until = claim.deadline;
    let turn = gateway.with(|state, now| state.request_place(now, call.service, claim));
    let (id, granted) = match turn {
        Turn::Granted => return Ok(Some(Permit::new(gateway, call.service, &call.account))),
        Turn::Queued(id, granted) => (id, granted),
        Turn::Full => return Err(refuse(gateway, call, End::NoPlace)),
        Turn::Closed(_) => return Err(refuse(gateway, call, End::GroupClosed)),
    };
    let mut waiting = Waiting {
        gateway,
        call,
        id,
        granted,
    };
    if waiting.turn_comes(until).await {
        return Ok(Some(Permit::new(gateway, call.service, &call.account)));
    }
    drop(waiting);
    Err(refuse(gateway, call, End::NoPlace))
}

fn refuse(gateway: &Gateway, call: &Call, end: End) -> Refusal {
    let time = gateway.with(|state, now| state.comeback(now, call.service));
    Refusal::new(end).with_retry_after(time)
}

/// A wait for a place, ended on drop.
struct Waiting<'a> {
    gateway: &'a Rc<Gateway>,
    call: &'a Call,
    id: Id,
    granted: oneshot::Receiver<()>,
}

impl Waiting<'_> {
    /// Waits for the turn; returns whether it came before `until`.
    async fn turn_comes(&mut self, until: Instant) -> bool {
        loop {
            let service = self.call.service;
            let next = self.gateway.with(|state, _| state.next_begin(service));
            let now = self.gateway.clock.now();
            // Places become free by events; only the pace needs a timer.
            let wake = if next > now { next.min(until) } else { until };
            let left = self.gateway.clock.until(wake);
            match tokio::time::timeout(left, &mut self.granted).await {
                Ok(granted) => return granted.is_ok(),
                Err(_) if self.gateway.clock.now() >= until => {
                    let (service, id) = (self.call.service, self.id);
                    let begin = |state: &mut State, now| state.begin_unpaced(now, service, id);
                    return self.gateway.with(begin);
                }
                Err(_) => self.gateway.grant_places(),
            }
        }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let service: ServiceKey = self.call.service;
        self.gateway.with(|state, _| state.forget(service, self.id));
        // A place that was granted and not taken goes back.
        if self.granted.try_recv().is_ok() {
            drop(Permit::new(self.gateway, service, &self.call.account));
        }
    }
}
