//! At-most-once execution within one incarnation: claims and tickets.

use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::outcome::Refusal;
use berylgw_core::ticket::{Registry, Subject};
use berylgw_wire as wire;

use crate::claim::{Bounds, Key, Register};
use crate::settings::Settings;

/// Claims and tickets of one incarnation.
#[derive(Debug)]
pub struct AtMostOnce {
    /// Claims received or sealed.
    pub claims: Register,
    /// Tickets issued.
    pub tickets: Registry,
}

/// Claim and ticket that are reserved for one request.
#[derive(Clone, Debug, Default)]
pub struct Reservation {
    claim: Option<Key>,
    ticket: Option<u64>,
}

impl AtMostOnce {
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
        AtMostOnce {
            claims: Register::new(bounds),
            tickets: Registry::new(secret, incarnation, lifetime, settings.tickets.capacity),
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
    ) -> Result<Reservation, Refusal> {
        let mut reservation = Reservation::default();
        let claim = request.claim.as_ref();
        if !request.ticket.is_empty() {
            let digest = claim.map(|claim| &*claim.key);
            let serial = self
                .tickets
                .reserve(now, subject, &request.ticket, digest)?;
            reservation.ticket = Some(serial);
        }
        let Some(claim) = claim else {
            return Ok(reservation);
        };
        let key = claim_key(claim);
        if let Err(refusal) = self.claims.reserve(now, &key, claim.token) {
            self.release(now, &reservation);
            return Err(refusal);
        }
        reservation.claim = Some(key);
        Ok(reservation)
    }

    /// Records that the request is being sent to the server: its ticket is
    /// spent.
    pub fn start(&mut self, now: Instant, reservation: &Reservation) {
        if let Some(key) = &reservation.claim {
            self.claims.start(now, key);
        }
        if let Some(serial) = reservation.ticket {
            self.tickets.mark_used(serial);
        }
    }

    /// Releases the reservation of a request that never reached the server.
    pub fn release(&mut self, now: Instant, reservation: &Reservation) {
        if let Some(key) = &reservation.claim {
            self.claims.release(now, key);
        }
        if let Some(serial) = reservation.ticket {
            self.tickets.release(serial);
        }
    }

    /// Records the end of a run, with its result if that is known.
    pub fn finish(
        &mut self,
        now: Instant,
        reservation: &Reservation,
        result: Option<wire::Result>,
    ) {
        if let Some(key) = &reservation.claim {
            self.claims.finish(now, key, result);
        }
    }
}

/// Returns the key of a claim in the register.
pub fn claim_key(claim: &wire::Claim) -> Key {
    Key {
        partition: claim.partition.as_str().into(),
        key: claim.key.clone(),
    }
}
