use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::Gateway;

/// The possible start of a plain request at a server. On drop, it counts at the time at
/// which the request was sent, unless the server did not run it: a request whose response
/// is lost, too late or no longer awaited may have run.
#[derive(Debug)]
pub struct Start {
    gateway: Rc<Gateway>,
    account: Arc<str>,
    sent: Cell<Option<Duration>>,
}

impl Start {
    /// Begins an attempt for an account, before the request is sent.
    pub fn new(gateway: &Rc<Gateway>, account: &Arc<str>) -> Self {
        Start {
            gateway: gateway.clone(),
            account: account.clone(),
            sent: Cell::new(None),
        }
    }

    /// Records that the request is sent now.
    pub fn sent(&self) {
        let meter = self.gateway.meter.as_ref();
        self.sent.set(meter.map(|meter| meter.true_now()));
    }

    /// Records that the server did not run the request.
    pub fn not_run(&self) {
        self.sent.set(None);
    }
}

impl Drop for Start {
    fn drop(&mut self) {
        if let (Some(meter), Some(sent)) = (&self.gateway.meter, self.sent.get()) {
            meter.record(sent, &self.account);
        }
    }
}
