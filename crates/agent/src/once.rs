//! The at-most-once check of one incarnation: claims and tickets.

use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::outcome::Refusal;
use berylgw_core::ticket::{Registry, Subject};
use berylgw_wire as wire;

use crate::claim::{Bounds, Key, Register};
use crate::settings::Settings;

/// Claims and tickets of one incarnation.
#[derive(Debug)]
pub struct Once {
    /// Claims seen.
    pub claims: Register,
    /// Tickets issued.
    pub tickets: Registry,
}

/// The permissions a request runs with.
#[derive(Clone, Debug, Default)]
pub struct Permit {
    claim: Option<Key>,
    ticket: Option<u64>,
}

impl Once {
    /// An empty memory with a newly drawn ticket secret.
    pub fn new(settings: &Settings, incarnation: u64) -> Self {
        let claims = &settings.claims;
        let bounds = Bounds {
            retention: Duration::from_millis(claims.retention_ms),
            capacity: claims.capacity,
            result_bytes: claims.result_bytes,
        };
        let lifetime = Duration::from_millis(settings.tickets.lifetime_ms);
        let secret = rand::random();
        Once {
            claims: Register::new(bounds),
            tickets: Registry::new(secret, incarnation, lifetime, settings.tickets.capacity),
        }
    }

    /// Reserves what a request needs to run.
    ///
    /// # Errors
    ///
    /// Fails if its claim or ticket does not permit a run.
    pub fn reserve(
        &mut self,
        now: Instant,
        subject: &Subject,
        request: &wire::DispatchRequest,
    ) -> Result<Permit, Refusal> {
        let mut permit = Permit::default();
        let claim = request.claim.as_ref();
        if !request.ticket.is_empty() {
            let digest = claim.map(|claim| &*claim.key);
            let serial = self
                .tickets
                .reserve(now, subject, &request.ticket, digest)?;
            permit.ticket = Some(serial);
        }
        let Some(claim) = claim else {
            return Ok(permit);
        };
        let key = key_of(claim);
        if let Err(refusal) = self.claims.reserve(now, &key, claim.token) {
            self.give_back(now, &permit);
            return Err(refusal);
        }
        permit.claim = Some(key);
        Ok(permit)
    }

    /// Notes that the request is being passed on.
    pub fn start(&mut self, now: Instant, permit: &Permit) {
        if let Some(key) = &permit.claim {
            self.claims.start(now, key);
        }
        if let Some(serial) = permit.ticket {
            self.tickets.mark_used(serial);
        }
    }

    /// Notes that the server has not seen the request.
    pub fn give_back(&mut self, now: Instant, permit: &Permit) {
        if let Some(key) = &permit.claim {
            self.claims.give_back(now, key);
        }
        if let Some(serial) = permit.ticket {
            self.tickets.release(serial);
        }
    }

    /// Notes the end of a run, with its result if it is known.
    pub fn finish(&mut self, now: Instant, permit: &Permit, result: Option<wire::Result>) {
        if let Some(key) = &permit.claim {
            self.claims.finish(now, key, result);
        }
    }
}

/// The register's key of a claim.
pub fn key_of(claim: &wire::Claim) -> Key {
    Key {
        partition: claim.partition.as_str().into(),
        key: claim.key.clone(),
    }
}
