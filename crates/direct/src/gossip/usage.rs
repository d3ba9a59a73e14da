//! The part of the datagrams that delivers usage to the holder of the duty.

use std::net::SocketAddr;
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_wire::direct::{Beat, Usage, UsageAck};
use prost::Message;

use super::Gossip;
use crate::usage::Holder;

/// Time between two deliveries of batches. Starts of at most this time are lost when an
/// entry is killed.
const DELIVERY_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two rounds of answers of the holder. All answers of a round share one
/// datagram but for its last field.
const ANSWER_INTERVAL: Duration = Duration::from_millis(50);

/// Largest datagram with more than one batch, in bytes.
const MAX_DELIVERY_BYTES: usize = 8 << 10;

/// Time between two deliveries of the last batches of an entry that stops, and their
/// number. The holder answers within 50 ms and a round trip.
const LAST_DELIVERY_INTERVAL: Duration = Duration::from_millis(120);
const LAST_DELIVERIES: usize = 4;

impl Gossip {
    /// Delivers what was counted to the holder of the duty every `DELIVERY_INTERVAL`;
    /// never returns.
    pub async fn deliver_usage(&self) {
        loop {
            self.send_batches();
            tokio::time::sleep(DELIVERY_INTERVAL).await;
        }
    }

    /// Answers the entries whose batches have arrived; never returns.
    pub async fn answer_usage(&self) {
        loop {
            self.send_acks();
            tokio::time::sleep(ANSWER_INTERVAL).await;
        }
    }

    /// Delivers what an entry that stops has counted last, until the holder has it or
    /// `until`.
    pub async fn deliver_last_usage(&self, until: Instant) {
        let Some(meter) = &self.gateway.meter else {
            return;
        };
        for _ in 0..LAST_DELIVERIES {
            self.send_batches();
            if meter.delivered() || self.gateway.clock.until(until) < LAST_DELIVERY_INTERVAL {
                return;
            }
            tokio::time::sleep(LAST_DELIVERY_INTERVAL).await;
        }
    }

    /// Estimates true time again, and decides windows if this entry holds the duty.
    pub(super) fn evaluate_usage(&self) {
        let Some(meter) = &self.gateway.meter else {
            return;
        };
        let (live, view) = self.gateway.with_state(|state, now| {
            let live = state.peers.live(now).filter(|peer| peer.metering);
            let live: Vec<u64> = live.map(|peer| peer.incarnation).collect();
            (live, state.view.clone())
        });
        meter.know_accounts(view.configuration.revision, &view.configuration.value);
        let holder = self.other_holder();
        let metrics = &self.gateway.metrics;
        meter.evaluate(self.incarnation, live, holder.as_ref(), metrics);
    }

    /// Returns the other live entry that announces the highest fencing token.
    fn other_holder(&self) -> Option<Holder> {
        self.gateway.with_state(|state, now| {
            let holders = state.peers.live(now).filter_map(|peer| {
                Some(Holder {
                    token: peer.duty_token?,
                    incarnation: peer.incarnation,
                    address: Some(peer.address),
                })
            });
            holders.max_by_key(|holder| holder.token)
        })
    }

    fn send_batches(&self) {
        let gateway = &self.gateway;
        let Some(meter) = &gateway.meter else { return };
        let mut beat = self.beat(false, false);
        let room = MAX_DELIVERY_BYTES.saturating_sub(beat.encoded_len());
        let other = self.other_holder();
        let Some((address, messages)) =
            meter.deliver(self.incarnation, other, room, &gateway.metrics)
        else {
            return;
        };
        for message in messages {
            beat.usage = Some(message);
            let sent = self.send_bytes(&beat.encode_to_vec(), address);
            gateway.metrics.unsent_datagrams.inc_by(u64::from(!sent));
        }
    }

    fn send_acks(&self) {
        let gateway = &self.gateway;
        let Some(meter) = &gateway.meter else { return };
        let acks = meter.take_acks();
        if acks.is_empty() {
            return;
        }
        let beat = self.beat(false, false).encode_to_vec();
        for (address, ack) in acks {
            // Fields of one message may be encoded one after the other.
            let ack = Beat {
                usage_ack: Some(ack),
                ..Beat::default()
            };
            let mut bytes = beat.clone();
            bytes.extend(ack.encode_to_vec());
            let sent = self.send_bytes(&bytes, address);
            gateway.metrics.unsent_datagrams.inc_by(u64::from(!sent));
        }
    }

    /// Takes the batches out of a datagram. Their numbers tell their order, so that they
    /// are applied also from a datagram that is older than the last one.
    pub(super) fn receive_batches(&self, address: SocketAddr, datagram: &mut Beat) {
        let (Some(meter), Some(usage)) = (&self.gateway.meter, &mut datagram.usage) else {
            return;
        };
        if usage.dropped.is_none() {
            return;
        }
        let delivered = Usage {
            batches: std::mem::take(&mut usage.batches),
            ..*usage
        };
        let metrics = &self.gateway.metrics;
        meter.receive(address, datagram.incarnation, delivered, metrics);
    }

    /// Takes the time of day and the answer of the holder out of a datagram that is newer
    /// than the last one.
    pub(super) fn receive_usage(
        &self,
        incarnation: u64,
        usage: Option<Usage>,
        ack: Option<UsageAck>,
        came: Instant,
    ) {
        let Some(meter) = &self.gateway.meter else {
            return;
        };
        if let Some(usage) = &usage {
            meter.observe(incarnation, usage, came);
        }
        if let Some(ack) = ack {
            meter.acknowledged(self.incarnation, incarnation, ack);
        }
    }
}
