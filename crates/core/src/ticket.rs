//! Single-use tickets: each lets one agent run one request at most once.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::clock::Instant;
use crate::outcome::{Reason, Refusal};

/// Time for which the record of a ticket is kept after its expiry. Until then, an
/// expired ticket that was never used is refused with outcome `not run`.
const RETENTION: Duration = Duration::from_secs(600);

/// Delay after which the caller of a refused request should retry.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Server, account and service that a ticket is valid for.
///
/// A ticket is also bound to the incarnation of the agent that issued it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Subject {
    /// Name of the backend server.
    pub server: Arc<str>,
    /// Name of the client account.
    pub account: Arc<str>,
    /// Name of the service.
    pub service: Arc<str>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Status {
    Unused,
    Reserved,
    Used,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    serial: u64,
    expires: Instant,
    status: Status,
}

/// Parsed text form of a ticket.
#[derive(Clone, Debug)]
struct Token {
    serial: u64,
    expires: Instant,
    key: Vec<u8>,
    tag: Vec<u8>,
}

/// Tickets issued by one incarnation of an agent, sorted by serial number.
///
/// ```
/// use berylgw_core::clock::Instant;
/// use berylgw_core::ticket::{Registry, Subject};
/// use std::time::Duration;
///
/// let mut registry = Registry::new([7; 32], 1, Duration::from_secs(60), 8);
/// let subject = Subject { server: "s".into(), account: "a".into(), service: "svc".into() };
/// let now = Instant::ORIGIN;
/// let token = registry.issue(now, &subject, b"key").unwrap();
/// let serial = registry.reserve(now, &subject, &token, None).unwrap();
/// registry.mark_used(serial);
/// assert!(registry.reserve(now, &subject, &token, None).is_err());
/// ```
#[derive(Clone)]
pub struct Registry {
    secret: [u8; 32],
    incarnation: u64,
    lifetime: Duration,
    capacity: usize,
    next: u64,
    records: Vec<Record>,
}

impl std::fmt::Debug for Registry {
    // Keeps the secret out of logs.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Registry")
            .field("incarnation", &self.incarnation)
            .field("records", &self.records.len())
            .finish_non_exhaustive()
    }
}

impl Registry {
    /// Creates an empty registry that authenticates its tokens with `secret`.
    pub fn new(secret: [u8; 32], incarnation: u64, lifetime: Duration, capacity: usize) -> Self {
        Registry {
            secret,
            incarnation,
            lifetime,
            capacity,
            next: 0,
            records: Vec::new(),
        }
    }

    /// Returns the time from issue to expiry of a ticket.
    pub fn lifetime(&self) -> Duration {
        self.lifetime
    }

    /// Issues a ticket for the idempotency key with digest `key`.
    ///
    /// # Errors
    ///
    /// Fails if the number of recorded tickets has reached the capacity.
    pub fn issue(
        &mut self,
        now: Instant,
        subject: &Subject,
        key: &[u8],
    ) -> Result<Arc<str>, Refusal> {
        self.records
            .retain(|record| record.status == Status::Reserved || record.expires + RETENTION > now);
        if self.records.len() >= self.capacity {
            let refusal = Refusal::not_run(Reason::TicketInvalid, RETRY_AFTER);
            return Err(refusal.with_message("too many tickets are outstanding"));
        }
        let serial = self.next;
        self.next += 1;
        let expires = now + self.lifetime;
        self.records.push(Record {
            serial,
            expires,
            status: Status::Unused,
        });
        let tag = self.mac(subject, serial, expires, key).finalize();
        let mut token = format!("{serial:x}.{:x}.", expires.as_micros());
        push_hex(&mut token, key);
        token.push('.');
        push_hex(&mut token, &tag.into_bytes());
        Ok(token.into())
    }

    /// Reserves a ticket for its single use and returns its serial number.
    ///
    /// `key` is the digest of the request's idempotency key; if given, it must
    /// match the one that the ticket was issued for.
    ///
    /// # Errors
    ///
    /// Fails if the ticket cannot be used. The outcome is `not run` only if this
    /// incarnation issued the ticket and no request has run or will run with it;
    /// otherwise `unknown`.
    pub fn reserve(
        &mut self,
        now: Instant,
        subject: &Subject,
        token: &str,
        key: Option<&[u8]>,
    ) -> Result<u64, Refusal> {
        let unknown = Refusal::unknown(Reason::TicketInvalid, RETRY_AFTER);
        let Some(token) = parse(token) else {
            return Err(unknown.with_message("the ticket is malformed"));
        };
        let mac = self.mac(subject, token.serial, token.expires, &token.key);
        let other_key = key.is_some_and(|key| key != token.key);
        if mac.verify_slice(&token.tag).is_err() || other_key {
            return Err(unknown.with_message(
                "this agent process did not issue the ticket for this server, account, service and key",
            ));
        }
        let index = self.index(token.serial);
        let Some(record) = index.map(|index| &mut self.records[index]) else {
            return Err(unknown.with_message("the ticket has expired"));
        };
        if record.status != Status::Unused {
            return Err(unknown.with_message("the ticket was used before"));
        }
        if record.expires <= now {
            let refusal = Refusal::not_run(Reason::TicketInvalid, RETRY_AFTER);
            return Err(refusal.with_message("the ticket has expired unused"));
        }
        record.status = Status::Reserved;
        Ok(token.serial)
    }

    /// Marks a reserved ticket as used: its request is being forwarded.
    pub fn mark_used(&mut self, serial: u64) {
        self.set_status(serial, Status::Used);
    }

    /// Marks a reserved ticket as unused again: its request was not run.
    pub fn release(&mut self, serial: u64) {
        self.set_status(serial, Status::Unused);
    }

    fn set_status(&mut self, serial: u64, status: Status) {
        if let Some(index) = self.index(serial) {
            self.records[index].status = status;
        }
    }

    fn index(&self, serial: u64) -> Option<usize> {
        self.records
            .binary_search_by(|record| record.serial.cmp(&serial))
            .ok()
    }

    fn mac(&self, subject: &Subject, serial: u64, expires: Instant, key: &[u8]) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.secret).expect("HMAC accepts keys of any length");
        mac.update(&self.incarnation.to_be_bytes());
        mac.update(&serial.to_be_bytes());
        mac.update(&expires.as_micros().to_be_bytes());
        // Length prefixes keep adjacent fields from being confused.
        for part in [
            subject.server.as_bytes(),
            subject.account.as_bytes(),
            subject.service.as_bytes(),
            key,
        ] {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }
}

fn push_hex(text: &mut String, bytes: &[u8]) {
    for byte in bytes {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
}

fn parse(token: &str) -> Option<Token> {
    let mut parts = token.split('.');
    let parsed = Token {
        serial: u64::from_str_radix(parts.next()?, 16).ok()?,
        expires: Instant::from_micros(u64::from_str_radix(parts.next()?, 16).ok()?),
        key: from_hex(parts.next()?)?,
        tag: from_hex(parts.next()?)?,
    };
    parts.next().is_none().then_some(parsed)
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    let digits = text.as_bytes();
    if !digits.len().is_multiple_of(2) {
        return None;
    }
    digits
        .chunks(2)
        .map(|pair| {
            let pair = std::str::from_utf8(pair).ok()?;
            u8::from_str_radix(pair, 16).ok()
        })
        .collect()
}
