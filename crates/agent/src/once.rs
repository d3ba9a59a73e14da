//! At-most-once execution within one incarnation: claims and tickets.

use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::outcome::Refusal;
use berylgw_core::ticket::{Book, Subject};
use berylgw_wire as wire;

use crate::claim::{Bounds, Key, Register};
use crate::settings::Settings;

/// Claims and tickets of one incarnation.
#[derive(Debug)]
pub struct Once {
    /// Claims received or sealed.
    pub claims: Register,
    /// Tickets issued.
    pub tickets: Book,
}

/// Claim and ticket that are reserved for one request.
#[derive(Clone, Debug, Default)]
pub struct Permit {
    claim: Option<Key>,
    ticket: Option<u64>,
}

impl Once {
    /// Creates an empty register of claims, and tickets with a new random
    /// secret.
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
            tickets: Book::new(secret, incarnation, lifetime, settings.tickets.capacity),
        }
    }

    /// Reserves the claim and the ticket of a request.
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

    /// Records that the request is being sent to the server: its ticket is
    /// spent.
    pub fn start(&mut self, now: Instant, permit: &Permit) {
        if let Some(key) = &permit.claim {
            self.claims.start(now, key);
        }
        if let Some(serial) = permit.ticket {
            self.tickets.spend(serial);
        }
    }

    /// Releases the reservation of a request that never reached the server.
    pub fn give_back(&mut self, now: Instant, permit: &Permit) {
        if let Some(key) = &permit.claim {
            self.claims.give_back(now, key);
        }
        if let Some(serial) = permit.ticket {
            self.tickets.give_back(serial);
        }
    }

    /// Records the end of a run, with its result if that is known.
    pub fn finish(&mut self, now: Instant, permit: &Permit, result: Option<wire::Result>) {
        if let Some(key) = &permit.claim {
            self.claims.finish(now, key, result);
        }
    }
}

/// Returns the key of a claim in the register.
pub fn key_of(claim: &wire::Claim) -> Key {
    Key {
        partition: claim.partition.as_str().into(),
        key: claim.key.clone(),
    }
}
